/**
 * Decides whether a request waits for an owner of its key, or is turned away.
 *
 * Load pattern: an owner is lost or leaves while the store is away, so that its keys have no owner for seconds. Requests that
 * waited until their deadline would all be turned away at the end of it, so they are turned away at once where the wait is
 * known to be too long, and soon where nobody can say how long it is. A planned move takes a few tens of milliseconds.
 */
import type { OwnerStatus } from "../ownership/owners.js";

/** What is known of a key without an owner and of a request for it. */
export interface OwnerWaitSituation {
    status: Exclude<OwnerStatus, { kind: "owned" }>;
    /** Time for which the request has waited for an owner. */
    waitedMs: number;
    /** Longest time that it may wait, by what was known at first; see `longestWaitMs`. */
    longestMs: number;
    /** Time left until work on it must begin to be of use. */
    leftMs: number;
}

/** What follows. */
export type OwnerWaitStep =
    /** Look again when something changes, or after this time. */
    | { kind: "wait"; atMostMs: number }
    /** Turn the request away; there may be an owner after this time. */
    | { kind: "refuse"; retryAfterMs: number };

/** Longest wait beyond what was said, or when nobody says how long it will take; moves that take longer are given up. */
const longestBlindWaitMs = 700;

/** An owner is looked for again after this time, though nothing was heard. */
const lookAgainMs = 250;

/** Least time after which it is worth coming back, and the time when nothing is known. */
const minRetryAfterMs = 250;
const blindRetryAfterMs = 600;

/**
 * Decides what follows while a key has no owner.
 * @param of the situation
 */
export function waitForOwner({ status, waitedMs, longestMs, leftMs }: OwnerWaitSituation): OwnerWaitStep {
    const freeInMs = freeInMsOf(status);
    const isHopeless = leftMs <= 0 || waitedMs >= longestMs || (freeInMs ?? 0) > leftMs;
    if (isHopeless) {
        return { kind: "refuse", retryAfterMs: Math.max(minRetryAfterMs, freeInMs ?? blindRetryAfterMs) };
    }
    return { kind: "wait", atMostMs: Math.max(1, Math.min(leftMs, lookAgainMs)) };
}

/**
 * Gives the longest wait for an owner.
 * @param status what is known at the beginning of the wait
 */
export function longestWaitMs(status: OwnerWaitSituation["status"]): number {
    return (freeInMsOf(status) ?? 0) + longestBlindWaitMs;
}

function freeInMsOf(status: OwnerWaitSituation["status"]): number | undefined {
    return status.kind === "unowned" ? undefined : status.freeInMs;
}
