/** Has a leaving target release the keys that move away from it. */
import type { KeyRange } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { LeaseManager, ReleaseOutcome } from "./leaseManager.js";
import { defaultHoldMs } from "./leaseTerms.js";

/** The work in progress on a leaving target is awaited until the target's lease would have expired anyway. */
const leavingReleaseTimeoutMs = defaultHoldMs;

/** A failed release by a leaving target is retried for this long, with this delay; each attempt extends the target's lease. */
const releaseRetryPeriodMs = 1_000;
const releaseRetryDelayMs = 120;

/**
 * Has a leaving target release a range. An overloaded target resets connections, and retrying takes less time than waiting for its
 * leases to expire.
 * @param manager lease manager of the target, or undefined if there is none any more
 * @param range a range of the target
 */
export async function releaseFromLeaving(
    manager: LeaseManager | undefined, range: KeyRange, clock: Clock,
): Promise<ReleaseOutcome | undefined> {
    const latestMs = clock.now().monoMs + releaseRetryPeriodMs;
    let heldUntilMs = Number.NEGATIVE_INFINITY;
    for (;;) {
        const outcome = await manager?.release(range, leavingReleaseTimeoutMs);
        if (outcome?.kind !== "failed") {
            return outcome;
        }
        heldUntilMs = Math.max(heldUntilMs, outcome.heldUntilMs);
        if (clock.now().monoMs > latestMs || manager?.isSilent === true || manager?.hasEnded === true) {
            return { ...outcome, heldUntilMs };
        }
        await clock.sleep(releaseRetryDelayMs);
    }
}
