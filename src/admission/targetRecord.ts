/** State that an admission queue keeps for each target: used slots, observed slowness and pauses. */
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { DataCentreId, TargetId } from "../model/names.js";
import type { StatedRateLimit } from "../model/rateLimit.js";
import type { RateLimitUse } from "./rateLimiter.js";
import { RateLimiter } from "./rateLimiter.js";
import { TargetSpeed } from "./targetLoadReports.js";
import type { WorkEnd } from "./workEnd.js";
import type { WorkDistribution } from "./workEstimates.js";

/** The properties of a target that a queue needs. */
export interface QueueTarget {
    targetId: TargetId;
    dataCentreId: DataCentreId;
    slots: number;
    /** False while the target may get no new requests. */
    isOpen: boolean;
    warmingUp: boolean;
    /** Requests a second that it tolerates while it warms up; undefined if it does not, or tolerates any. */
    warmUpRequestsPerSecond: number | undefined;
    /** Start of the target's process; a later process starts without a rate limit. */
    bornWallMs: number;
}

/** A request that holds a slot. Times are monotonic milliseconds of the queue's host. */
export interface RunningRequest {
    targetId: TargetId;
    /** Host that sends the request. */
    sender: string;
    startedMs: number;
    /** Time at which the slot is freed if the end of the request has not been reported. */
    slotExpiryMs: number;
    /** Expected work time at a target of average speed. */
    workMs: number;
    /** Set if the request is suspected of crashing the targets that run it. */
    suspect: Fingerprint | undefined;
    /** Distribution of the work times of its kind; undefined without load management. */
    work?: WorkDistribution;
    /** Speed of the target; undefined without load management. */
    speed?: TargetSpeed;
    /** Logarithm of the slowness that the target reported when the request was sent. */
    reportedLog?: number;
}

/** A target with its running requests and observations. Times are monotonic milliseconds of the queue's host. */
export interface TargetRecord {
    target: QueueTarget;
    running: number;
    /** Work time at this target divided by the average work time of such requests. */
    slowness: number;
    /** Number of observations behind `slowness`. */
    observationCount: number;
    /** Time of the newest observation. */
    lastObservedMs: number;
    /** Until this time the target gets no requests from any host. */
    pausedUntilMs: number;
    /** End of the back-off for each host that the target has asked for one; undefined if there has been none. */
    backOffEndMsByHost: Map<string, number> | undefined;
    /** Keeps the target's rate limit; undefined if it has none. */
    rateLimiter: RateLimiter | undefined;
    /** Keeps the rate that the target tolerates while it warms up; undefined at other times. */
    warmUpLimiter: RateLimiter | undefined;
    /** Time at which the last rate limit ended; earlier statements of a limit do not count any more. */
    rateLimitEndedMs: number;
    /** Current speed by kind and report; undefined without load management. */
    speed?: TargetSpeed;
}

/** Weight of a new observation in the moving average of `slowness`; the first observations weigh more. */
const minObservationWeight = 0.12;

/** Bounds of `slowness`. */
const minSlowness = 0.25;
export const maxSlowness = 20;

/** Time for which a target gets no requests from any host after it could not be reached, or after it refused a request. */
const pauseAfterUnreachableMs = 300;
const pauseAfterTurnedAwayMs = 15;

/**
 * A slow target without observations for `decayAfterMs` counts as less slow from then on: the excess of its slowness over 1
 * decays exponentially, to 37 % (1/e) in each further `decayTimeConstantMs`.
 */
const decayAfterMs = 1_000;
const decayTimeConstantMs = 2_000;

/** Initial slowness of a target that is still warming up. */
const warmUpSlowness = 2;

/**
 * Creates the record of a target without observations.
 * @param target the target
 * @param running number of requests that already hold a slot there
 * @param nowMs current monotonic time
 * @param isLoadManaged whether its speed by kind and its reports are followed
 */
export function newTargetRecord(target: QueueTarget, running: number, nowMs: number, isLoadManaged = false): TargetRecord {
    const slowness = target.warmingUp ? warmUpSlowness : 1;
    return {
        target, running, slowness, observationCount: 0, lastObservedMs: nowMs, pausedUntilMs: 0, backOffEndMsByHost: undefined,
        rateLimiter: undefined, warmUpLimiter: undefined, rateLimitEndedMs: Number.NEGATIVE_INFINITY,
        ...isLoadManaged ? { speed: new TargetSpeed() } : {},
    };
}

type RecordEnd<Kind extends WorkEnd["kind"]> = (
    record: TargetRecord, ended: RunningRequest, end: Extract<WorkEnd, { kind: Kind }>, nowMs: number,
) => void;

const recordEndByKind: { [Kind in WorkEnd["kind"]]: RecordEnd<Kind> } = {
    "answered": (record, ended, { tookMs }, nowMs) => {
        observeSlowness(record, usualSlowness(record, ended, tookMs, nowMs) ?? tookMs / Math.max(1, ended.workMs), nowMs);
    },
    "late": (record, ended, { afterMs }, nowMs) => {
        const slowness = usualSlowness(record, ended, afterMs, nowMs) ?? afterMs / Math.max(1, ended.workMs);
        observeSlowness(record, Math.max(record.slowness, slowness), nowMs);
    },
    "turned-away": (record, { sender }, { pauseMs }, nowMs) => {
        record.pausedUntilMs = nowMs + pauseAfterTurnedAwayMs;
        if (pauseMs !== undefined) {
            record.backOffEndMsByHost ??= new Map();
            record.backOffEndMsByHost.set(sender, nowMs + pauseMs);
        }
    },
    "unreachable": (record, _ended, _end, nowMs) => {
        record.pausedUntilMs = nowMs + pauseAfterUnreachableMs;
    },
    "lost": () => undefined,
    "dropped": () => undefined,
};

function observeSlowness(record: TargetRecord, slowness: number, nowMs: number): void {
    record.observationCount += 1;
    record.lastObservedMs = nowMs;
    const weight = Math.max(minObservationWeight, 1 / (record.observationCount + 1));
    const mean = record.speed === undefined
        ? record.slowness + weight * (slowness - record.slowness)
        : Math.exp(Math.log(record.slowness) + weight * Math.log(clamp(slowness, minSlowness, maxSlowness) / record.slowness));
    record.slowness = clamp(mean, minSlowness, maxSlowness);
}

/** Returns the slowness that a duration shows apart from the kind of request and the report; undefined without load management. */
function usualSlowness(
    { speed, slowness }: TargetRecord, { work, reportedLog }: RunningRequest, tookMs: number, nowMs: number,
): number | undefined {
    return speed === undefined || work === undefined
        ? undefined
        : Math.exp(speed.observe(work.index, Math.log(Math.max(1, tookMs)) - work.meanLog, Math.log(slowness), reportedLog ?? 0, nowMs));
}

/** Returns how slow a target is now for requests of a kind, or for those of all kinds if `work` is undefined. */
export function slownessNow({ slowness, speed }: TargetRecord, work: WorkDistribution | undefined, nowMs: number): number {
    const factorLog = speed === undefined ? 0 : speed.reportedLog(nowMs) + (work === undefined ? 0 : speed.offsetOf(work.index, nowMs));
    return factorLog === 0 ? slowness : slowness * Math.exp(factorLog);
}

/**
 * Decays the slowness of a target without recent observations. A slow target gets few or no requests, so without the decay it
 * would not be used again after it has recovered.
 * @param record the target's record, which is modified
 * @param elapsedMs time since the last call
 * @param nowMs current monotonic time
 */
export function decaySlowness(record: TargetRecord, elapsedMs: number, nowMs: number): void {
    if (record.slowness > 1 && nowMs - record.lastObservedMs > decayAfterMs) {
        record.slowness = 1 + (record.slowness - 1) * Math.exp(-elapsedMs / decayTimeConstantMs);
    }
}

/**
 * Updates the slowness and the pauses of a target after the end of a request.
 * @param record the target's record, which is modified
 * @param ended the request
 * @param end how the request ended
 * @param nowMs current monotonic time
 */
export function recordEnd(record: TargetRecord, ended: RunningRequest, end: WorkEnd, nowMs: number): void {
    (recordEndByKind[end.kind] as RecordEnd<WorkEnd["kind"]>)(record, ended, end, nowMs);
}

/** Returns whether a target can be sent one more request now. */
export function hasFreeSlot(record: TargetRecord, nowMs: number): boolean {
    const { target, running, pausedUntilMs } = record;
    return target.isOpen && running < target.slots && nowMs >= pausedUntilMs
        && hasToken(record.rateLimiter, nowMs) && hasToken(record.warmUpLimiter, nowMs);
}

function hasToken(limiter: RateLimiter | undefined, nowMs: number): boolean {
    return limiter === undefined || limiter.availableTokens(nowMs) >= 1;
}

function slotsPermittedBy(limiter: RateLimiter | undefined, meanWorkMs: number): number {
    return limiter === undefined ? Number.POSITIVE_INFINITY : limiter.permittedPerSecond * meanWorkMs / 1_000;
}

/** Returns the remaining time for which a host has to back off from a target, or 0 if it does not have to. */
export function backOffLeftMs({ backOffEndMsByHost }: TargetRecord, sender: string, nowMs: number): number {
    return Math.max(0, (backOffEndMsByHost?.get(sender) ?? 0) - nowMs);
}

/**
 * Applies a rate limit that a target stated to some host, unless a later statement or the end of the limit is known.
 * @param record the target's record, which is modified
 * @param stated the limit
 * @param use the part of the limit that this queue may use
 * @param nowMs current monotonic time
 */
export function applyRateLimit(record: TargetRecord, stated: StatedRateLimit, use: RateLimitUse, nowMs: number): void {
    const statedAtMs = nowMs - stated.ageMs;
    if (stated.bornWallMs !== record.target.bornWallMs || statedAtMs <= record.rateLimitEndedMs) {
        return;
    }
    if (record.rateLimiter === undefined) {
        record.rateLimiter = new RateLimiter(stated.requestsPerSecond, use, statedAtMs, nowMs);
    }
    else if (statedAtMs >= record.rateLimiter.lastStatedMs) {
        record.rateLimiter.restate(stated.requestsPerSecond, statedAtMs, nowMs);
    }
}

/**
 * Ends a target's rate limit after a response that stated none, if the request was sent after the newest statement of the limit.
 * @param record the target's record, which is modified
 * @param ended the request
 * @param nowMs current monotonic time
 */
export function endRateLimit(record: TargetRecord, { startedMs }: RunningRequest, nowMs: number): void {
    if (record.rateLimiter !== undefined && startedMs >= record.rateLimiter.lastStatedMs) {
        record.rateLimiter = undefined;
        record.rateLimitEndedMs = nowMs;
    }
}

/**
 * Returns what a target can do in parallel, in slots of a target of average speed.
 * @param record the target's record
 * @param meanWorkMs mean work time of a request at a target of average speed; together with a rate limit it bounds the work in progress
 */
export function capacityOf(record: TargetRecord, meanWorkMs: number): number {
    const slots = record.target.slots / record.slowness;
    return limitersOf(record).reduce((least, limiter) => Math.min(least, limiter.perSecondOfAllHosts * meanWorkMs / 1_000), slots);
}

/**
 * Returns the part of a target's capacity that its queue here may use: all of it, unless this host stands in for the one that keeps the
 * queue and the target has a rate limit.
 */
export function effectiveSlots(record: TargetRecord, meanWorkMs: number): number {
    const slots = record.target.slots / record.slowness;
    return Math.min(slots, slotsPermittedBy(record.rateLimiter, meanWorkMs), slotsPermittedBy(record.warmUpLimiter, meanWorkMs));
}

/** Tells whether the rate of requests to a target is limited now. */
export function hasRateLimit({ rateLimiter, warmUpLimiter }: TargetRecord): boolean {
    return rateLimiter !== undefined || warmUpLimiter !== undefined;
}

/** Lists the limiters that bound the rate of requests to a target now. */
export function limitersOf({ rateLimiter, warmUpLimiter }: TargetRecord): RateLimiter[] {
    return [...rateLimiter === undefined ? [] : [rateLimiter], ...warmUpLimiter === undefined ? [] : [warmUpLimiter]];
}

/**
 * Updates a record after a change of its target. A later process of the target starts without a rate limit.
 * @param record the target's record, which is modified
 * @param target the target as it is now
 * @param use the part of its limits that this queue may use
 * @param nowMs current monotonic time
 */
export function updateTarget(record: TargetRecord, target: QueueTarget, use: RateLimitUse, nowMs: number): void {
    record.rateLimiter = record.target.bornWallMs === target.bornWallMs ? record.rateLimiter : undefined;
    record.target = target;
    const { warmUpRequestsPerSecond } = target;
    if (record.warmUpLimiter?.limit !== warmUpRequestsPerSecond) {
        record.warmUpLimiter = warmUpRequestsPerSecond === undefined
            ? undefined
            : new RateLimiter(warmUpRequestsPerSecond, { ...use, hasLeases: false }, nowMs, nowMs);
    }
}

/** Returns the target that is expected to answer first, or undefined if there are no targets. */
export function fastestTarget(records: readonly TargetRecord[]): TargetRecord | undefined {
    const relativeTimeOf = ({ target, slowness, running }: TargetRecord) => slowness * (1 + running / target.slots);
    return records.reduce<TargetRecord | undefined>(
        (best, record) => best === undefined || relativeTimeOf(record) < relativeTimeOf(best) ? record : best, undefined);
}

function clamp(value: number, min: number, max: number): number {
    return Math.min(max, Math.max(min, value));
}
