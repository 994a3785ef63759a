/** Tells from the times of appends whether the store responds. */

/** An append that takes longer than this multiple of the last answered one's time, within bounds, shows that the store is failing. */
const slowAppendRatio = 3;
const minSlowAppendMs = 150;
const maxSlowAppendMs = 900;

/** After an append that failed or was not answered, the store counts as failing for this long; then it is tried again. */
const failureCountsForMs = 1_000;

/** The store's responses to appends, of which one at a time is sent. Times are monotonic milliseconds. */
export class StoreResponse {
    private pendingSinceMs: number | undefined;
    private failedMs = Number.NEGATIVE_INFINITY;
    private slowMs = minSlowAppendMs;

    /** Time after which an append without an answer shows that the store is failing. */
    get slowAppendMs(): number {
        return this.slowMs;
    }

    /** Records that an append was sent. */
    recordSent(nowMs: number): void {
        this.pendingSinceMs = nowMs;
    }

    /** Records the end of the append that was sent last, and whether the store answered it without an error. */
    recordOutcome(isAnswered: boolean, nowMs: number): void {
        const tookMs = nowMs - (this.pendingSinceMs ?? nowMs);
        this.pendingSinceMs = undefined;
        this.slowMs = isAnswered ? Math.min(maxSlowAppendMs, Math.max(minSlowAppendMs, tookMs * slowAppendRatio)) : this.slowMs;
        this.failedMs = isAnswered ? Number.NEGATIVE_INFINITY : nowMs;
    }

    /** Tells whether no append has failed recently, and none has been unanswered for too long. */
    isResponding(nowMs: number): boolean {
        return nowMs - this.failedMs > failureCountsForMs
            && (this.pendingSinceMs === undefined || nowMs - this.pendingSinceMs < this.slowMs);
    }
}
