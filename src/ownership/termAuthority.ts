/** Limits how long a coordinator may act after the store last confirmed its term. */
import type { Instant } from "../model/time.js";

/** Validity of a confirmation, from the sending of the call that the store answered. */
export const authorityMs = 2_000;

/**
 * Authority of one term. The monotonic clock stops while a host is suspended, and the wall clock may be set back, so the elapsed time
 * is taken from the clock that shows more of it.
 */
export class TermAuthority {
    private confirmed: Instant | undefined;

    /**
     * Records that the store has confirmed the term.
     * @param askedAt time at which the call was sent that the store answered
     */
    confirm(askedAt: Instant): void {
        if (this.confirmed === undefined || askedAt.monoMs > this.confirmed.monoMs) {
            this.confirmed = askedAt;
        }
    }

    /** Returns the time since the call for the last confirmation was sent. */
    ageMs(now: Instant): number {
        return this.confirmed === undefined
            ? Number.POSITIVE_INFINITY
            : Math.max(now.monoMs - this.confirmed.monoMs, now.wallMs - this.confirmed.wallMs);
    }

    /** Tells whether the coordinator may still act. */
    isHeld(now: Instant): boolean {
        return this.ageMs(now) < authorityMs;
    }

    /** Ends the authority at once. */
    drop(): void {
        this.confirmed = undefined;
    }
}
