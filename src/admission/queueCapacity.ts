/** Calculates what the open targets of a queue can do together. */
import type { TargetRecord } from "./targetRecord.js";
import { effectiveSlots, hasRateLimit, limitersOf, maxSlowness } from "./targetRecord.js";

/** Lower bound of the total, which keeps the expected wait finite. */
const minEffectiveSlots = 0.05;

/**
 * Returns the total slots of the open targets, converted to slots of targets of average speed.
 * @param records all targets of the queue
 * @param meanWorkMs mean work time of a request at a target of average speed
 */
export function totalEffectiveSlots(records: Iterable<TargetRecord>, meanWorkMs: number): number {
    let slots = 0;
    for (const record of records) {
        slots += record.target.isOpen ? effectiveSlots(record, meanWorkMs) : 0;
    }
    return Math.max(minEffectiveSlots, slots);
}

/** Returns the slowness of the fastest open target. */
export function minOpenSlowness(records: Iterable<TargetRecord>): number {
    let least = maxSlowness;
    for (const { target, slowness } of records) {
        least = target.isOpen ? Math.min(least, slowness) : least;
    }
    return least;
}

/** Returns whether the rate of requests to every open target is limited; false if none is open. */
export function isEveryRateLimited(records: Iterable<TargetRecord>): boolean {
    let hasOpen = false;
    for (const record of records) {
        if (record.target.isOpen && !hasRateLimit(record)) {
            return false;
        }
        hasOpen ||= record.target.isOpen;
    }
    return hasOpen;
}

/**
 * Returns the time until the rate limits permit one more request, if the rate to every open target is limited.
 * @param records all targets of the queue
 * @param sentBefore number of waiting requests that are sent before it
 * @param nowMs current monotonic time
 */
export function rateLimitWaitMs(records: readonly TargetRecord[], sentBefore: number, nowMs: number): number {
    const tightest = records.filter(({ target }) => target.isOpen).map((record) =>
        limitersOf(record).reduce((left, right) => left.permittedPerSecond < right.permittedPerSecond ? left : right));
    const tokens = tightest.reduce((sum, limiter) => sum + limiter.availableTokens(nowMs), 0);
    const perSecond = tightest.reduce((sum, limiter) => sum + limiter.permittedPerSecond, 0);
    return Math.max(0, (sentBefore + 1 - tokens) / perSecond * 1_000);
}
