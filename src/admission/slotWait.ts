/** Estimates how long requests wait for a slot, and finds those that cannot be answered before their deadline. */
import type { AdmissionRequest, QueueRefusalReason } from "./admissionRequest.js";
import type { OfferedLoad } from "./offeredLoad.js";
import type { QueueTargets } from "./queueTargets.js";
import type { ReservedSlots } from "./reservedSlots.js";
import type { RunningRequests } from "./runningRequests.js";
import type { WaitingRequests } from "./waitingRequests.js";
import type { WorkTimePlan } from "./workTimePlan.js";

/** Lower bound of a divisor, which keeps the expected wait finite. */
const minSpareShare = 0.05;

/** Why a request is refused, and after what time its client may come back. */
export interface Refusal {
    reason: QueueRefusalReason;
    retryAfterMs: number;
}

/** Expected wait of a request, and what it is refused with if that is too long. */
interface ExpectedWait extends Refusal {
    durationMs: number;
}

const noWait: ExpectedWait = { durationMs: 0, reason: "overloaded", retryAfterMs: 0 };

/** What the estimate is derived from. */
export interface SlotWaitDependencies {
    targets: QueueTargets;
    running: RunningRequests;
    waiting: WaitingRequests;
    offeredLoad: OfferedLoad;
    workTimePlan: WorkTimePlan;
    /** Slots reserved for more urgent requests; undefined if none ever are. */
    reservedSlots?: ReservedSlots | undefined;
}

/** Estimates the time that requests wait for a slot. */
export class SlotWait {
    constructor(private readonly dependencies: SlotWaitDependencies) {}

    /**
     * Returns what a new request is refused with if it cannot be answered before its deadline, or would wait for too long; otherwise
     * undefined.
     * @param request the request, which does not wait yet
     * @param hasFreeSlot true if a target that the request may use has a free slot
     * @param nowMs current monotonic time
     */
    refusalOnArrival(request: AdmissionRequest, hasFreeSlot: boolean, nowMs: number): Refusal | undefined {
        const { durationMs, reason, retryAfterMs } = hasFreeSlot ? noWait : this.expectedWait(request, nowMs);
        return this.isTooLate(request, durationMs, nowMs) ? { reason, retryAfterMs } : undefined;
    }

    /**
     * Removes the waiting requests that cannot be answered before their deadline, given the work that is sent before them, and those that
     * have waited for as long as they may.
     * @returns the removed requests, each with its refusal
     */
    removeTooLate(nowMs: number): { request: AdmissionRequest; refusal: Refusal }[] {
        const { waiting, workTimePlan } = this.dependencies;
        const slots = this.totalSlots();
        const spareShare = this.spareShare(slots, nowMs);
        const removed: { request: AdmissionRequest; refusal: Refusal }[] = [];
        const kept: AdmissionRequest[] = [];
        const runningMs = this.runningWorkMs(nowMs);
        let workBeforeMs = runningMs;
        waiting.retain((request) => {
            const rateWaitMs = this.dependencies.targets.rateLimitWaitMs(kept.length, nowMs);
            const slotWaitMs = workTimePlan.isProbablyLate(request, nowMs)
                ? Math.min(workBeforeMs / slots / spareShare, this.reservedWaitMs(request, kept, runningMs, slots, nowMs))
                : 0;
            const isWaitOver = nowMs >= (request.waitUntilMs ?? Number.POSITIVE_INFINITY);
            if (isWaitOver || this.isTooLate(request, Math.max(slotWaitMs, rateWaitMs), nowMs)) {
                removed.push({ request, refusal: refusalOf(rateWaitMs, Math.max(request.workMs, slotWaitMs)) });
                return false;
            }
            kept.push(request);
            workBeforeMs += request.workMs;
            return true;
        }, nowMs);
        return removed;
    }

    /**
     * Returns the expected time until a slot is free for a request. The waiting requests with the same or higher rank are sent
     * first. If the request will exceed its target latency, requests that arrive meanwhile and can still meet theirs are sent before
     * it as well.
     */
    private expectedWait(request: AdmissionRequest, nowMs: number): ExpectedWait {
        const { targets, waiting, workTimePlan } = this.dependencies;
        const slots = this.totalSlots();
        const sentBefore = waiting.sentBefore(request, nowMs);
        const rateWaitMs = targets.rateLimitWaitMs(sentBefore.length, nowMs);
        const runningMs = this.runningWorkMs(nowMs);
        const workBeforeMs = totalWorkMs(sentBefore) + runningMs;
        const waitMs = Math.max(rateWaitMs, workBeforeMs / this.slotsLeftFor(request, slots, nowMs));
        const durationMs = workTimePlan.isProbablyLate(request, nowMs + waitMs)
            ? Math.min(waitMs / this.spareShare(slots, nowMs),
                Math.max(rateWaitMs, this.reservedWaitMs(request, sentBefore, runningMs, slots, nowMs)))
            : waitMs;
        return { durationMs, ...refusalOf(rateWaitMs, durationMs) };
    }

    private isTooLate(request: AdmissionRequest, waitMs: number, nowMs: number): boolean {
        return nowMs + waitMs + this.dependencies.workTimePlan.fastestWorkMs(request) > request.deadlineMs
            || (waitMs > 0 && nowMs + waitMs > (request.waitUntilMs ?? Number.POSITIVE_INFINITY));
    }

    /** Returns the slots that are left for a request's kind. */
    private slotsLeftFor({ priority }: AdmissionRequest, slots: number, nowMs: number): number {
        return this.dependencies.reservedSlots?.slotsLeftFor(priority, slots, nowMs) ?? slots;
    }

    /**
     * Returns the running work that ends before a slot is free. Where slots are reserved, that is the mean remaining work of a running
     * request: an urgent request needs one slot, and the sum for all slots would have it refused while the next one is free in time.
     */
    private runningWorkMs(nowMs: number): number {
        const { running, reservedSlots } = this.dependencies;
        return reservedSlots === undefined ? running.remainingWorkMs(nowMs) : reservedSlots.meanRemainingWorkMs(nowMs);
    }

    /**
     * Returns the wait of a request that will exceed its target latency for a slot that only requests of its kind and more urgent ones
     * may use; infinite if there is none.
     */
    private reservedWaitMs(
        { priority }: AdmissionRequest, sentBefore: readonly AdmissionRequest[], runningMs: number, slots: number, nowMs: number,
    ): number {
        const spareSlots = this.dependencies.reservedSlots?.spareReserved(priority, slots, nowMs) ?? 0;
        return spareSlots <= 0
            ? Number.POSITIVE_INFINITY
            : (runningMs + totalWorkMs(sentBefore.filter((other) => other.priority <= priority))) / spareSlots;
    }

    private totalSlots(): number {
        return this.dependencies.targets.totalEffectiveSlots(this.dependencies.offeredLoad.meanWorkMs);
    }

    /** Share of the slots left for requests that will exceed their target latency, after the offered load of those that will not. */
    private spareShare(slots: number, nowMs: number): number {
        return Math.max(minSpareShare, 1 - this.dependencies.offeredLoad.slotsAt(nowMs) / slots);
    }
}

function refusalOf(rateWaitMs: number, waitMs: number): Refusal {
    return rateWaitMs > 0
        ? { reason: "rate-limited", retryAfterMs: rateWaitMs }
        : { reason: "overloaded", retryAfterMs: waitMs };
}

function totalWorkMs(requests: readonly AdmissionRequest[]): number {
    return requests.reduce((sum, { workMs }) => sum + workMs, 0);
}
