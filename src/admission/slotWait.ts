/** Estimates how long requests wait for a slot, and finds those that cannot be answered before their deadline. */
import type { AdmissionRequest, QueueRefusalReason } from "./admissionRequest.js";
import type { OfferedLoad } from "./offeredLoad.js";
import type { QueueTargets } from "./queueTargets.js";
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
        const { running, waiting, workTimePlan } = this.dependencies;
        const slots = this.totalSlots();
        const spareShare = this.spareShare(slots, nowMs);
        const removed: { request: AdmissionRequest; refusal: Refusal }[] = [];
        let keptCount = 0;
        let workBeforeMs = running.remainingWorkMs(nowMs);
        waiting.retain((request) => {
            const rateWaitMs = this.dependencies.targets.rateLimitWaitMs(keptCount, nowMs);
            const slotWaitMs = workTimePlan.isProbablyLate(request, nowMs) ? workBeforeMs / slots / spareShare : 0;
            const isWaitOver = nowMs >= (request.waitUntilMs ?? Number.POSITIVE_INFINITY);
            if (isWaitOver || this.isTooLate(request, Math.max(slotWaitMs, rateWaitMs), nowMs)) {
                removed.push({ request, refusal: refusalOf(rateWaitMs, Math.max(request.workMs, slotWaitMs)) });
                return false;
            }
            keptCount += 1;
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
        const { targets, running, waiting, workTimePlan } = this.dependencies;
        const slots = this.totalSlots();
        const sentBefore = waiting.sentBefore(request, nowMs);
        const rateWaitMs = targets.rateLimitWaitMs(sentBefore.length, nowMs);
        const waitMs = Math.max(rateWaitMs, (totalWorkMs(sentBefore) + running.remainingWorkMs(nowMs)) / slots);
        const durationMs = workTimePlan.isProbablyLate(request, nowMs + waitMs) ? waitMs / this.spareShare(slots, nowMs) : waitMs;
        return { durationMs, ...refusalOf(rateWaitMs, durationMs) };
    }

    private isTooLate(request: AdmissionRequest, waitMs: number, nowMs: number): boolean {
        return nowMs + waitMs + this.dependencies.workTimePlan.fastestWorkMs(request) > request.deadlineMs
            || (waitMs > 0 && nowMs + waitMs > (request.waitUntilMs ?? Number.POSITIVE_INFINITY));
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
