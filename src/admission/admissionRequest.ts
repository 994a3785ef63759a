/** A request for a slot at a target, and the possible verdicts of the queue. */
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { Branded, DataCentreId, TargetId } from "../model/names.js";
import type { WorkDistribution } from "./workEstimates.js";

/** Identifies one request for a slot. */
export type Ticket = Branded<string, "Ticket">;

/** A request for a slot. Times are monotonic milliseconds of the queue's host. */
export interface AdmissionRequest {
    ticket: Ticket;
    /** Host that would send the request. */
    sender: string;
    /** 0 is the most urgent. */
    priority: number;
    /** Expected work time at a target of average speed. */
    workMs: number;
    arrivedMs: number;
    /** Time after which the answer loses value, because the target latency is exceeded. */
    softDeadlineMs: number;
    /** Time after which an answer is useless. */
    deadlineMs: number;
    /** Time until which the request waits in this queue, so that its sender can try another one; undefined if until its deadline. */
    waitUntilMs?: number;
    /** Data centre of the host that would send the request. */
    near: DataCentreId;
    /**
     * Targets of the request's earlier attempts, and targets that the sending host knows to be unavailable; they are used only if no
     * other target has a free slot.
     */
    avoid: ReadonlySet<TargetId>;
    /** Set if the request is suspected of crashing the targets that run it. */
    suspect?: Fingerprint;
    /** Hash of the address of the client's connection; undefined if unknown. */
    caller?: number;
    /** Set by a queue that shares scarce capacity: rank by the slots of the caller; the lowest goes first. */
    callerRank?: number;
    /** Kind of request, by which its work time is estimated; undefined if the sender is of an earlier version. */
    kind?: string;
    /** Distribution of the work times of its kind; set by a queue with load management. */
    work?: WorkDistribution;
}

/** Decision of the queue about a request. */
export type AdmissionVerdict =
    | { kind: "granted"; ticket: Ticket; targetId: TargetId; expectedMs: number; isRateLimited: boolean }
    | {
        kind: "refused"; ticket: Ticket; reason: QueueRefusalReason; retryAfterMs: number;
        /** Set if slots were reserved for more urgent requests. */
        isReserved?: true;
    };

/** Reason why a queue refuses a request. */
export type QueueRefusalReason =
    /** The request cannot be answered before its deadline. */
    | "overloaded"
    /** The rate limits that the targets stated leave no room for the request before its deadline. */
    | "rate-limited"
    /** No target of the group is open. */
    | "no-target"
    /** Every open target has asked the sending host to back off. */
    | "paused";
