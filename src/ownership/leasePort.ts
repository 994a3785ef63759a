/** Port for granting and releasing the leases of targets. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address, FencingToken, KeyRange, TargetId } from "../model/names.js";

/** A lease on a range of keys. */
export interface Grant {
    range: KeyRange;
    fence: FencingToken;
    /** Duration of the lease, from the arrival of the grant at the target. */
    holdMs: number;
    /** Handover token that the last holder returned when it released the keys; without it, the new holder serves them slowly at first. */
    handover: string | undefined;
}

/** Answer of a target to a grant. */
export type GrantReply =
    | "granted"
    /** The target has seen a higher fencing token. */
    | "outdated"
    /** Another target has the address now; the process of the target that was called has ended. */
    | "other-target"
    /** The target refused the grant for another reason. */
    | "rejected";

/**
 * One connection to a target. All answers on it come from a single process: a later process at the same address has a connection of
 * its own.
 */
export interface LeaseSession {
    readonly isOpen: boolean;
    /** Resolves with the reason when the connection has closed. */
    readonly closed: Promise<string>;
    /** True once the target has announced in an answer that it is leaving. */
    readonly isLeaving: boolean;
    /** Rate limit that the target stated in its last answer here, in requests a second; undefined if it stated none. */
    readonly requestsPerSecond: number | undefined;
    grant(grant: Grant, timeoutMs: number): Promise<Result<GrantReply, Failure>>;
    /**
     * Has the target release keys. It accepts no new work on them from then on, and answers when the work in progress has ended.
     * @returns the handover token for the next holder
     */
    release(range: KeyRange, fence: FencingToken, timeoutMs: number): Promise<Result<string | undefined, Failure>>;
    /** Resets the connection, so that nothing still in transit is delivered later. */
    reset(): void;
}

/** Opens sessions. */
export interface LeasePort {
    open(targetId: TargetId, address: Address): Promise<Result<LeaseSession, Failure>>;
}
