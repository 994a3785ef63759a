/** The time for which a coordinator may act on the store's last confirmation of its term. */
import type { Instant } from "../model/time.js";

/** A coordinator acts no longer than this after it asked the store for the confirmation that it got last. */
export const authorityMs = 2_000;

/**
 * Authority of one term. A suspended host's monotonic clock stands still and its wall clock may be set back, so the
 * time that has passed counts by whichever clock shows more.
 */
export class TermAuthority {
    private confirmed: Instant | undefined;

    /**
     * Notes that the store confirmed the term.
     * @param askedAt when the call was sent that the store answered
     */
    confirm(askedAt: Instant): void {
        if (this.confirmed === undefined || askedAt.monoMs > this.confirmed.monoMs) {
            this.confirmed = askedAt;
        }
    }

    /** Time since the last confirmation was asked for. */
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
