/** Durations of leases and their renewals. */
import { leaseCallBudget } from "../model/rateLimit.js";

/** Interval between two renewals of a lease. */
export const renewalIntervalMs = 700;

/** Longest interval between two renewals, for a target with a rate limit. */
const maxRenewalIntervalMs = 3_000;

/** Duration of a lease while the store responds: short, so that the keys of a lost target are free soon. */
export const defaultHoldMs = 2_300;

/** A target's clock may run slow by 2 %, so that its leases last longer. */
const clockRateBound = 1.02;

/** Allows for the transit time of a grant that is delivered after its connection was reset. */
const transitMs = 100;

/** How often a target's leases are renewed, and for how long. */
export interface RenewalTerms {
    intervalMs: number;
    holdMs: number;
}

/**
 * Returns the terms of a target's next renewals. Leases of a target with a rate limit are renewed less often, and last longer in
 * proportion, so that the renewals leave most of the limit to requests.
 * @param rateLimit the target's rate limit in requests a second; undefined if it has none
 * @param rangeCount number of the target's leases
 * @param holdMs duration of a lease of a target without a rate limit
 * @param maxHoldMs longest permitted duration
 */
export function renewalTerms(rateLimit: number | undefined, rangeCount: number, holdMs: number, maxHoldMs: number): RenewalTerms {
    if (rateLimit === undefined) {
        return { intervalMs: renewalIntervalMs, holdMs };
    }
    const holdPerInterval = defaultHoldMs / renewalIntervalMs;
    const longestMs = Math.max(renewalIntervalMs, Math.min(maxRenewalIntervalMs, maxHoldMs / holdPerInterval));
    const wantedMs = 1_000 * rangeCount / Math.max(Number.EPSILON, leaseCallBudget(rateLimit));
    const intervalMs = Math.min(longestMs, Math.max(renewalIntervalMs, wantedMs));
    return { intervalMs, holdMs: Math.min(maxHoldMs, Math.max(holdMs, Math.round(intervalMs * holdPerInterval))) };
}

/**
 * Returns the longest time from the sending of a grant to the expiry of its lease, if the grant arrives within the transit time.
 * @param holdMs duration of the lease
 */
export function maxTimeToExpiryMs(holdMs: number): number {
    return holdMs * clockRateBound + transitMs;
}
