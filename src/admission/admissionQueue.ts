/**
 * Admission queue of a group of targets: decides for each request whether it is sent, waits or is refused. One host keeps the
 * queue of a group on behalf of all hosts, so that the used slots of its targets are counted exactly.
 *
 * Load pattern: more work than slots for some seconds (hot keys, a burst, slow targets). Sending everything would make every
 * answer late and overload targets until they stop answering. The queue therefore applies these rules:
 * - A target never gets more requests at once than it has slots.
 * - Requests that will probably be answered within their target latency are sent before those that will not.
 * - Within each of these two classes, more urgent requests are sent before less urgent ones.
 * - A request that cannot be answered before its deadline is refused at once.
 * - Requests that are suspected of crashing targets are kept apart.
 * - Where scarce capacity is shared, some slots are kept free for more urgent requests, and each caller gets a slot before any gets a
 *   second one.
 * - A target that stated a rate limit, or one that warms up and tolerates a certain rate, gets no more than that from all hosts together.
 */
import type { StatedRateLimit } from "../model/rateLimit.js";
import type { AgedTargetLoad } from "../model/targetLoad.js";
import type { AdmissionRequest, AdmissionVerdict, Ticket } from "./admissionRequest.js";
import { OfferedLoad } from "./offeredLoad.js";
import type { TargetDescription } from "./queueTargets.js";
import { QueueTargets } from "./queueTargets.js";
import { RunningRequests } from "./runningRequests.js";
import type { SharingDescription } from "./scarceCapacity.js";
import { ScarceCapacity } from "./scarceCapacity.js";
import type { Refusal } from "./slotWait.js";
import { SlotWait } from "./slotWait.js";
import { SuspectIsolation } from "./suspectIsolation.js";
import { chooseTarget } from "./targetChoice.js";
import type { QueueTarget, TargetRecord } from "./targetRecord.js";
import type { WorkEnd } from "./workEnd.js";
import { backOffLeftMs, hasFreeSlot, hasRateLimit, limitersOf, slownessNow } from "./targetRecord.js";
import type { TargetBacklog } from "./targetBacklogs.js";
import { describeBacklogs } from "./targetBacklogs.js";
import { WaitingRequests } from "./waitingRequests.js";
import type { WorkEstimates } from "./workEstimates.js";
import { WorkTimePlan } from "./workTimePlan.js";

const minRetryAfterMs = 50;

/** Factors of retry delays. The next request under a rate limit is certainly not sent earlier, while slots may become free sooner. */
const retryJitter = { rateLimited: { min: 1, spread: 0.25 }, other: { min: 0.75, spread: 0.5 } };

/** Queue of the requests for a group of targets. */
export class AdmissionQueue {
    private readonly targets: QueueTargets;
    private readonly running = new RunningRequests();
    private readonly waiting: WaitingRequests;
    private readonly offeredLoad = new OfferedLoad();
    private readonly workTimePlan: WorkTimePlan;
    private readonly suspectIsolation = new SuspectIsolation(this.running);
    private readonly slotWait: SlotWait;
    /** Undefined where scarce capacity is not shared. */
    private readonly sharing: ScarceCapacity | undefined;

    /**
     * @param random source of numbers uniform in [0, 1), for the jitter of retry delays
     * @param hasLeases true if the queue is that of a target that owns keys
     * @param sharesScarceCapacity true if slots are reserved for urgent requests and callers get equal shares
     * @param estimates work times by kind; undefined without load management
     */
    constructor(
        private readonly random: () => number, hasLeases = false, sharesScarceCapacity = false, private readonly estimates?: WorkEstimates,
    ) {
        this.targets = new QueueTargets(hasLeases, estimates !== undefined);
        this.workTimePlan = new WorkTimePlan(this.targets);
        this.waiting = new WaitingRequests(this.targets, this.workTimePlan);
        const { targets, running, waiting, offeredLoad, workTimePlan } = this;
        this.sharing = sharesScarceCapacity ? new ScarceCapacity(targets) : undefined;
        this.slotWait = new SlotWait({ targets, running, waiting, offeredLoad, workTimePlan, reservedSlots: this.sharing?.reservedSlots });
    }

    /** Number of requests that wait for a slot. */
    get waitingCount(): number {
        return this.waiting.count;
    }

    /** Number of requests that hold a slot. */
    get runningCount(): number {
        return this.running.count;
    }

    /** Lists the load and the capacity of each target. */
    describeTargets(): TargetDescription[] {
        return this.targets.describe(this.offeredLoad.meanWorkMs);
    }

    /** Describes how scarce capacity is shared; undefined where it is not. */
    describeSharing(nowMs: number): SharingDescription | undefined {
        return this.sharing?.describe(nowMs);
    }

    /** Lists the backlog of each target; empty without load management. */
    describeBacklogs(nowMs: number): TargetBacklog[] {
        return this.estimates === undefined ? [] : describeBacklogs(this.targets.all(), this.offeredLoad.meanWorkMs, nowMs);
    }

    /**
     * Applies a rate limit that a target stated to some host.
     * @param stated the limit
     * @param nowMs current monotonic time
     */
    applyRateLimit(stated: StatedRateLimit, nowMs: number): void {
        this.targets.applyRateLimit(stated, nowMs);
    }

    /**
     * Sets the share that this queue may use of what the targets' rate limits leave for requests.
     * @param share more than 0, at most 1
     * @param nowMs current monotonic time
     */
    setRateLimitShare(share: number, nowMs: number): void {
        this.targets.setRateLimitShare(share, nowMs);
    }

    /**
     * Replaces the targets; those already known keep their record.
     * @param targets all targets of the group
     * @param nowMs current monotonic time
     * @returns verdicts on waiting requests
     */
    setTargets(targets: readonly QueueTarget[], nowMs: number): AdmissionVerdict[] {
        this.targets.replace(targets, (targetId) => this.running.countAt(targetId), nowMs);
        return this.dispatch(nowMs);
    }

    /**
     * Requests a slot.
     * @param request the request
     * @param nowMs current monotonic time
     * @returns verdicts on this request and on waiting ones; contains none on this request if it has to wait
     */
    offer(request: AdmissionRequest, nowMs: number): AdmissionVerdict[] {
        this.sharing?.offer(request, nowMs);
        if (this.estimates !== undefined) {
            request.work = this.estimates.ofKind(request.kind ?? String(request.priority), request.workMs);
        }
        this.offeredLoad.count(request.workMs, !this.workTimePlan.isProbablyLate(request, nowMs), nowMs);
        const refusal = this.refusalOnArrival(request, nowMs);
        if (refusal !== undefined) {
            return [this.refuse(request, refusal, nowMs)];
        }
        this.waiting.add(request);
        return this.dispatch(nowMs);
    }

    /**
     * Removes a request whose sender no longer needs a slot. If it already holds one, the slot is freed.
     * @param ticket identifies the request
     * @param nowMs current monotonic time
     * @returns verdicts on waiting requests
     */
    withdraw(ticket: Ticket, nowMs: number): AdmissionVerdict[] {
        const waiting = this.waiting.removeTicket(ticket);
        if (waiting !== undefined) {
            this.sharing?.withdraw(waiting);
        }
        return this.running.has(ticket) ? this.finish(ticket, { kind: "dropped" }, nowMs) : [];
    }

    /**
     * Frees the slot of a request that has ended, and updates the target's observed slowness.
     * @param ticket identifies the request
     * @param end how the request ended
     * @param nowMs current monotonic time
     * @param rateLimit rate limit of the target as its last response to the sender stated it; undefined if the target has none
     * @param load newest load report of the target to the sender; undefined if there is none
     * @returns verdicts on waiting requests
     */
    finish(ticket: Ticket, end: WorkEnd, nowMs: number, rateLimit?: StatedRateLimit, load?: AgedTargetLoad): AdmissionVerdict[] {
        const ended = this.running.remove(ticket);
        if (ended === undefined) {
            return [];
        }
        this.sharing?.end(ticket);
        this.suspectIsolation.recordEnd(ended, end, nowMs);
        const record = this.targets.get(ended.targetId);
        if (record !== undefined) {
            if (end.kind === "answered") {
                this.workTimePlan.observe(record, ended, end.tookMs);
            }
            if (load !== undefined) {
                record.speed?.report(load, nowMs);
            }
            if (end.kind === "answered") {
                ended.work?.observe(end.tookMs, record.slowness, ended.sender);
            }
            this.targets.recordEnd(record, ended, end, rateLimit, nowMs);
        }
        return this.dispatch(nowMs);
    }

    /**
     * Does the periodic work: decays the slowness of targets without recent observations, frees the slots of requests whose end
     * was never reported, and refuses waiting requests that can no longer meet their deadline.
     * @param nowMs current monotonic time
     * @returns verdicts on waiting requests
     */
    tick(nowMs: number): AdmissionVerdict[] {
        this.targets.decaySlowness(nowMs);
        this.suspectIsolation.removeExpired(nowMs);
        this.sharing?.removeUnused(nowMs);
        const verdicts = this.running.expired(nowMs).flatMap((ticket) => this.finish(ticket, { kind: "lost" }, nowMs));
        this.targets.updateCapacity();
        verdicts.push(...this.dispatch(nowMs));
        const tooLate = this.slotWait.removeTooLate(nowMs).map(({ request, refusal }) => this.refuse(request, refusal, nowMs));
        return [...verdicts, ...tooLate];
    }

    private refusalOnArrival(request: AdmissionRequest, nowMs: number): Refusal | undefined {
        const open = this.targets.all().filter(({ target }) => target.isOpen);
        if (open.length === 0) {
            return { reason: "no-target", retryAfterMs: request.workMs };
        }
        const backOffMs = Math.min(...open.map((record) => backOffLeftMs(record, request.sender, nowMs)));
        if (backOffMs > 0) {
            return { reason: "paused", retryAfterMs: backOffMs };
        }
        const hasSlot = this.sharing === undefined
            ? open.some((record) => hasFreeSlot(record, nowMs))
            : this.sharing.reservedSlots.permittedTargets(request, this.targets.withFreeSlot(nowMs), nowMs).length > 0;
        return this.slotWait.refusalOnArrival(request, hasSlot, nowMs);
    }

    private dispatch(nowMs: number): AdmissionVerdict[] {
        const verdicts: AdmissionVerdict[] = [];
        while (this.waiting.count > 0) {
            const next = this.chooseNext(nowMs);
            if (next === undefined) {
                break;
            }
            this.waiting.remove(next.request);
            verdicts.push(this.grant(next.request, next.record, nowMs));
        }
        return verdicts;
    }

    /** Returns the request to send next and the target for it, or undefined if all waiting requests have to wait on. */
    private chooseNext(nowMs: number): { request: AdmissionRequest; record: TargetRecord } | undefined {
        const free = this.targets.withFreeSlot(nowMs);
        if (free.length === 0) {
            return undefined;
        }
        const starved = this.sharing?.reservedSlots.starvedPriority((priority) => this.waiting.hasPriority(priority), nowMs);
        return (starved === undefined ? undefined : this.chooseAmong(free, nowMs, starved)) ?? this.chooseAmong(free, nowMs);
    }

    /** Returns the first request in order that can be sent, of one priority if that is given, and the target for it. */
    private chooseAmong(
        free: readonly TargetRecord[], nowMs: number, priority?: number,
    ): { request: AdmissionRequest; record: TargetRecord } | undefined {
        for (const request of this.waiting.inOrder(nowMs)) {
            if (priority !== undefined && request.priority !== priority) {
                continue;
            }
            const unreserved = this.sharing?.reservedSlots.permittedTargets(request, free, nowMs) ?? free;
            if (unreserved.length === 0) {
                continue;
            }
            const permitted = this.suspectIsolation.permittedTargets(request, unreserved, nowMs);
            const record = chooseTarget(request, permitted, this.targets.all(), nowMs);
            if (record !== undefined) {
                return { request, record };
            }
        }
        return undefined;
    }

    private grant(request: AdmissionRequest, record: TargetRecord, nowMs: number): AdmissionVerdict {
        record.running += 1;
        limitersOf(record).forEach((limiter) => {
            limiter.take(nowMs);
        });
        this.running.start(request, record.target.targetId, nowMs, record.speed);
        this.sharing?.grant(request, nowMs);
        return {
            kind: "granted", ticket: request.ticket, targetId: record.target.targetId, expectedMs: request.workMs * slownessNow(record, request.work, nowMs),
            isRateLimited: hasRateLimit(record),
        };
    }

    private refuse(request: AdmissionRequest, { reason, retryAfterMs }: Refusal, nowMs: number): AdmissionVerdict {
        const { min, spread } = retryJitter[reason === "rate-limited" ? "rateLimited" : "other"];
        const { ticket, priority } = request;
        const spreadMs = reason === "overloaded" ? this.sharing?.spreadRetry(request, retryAfterMs, nowMs) : undefined;
        const jitteredMs = Math.max(minRetryAfterMs, spreadMs ?? retryAfterMs) * (min + this.random() * spread);
        this.sharing?.refuse(request, jitteredMs, nowMs);
        const isReserved = reason === "overloaded" && (this.sharing?.reservedSlots.reservedFrom(priority, nowMs) ?? 0) > 0;
        return { kind: "refused", ticket, reason, retryAfterMs: jitteredMs, ...isReserved ? { isReserved } : {} };
    }
}
