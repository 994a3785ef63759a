/** The targets of an admission queue: their records and rate limits, and what they can do together. */
import type { TargetId } from "../model/names.js";
import type { StatedRateLimit } from "../model/rateLimit.js";
import { isEveryRateLimited, minOpenSlowness, rateLimitWaitMs, totalEffectiveSlots } from "./queueCapacity.js";
import type { RateLimitUse } from "./rateLimiter.js";
import type { QueueTarget, RunningRequest, TargetRecord } from "./targetRecord.js";
import type { WorkEnd } from "./workEnd.js";
import {
    applyRateLimit, capacityOf, decaySlowness, endRateLimit, hasFreeSlot, limitersOf, newTargetRecord, recordEnd, updateTarget,
} from "./targetRecord.js";

/** Upper bound of the slowness that `describe` lists; a target with a rate limit may do far less work than its slots allow. */
const maxReportedSlowness = 200;

/** Load and capacity of a target, as its queue knows them. */
export interface TargetDescription {
    targetId: TargetId;
    running: number;
    observationCount: number;
    /** Slots divided by what the target can do in parallel, in slots of a target of average speed. */
    slowness: number;
    /** Rate limit that the target stated; undefined if it has none. */
    requestsPerSecond: number | undefined;
}

/** Targets of a queue. */
export class QueueTargets {
    private readonly records = new Map<TargetId, TargetRecord>();
    /** Slowness of the fastest open target. */
    private minSlowness = 1;
    /** True while the rate of requests to every open target is limited. */
    private areAllRateLimited = false;
    private lastDecayMs = 0;
    /** The part of the targets' rate limits that this queue may use. */
    private rateLimitUse: RateLimitUse;

    /**
     * @param hasLeases true if the queue is that of a target that owns keys
     * @param isLoadManaged whether the speed of targets by kind and their reports are followed
     */
    constructor(hasLeases: boolean, private readonly isLoadManaged = false) {
        this.rateLimitUse = { share: 1, hasLeases };
    }

    /** Slowness of the fastest open target. */
    get minOpenSlowness(): number {
        return this.minSlowness;
    }

    /** True while the rate of requests to every open target is limited. */
    get isEveryRateLimited(): boolean {
        return this.areAllRateLimited;
    }

    /** Returns a target, or undefined if it does not belong to the queue. */
    get(targetId: TargetId): TargetRecord | undefined {
        return this.records.get(targetId);
    }

    /** Lists all targets. */
    all(): TargetRecord[] {
        return [...this.records.values()];
    }

    /** Lists the targets that can be sent one more request now. */
    withFreeSlot(nowMs: number): TargetRecord[] {
        return this.all().filter((record) => hasFreeSlot(record, nowMs));
    }

    /**
     * Replaces the targets; those already known keep their record.
     * @param targets all targets of the queue
     * @param countRunning counts the requests that hold a slot of a target
     * @param nowMs current monotonic time
     */
    replace(targets: readonly QueueTarget[], countRunning: (targetId: TargetId) => number, nowMs: number): void {
        const ids = new Set(targets.map(({ targetId }) => targetId));
        for (const id of [...this.records.keys()].filter((known) => !ids.has(known))) {
            this.records.delete(id);
        }
        for (const target of targets) {
            const record = this.records.get(target.targetId)
                ?? newTargetRecord(target, countRunning(target.targetId), nowMs, this.isLoadManaged);
            updateTarget(record, target, this.rateLimitUse, nowMs);
            this.records.set(target.targetId, record);
        }
        this.updateCapacity();
    }

    /**
     * Applies a rate limit that a target stated to some host.
     * @param stated the limit
     * @param nowMs current monotonic time
     */
    applyRateLimit(stated: StatedRateLimit, nowMs: number): void {
        const record = this.records.get(stated.targetId);
        if (record !== undefined) {
            applyRateLimit(record, stated, this.rateLimitUse, nowMs);
            this.updateCapacity();
        }
    }

    /**
     * Sets the share that this queue may use of what the targets' rate limits leave for requests.
     * @param share more than 0, at most 1
     * @param nowMs current monotonic time
     */
    setRateLimitShare(share: number, nowMs: number): void {
        if (share !== this.rateLimitUse.share) {
            this.rateLimitUse = { ...this.rateLimitUse, share };
            this.all().flatMap(limitersOf).forEach((limiter) => {
                limiter.setShare(share, nowMs);
            });
        }
    }

    /**
     * Updates a target's record after the end of a request.
     * @param record the target's record, which is modified
     * @param ended the request
     * @param end how the request ended
     * @param rateLimit rate limit of the target as its last response to the sender stated it; undefined if the target has none
     * @param nowMs current monotonic time
     */
    recordEnd(record: TargetRecord, ended: RunningRequest, end: WorkEnd, rateLimit: StatedRateLimit | undefined, nowMs: number): void {
        record.running -= 1;
        recordEnd(record, ended, end, nowMs);
        if (rateLimit !== undefined) {
            applyRateLimit(record, rateLimit, this.rateLimitUse, nowMs);
        }
        else if (end.kind === "answered") {
            endRateLimit(record, ended, nowMs);
        }
        this.updateCapacity();
    }

    /** Decays the slowness of targets without recent observations; `updateCapacity` has to be called afterwards. */
    decaySlowness(nowMs: number): void {
        for (const record of this.records.values()) {
            decaySlowness(record, nowMs - this.lastDecayMs, nowMs);
        }
        this.lastDecayMs = nowMs;
    }

    /** Updates `minOpenSlowness` and `isEveryRateLimited` after a change of the records. */
    updateCapacity(): void {
        this.minSlowness = minOpenSlowness(this.records.values());
        this.areAllRateLimited = isEveryRateLimited(this.records.values());
    }

    /** Returns the total slots of the open targets, in slots of targets of average speed. */
    totalEffectiveSlots(meanWorkMs: number): number {
        return totalEffectiveSlots(this.records.values(), meanWorkMs);
    }

    /**
     * Returns the time until the rate limits permit one more request; 0 unless the rate to every open target is limited.
     * @param sentBefore number of waiting requests that are sent before it
     * @param nowMs current monotonic time
     */
    rateLimitWaitMs(sentBefore: number, nowMs: number): number {
        return this.areAllRateLimited ? rateLimitWaitMs(this.all(), sentBefore, nowMs) : 0;
    }

    /** Lists the load and the capacity of each target, for requests with a given mean work time. */
    describe(meanWorkMs: number): TargetDescription[] {
        return this.all().map((record) => ({
            targetId: record.target.targetId, running: record.running, observationCount: record.observationCount,
            slowness: Math.min(maxReportedSlowness, record.target.slots / capacityOf(record, meanWorkMs)),
            requestsPerSecond: record.rateLimiter?.limit,
        }));
    }
}
