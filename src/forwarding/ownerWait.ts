/**
 * Decides whether a request waits until its key has an owner, or is refused.
 *
 * Load pattern: an owner is lost or shuts down while the store is unavailable, so that its keys have no owner for seconds. If
 * requests waited until their deadline, all of them would be refused then. So a request is refused at once if the wait is known to
 * be too long, and after a short wait if its duration is unknown. A planned move takes a few tens of milliseconds.
 */
import type { OwnerStatus } from "../ownership/ownerLookup.js";

/** A key without an owner, and a request that waits for it. */
export interface OwnerWaitSituation {
    status: Exclude<OwnerStatus, { kind: "owned" }>;
    /** Time for which the request has waited for an owner. */
    waitedMs: number;
    /** Limit on the wait, determined when it began; see `maxOwnerWaitMs`. */
    maxWaitMs: number;
    /** Time left until the request must be sent in order to be answered in time. */
    remainingMs: number;
}

/** Decision on a request that waits for an owner. */
export type OwnerWaitDecision =
    /** Check again when the ownership changes, at the latest after this time. */
    | { kind: "wait"; recheckAfterMs: number }
    /** Refuse the request; the key may have an owner after this time. */
    | { kind: "refuse"; retryAfterMs: number };

/** Longest wait beyond the announced time, or in total if none was announced; moves that take longer are cancelled. */
const maxUnknownWaitMs = 700;

/** Interval at which the owner is looked up again if no change was signalled. */
const recheckIntervalMs = 250;

/** Minimum retry delay sent to clients, and the delay used if the time until the key has an owner is unknown. */
const minRetryAfterMs = 250;
const defaultRetryAfterMs = 600;

/**
 * Decides whether a request keeps waiting for an owner of its key.
 * @param situation the key's status and the request's waiting times
 */
export function decideOwnerWait({ status, waitedMs, maxWaitMs, remainingMs }: OwnerWaitSituation): OwnerWaitDecision {
    const freeInMs = freeInMsOf(status);
    const mustRefuse = remainingMs <= 0 || waitedMs >= maxWaitMs || (freeInMs ?? 0) > remainingMs;
    if (mustRefuse) {
        return { kind: "refuse", retryAfterMs: Math.max(minRetryAfterMs, freeInMs ?? defaultRetryAfterMs) };
    }
    return { kind: "wait", recheckAfterMs: Math.max(1, Math.min(remainingMs, recheckIntervalMs)) };
}

/**
 * Returns the longest time in milliseconds that a request may wait for an owner.
 * @param status the key's status when the wait begins
 */
export function maxOwnerWaitMs(status: OwnerWaitSituation["status"]): number {
    return (freeInMsOf(status) ?? 0) + maxUnknownWaitMs;
}

function freeInMsOf(status: OwnerWaitSituation["status"]): number | undefined {
    return status.kind === "unowned" ? undefined : status.freeInMs;
}
