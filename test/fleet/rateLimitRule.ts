/** The platform's rule for rate limits that servers state. */
import type { Arrival } from "../../platform/standins/serverStandIn.js";

/** Bounds of the rule: from `settledMs` after a limit was first stated, in any `rateLimitWindowMs`. */
export const rateLimitWindowMs = 4_000;
export const settledMs = 3_000;
const toleratedRatio = 1.5;
const toleratedExtra = 5;

/**
 * The rule counts what hosts send from this time on after they passed on a statement; `maxArrivalsPerWindow` counts everything from
 * this time on after the first statement, from whatever host.
 */
const noticeMs = 500;

/** Returns how many requests a server may get in any window. */
export function allowedPerWindow(limitPerSecond: number): number {
    return toleratedRatio * limitPerSecond * rateLimitWindowMs / 1_000 + toleratedExtra;
}

/**
 * Returns the largest number of arrivals in any window that ends at least `settledMs` after the first statement.
 * @param arrivals arrivals at the server, in order
 * @param statedMs time of the first statement
 * @param untilMs time at which the limit ended
 */
export function maxArrivalsPerWindow(arrivals: readonly Arrival[], statedMs: number, untilMs = Number.POSITIVE_INFINITY): number {
    const timesMs = arrivals.map(({ atMs }) => atMs).filter((atMs) => atMs >= statedMs + noticeMs && atMs <= untilMs);
    return Math.max(0, ...timesMs.filter((endMs) => endMs >= statedMs + settledMs)
        .map((endMs) => timesMs.filter((atMs) => atMs > endMs - rateLimitWindowMs && atMs <= endMs).length));
}
