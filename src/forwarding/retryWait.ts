/**
 * Waits before a request is sent again.
 *
 * Load pattern: the leases of many targets have lapsed, for example after a change of coordinator, so that owners reject the requests for
 * their keys. Until something is learned of the owner, each request that is sent there again only uses up the retry budget.
 */
import type { Key, ServiceId, TargetId } from "../model/names.js";
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { AttemptEnd } from "./attemptEnds.js";

/** Delay before a retry, which may go to the same target again, even if that target has just rejected the request. */
const retryDelayMs = 15;

/** Delay after the first rejection by a target that doesn't hold the request's key; each further one multiplies it by the factor. */
const firstOwnerDelayMs = 50;
const ownerDelayFactor = 3;

/** Status of a target that doesn't hold the request's key. */
const misdirectedStatus = 421;

/** A request that is to be sent again. */
export interface WaitingRetry {
    serviceId: ServiceId;
    /** Undefined if targets of the service own no keys. */
    key: Key | undefined;
    /** Number of attempts so far. */
    attemptCount: number;
    clientLeft: AbortSignal;
}

/** Dependencies of a retry wait. */
export interface RetryWaitDependencies {
    owners: Pick<OwnerLookup, "changed" | "find">;
    clock: Clock;
}

/** Resolves when the request may be sent again; `targetId` is the target of the attempt that ended with `end`. */
export type RetryWait = (retry: WaitingRetry, targetId: TargetId, end: AttemptEnd) => Promise<void>;

/** Creates the wait. */
export function createRetryWait({ owners, clock }: RetryWaitDependencies): RetryWait {
    const nowMs = () => clock.now().monoMs;

    const isOwner = (serviceId: ServiceId, key: Key, targetId: TargetId): boolean => {
        const status = owners.find(serviceId, key, nowMs());
        return status.kind === "owned" && status.targetId === targetId;
    };

    /** Waits until another owner of the key is known, or none, at most for a time that grows with the attempts. */
    const waitForOwner = async ({ serviceId, attemptCount, clientLeft }: WaitingRetry, key: Key, targetId: TargetId) => {
        const untilMs = nowMs() + firstOwnerDelayMs * ownerDelayFactor ** (attemptCount - 1);
        while (nowMs() < untilMs && !clientLeft.aborted && isOwner(serviceId, key, targetId)) {
            await waitFor(clock, untilMs - nowMs(), [owners.changed], clientLeft);
        }
    };

    return async (retry, targetId, end) => {
        const isMisdirected = end.kind === "turned-away" && end.status === misdirectedStatus;
        await (isMisdirected && retry.key !== undefined
            ? waitForOwner(retry, retry.key, targetId)
            : clock.sleep(retryDelayMs, retry.clientLeft));
    };
}
