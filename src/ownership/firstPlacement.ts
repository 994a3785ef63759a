/**
 * Decides when the keys of a service that nobody owns yet are given out for the first time.
 *
 * Load pattern: at the start of a deployment targets register one after the other, hundreds of them over seconds. The first ones
 * would get all keys, and most of them would have to move again; the first grant of a key costs nobody anything. Once clients
 * come, nothing is worth waiting for.
 */

/** No target has come for this long: those that are there are taken for all. */
const settledAfterMs = 900;

/** Hosts are not ready without owners, so stragglers are not waited for longer than this. */
const longestWaitMs = 5_000;

/** Waits until the targets of one service have come. */
export class FirstPlacement {
    private firstMs: number | undefined;
    private grewMs = 0;
    private most = 0;

    /**
     * Tells whether the keys may be given out.
     * @param targetCount targets that are registered now
     * @param hasRequests whether any request for the service has come
     * @param nowMs now
     */
    isDue(targetCount: number, hasRequests: boolean, nowMs: number): boolean {
        if (targetCount === 0) {
            return false;
        }
        this.firstMs ??= nowMs;
        if (targetCount > this.most) {
            this.most = targetCount;
            this.grewMs = nowMs;
        }
        return hasRequests || nowMs - this.grewMs >= settledAfterMs || nowMs - this.firstMs >= longestWaitMs;
    }
}
