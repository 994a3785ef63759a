/** Rate limits that targets state in their responses. A limit applies to the requests of all hosts together. */
import type { TargetId } from "./names.js";

/** Bounds of the part of a target's rate limit that is left to grants, renewals and releases of leases; requests use the rest. */
const maxLeaseCallShare = 0.25;
const maxLeaseCallsPerSecond = 0.7;

/** Returns how many lease calls a second a target with a rate limit may get. */
export function leaseCallBudget(requestsPerSecond: number): number {
    return Math.min(maxLeaseCallShare * requestsPerSecond, maxLeaseCallsPerSecond);
}

/** What one response states about the rate limit of its target. */
export type RateLimitNotice =
    /** The target has no limit, or its limit has ended. */
    | { kind: "none" }
    | { kind: "stated"; requestsPerSecond: number }
    /** The response states a limit that cannot be read; an earlier limit stays in force. */
    | { kind: "unreadable"; text: string };

/** A rate limit as one host tells it to another. */
export interface StatedRateLimit {
    targetId: TargetId;
    /** Start of the process that stated the limit; a later process of the target starts without one. */
    bornWallMs: number;
    requestsPerSecond: number;
    /** Time since the telling host received the response that stated the limit. */
    ageMs: number;
}
