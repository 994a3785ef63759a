/** A request for a slot at a target, and what a queue may say to it. */
import type { Branded, DataCentreId, TargetId } from "../model/names.js";

/** Names one request at the queue. */
export type Ticket = Branded<string, "Ticket">;

/** A request that asks for a slot. Times are monotonic milliseconds of the queue's host. */
export interface AdmissionRequest {
    ticket: Ticket;
    /** Host that would send the request. */
    sender: string;
    /** 0 is the most urgent. */
    priority: number;
    /** Time that the work takes at an average target. */
    workMs: number;
    arrivedMs: number;
    /** Last moment at which the answer has its full value. */
    targetMs: number;
    /** Last moment at which an answer is of any use. */
    deadlineMs: number;
    /** Data centre of the host that would send the request. */
    near: DataCentreId;
    /** Targets that have already turned this request away. */
    avoid: ReadonlySet<TargetId>;
}

/** What the queue decided about a request. */
export type AdmissionVerdict =
    | { kind: "granted"; ticket: Ticket; targetId: TargetId; expectedMs: number }
    | { kind: "refused"; ticket: Ticket; reason: RefusalOfQueue; retryAfterMs: number };

/** Why a queue turns a request away. */
export type RefusalOfQueue =
    | "overloaded" | "no-target"
    /** Every target has the host back off for a while. */
    | "paused";
