/** Port to the leases of targets that own keys. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address, Fence, KeyRange, TargetId } from "../model/names.js";

/** Keys that a target is to hold for some time. */
export interface Grant {
    range: KeyRange;
    fence: Fence;
    /** The lease runs from the arrival of the grant. */
    holdMs: number;
    /** What the last holder gave when it released the keys; without it they are served slowly at first. */
    handover: string | undefined;
}

/** What a target says to a grant. */
export type GrantReply =
    | "granted"
    /** It has seen a higher fence. */
    | "outdated"
    /** It is another target, which has the address now; the one that had it before has ended. */
    | "other-target"
    /** It does not take the grant for another reason. */
    | "rejected";

/**
 * One connection to a target. What is answered on it comes from one process: another one, though it had the same
 * address, would have another connection.
 */
export interface LeaseSession {
    readonly isOpen: boolean;
    readonly closed: Promise<string>;
    /** True once the target has said in an answer that it leaves. */
    readonly isLeaving: boolean;
    grant(grant: Grant, timeoutMs: number): Promise<Result<GrantReply, Failure>>;
    /**
     * Takes keys back. The target stops new work on them at once, and answers when the work under way has ended.
     * @returns what the next holder is to be given
     */
    release(range: KeyRange, fence: Fence, timeoutMs: number): Promise<Result<string | undefined, Failure>>;
    /** Resets the connection, so that nothing that is still on its way is delivered later. */
    reset(): void;
}

/** Opens sessions. */
export interface LeasePort {
    open(targetId: TargetId, address: Address): Promise<Result<LeaseSession, Failure>>;
}
