/** Durations of leases and their renewals. */

/** Interval between two renewals of a lease. */
export const renewalIntervalMs = 700;

/** Duration of a lease while the store responds: short, so that the keys of a lost target are free soon. */
export const defaultHoldMs = 2_300;

/** A target's clock may run slow by 2 %, so that its leases last longer. */
const clockRateBound = 1.02;

/** Allows for the transit time of a grant that is delivered after its connection was reset. */
const transitMs = 100;

/**
 * Returns the longest time from the sending of a grant to the expiry of its lease, if the grant arrives within the transit time.
 * @param holdMs duration of the lease
 */
export function maxTimeToExpiryMs(holdMs: number): number {
    return holdMs * clockRateBound + transitMs;
}
