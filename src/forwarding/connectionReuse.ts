/**
 * Decides which pooled connections may carry a request.
 *
 * A faulty target may write an earlier rejection once more on a kept connection. If the copy is taken for the response to a request that
 * is running, the request is reported as not run, or runs a second time elsewhere. The id in a rejection tells the copy apart, unless
 * the rejection has none or it was for the same request, which was then sent again. Where such a rejection has arrived on a connection,
 * the next one proves nothing, so a request that must not run twice isn't sent there.
 */
import type { TargetConnection } from "./targetConnection.js";

/** Longest idle time of a connection that may be reused for a non-idempotent request, which must not run twice. */
const maxIdleNonIdempotentMs = 1_000;

/** Which pooled connections may carry a request. */
export interface ReuseTerms {
    /** Longest idle time of such a connection. */
    maxIdleMs: number;
    isAllowed: (connection: TargetConnection) => boolean;
    /** Of the allowed connections, these are used first. */
    isPreferred: (connection: TargetConnection) => boolean;
}

/** Terms for a request that may run again. It leaves the connections that other requests need to these. */
export const reuseForIdempotent: ReuseTerms = {
    maxIdleMs: Number.POSITIVE_INFINITY,
    isAllowed: () => true,
    isPreferred: (connection) => connection.hasUnnamedRejection,
};

/**
 * Returns the terms for a request that must not run twice.
 * @param rejectedOn connections on which the request itself has been rejected
 */
export function reuseForNonIdempotent(rejectedOn: ReadonlySet<TargetConnection>): ReuseTerms {
    return {
        maxIdleMs: maxIdleNonIdempotentMs,
        isAllowed: (connection) => !connection.hasUnnamedRejection && !rejectedOn.has(connection),
        isPreferred: () => true,
    };
}
