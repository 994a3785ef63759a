/** How long leases last, and how often they are renewed. */

/** Period of renewals. */
export const renewMs = 700;

/** Lease while the store answers: short, so that the keys of a lost target are soon free. */
export const usualHoldMs = 2_300;

/** A target's clock may run slow by 2 %. */
const clockRateBound = 1.02;

/** Covers the way of a grant that is delivered after its connection was reset. */
const flightMs = 100;

/** Longest time from the sending of a grant to the end of its lease, when its arrival is certain to be soon. */
export function holdBoundMs(holdMs: number): number {
    return holdMs * clockRateBound + flightMs;
}
