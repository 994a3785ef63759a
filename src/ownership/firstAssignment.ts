/**
 * Decides when the keys of a service are assigned for the first time.
 *
 * Load pattern: when a deployment starts, targets register one after the other, hundreds of them over several seconds. If the first
 * ones received all keys, most keys would have to move again, whereas the first assignment of a key interrupts no work. Waiting costs
 * nothing as long as there are no requests; once requests arrive, the keys are assigned at once.
 */

/** When no target has registered for this long, all targets are assumed to be registered. */
const stableAfterMs = 900;

/** Hosts are not ready while keys have no owners, so late targets are not awaited for longer than this. */
const maxWaitMs = 5_000;

/** Tracks the registration of one service's targets. */
export class FirstAssignment {
    private firstTargetMs: number | undefined;
    private lastIncreaseMs = 0;
    private maxTargetCount = 0;

    /**
     * Tells whether the keys are to be assigned now.
     * @param targetCount number of registered targets
     * @param hasRequests whether any request for the service has arrived
     * @param nowMs current monotonic time
     */
    isDue(targetCount: number, hasRequests: boolean, nowMs: number): boolean {
        if (targetCount === 0) {
            return false;
        }
        this.firstTargetMs ??= nowMs;
        if (targetCount > this.maxTargetCount) {
            this.maxTargetCount = targetCount;
            this.lastIncreaseMs = nowMs;
        }
        return hasRequests || nowMs - this.lastIncreaseMs >= stableAfterMs || nowMs - this.firstTargetMs >= maxWaitMs;
    }
}
