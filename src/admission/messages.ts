/** Messages between a host that has a request and the host that keeps the queue for it. */
import type { DataCentreId, ServiceId, TargetId } from "../model/names.js";
import type { RefusalOfQueue, Ticket } from "./admissionRequest.js";
import type { WorkEnd } from "./targetRecord.js";

/** The targets that share a queue: one that owns keys, or all of a service without keys. */
export type Group =
    | { kind: "target"; targetId: TargetId }
    | { kind: "service"; serviceId: ServiceId };

/** Asks for a slot. */
export interface EnterParams {
    ticket: Ticket;
    group: Group;
    priority: number;
    /** Time that the work takes at an average target. */
    workMs: number;
    /** Time left until the answer loses value, in milliseconds. */
    targetLeftMs: number;
    /** Time left until the answer is of no use, in milliseconds. */
    deadlineLeftMs: number;
    near: DataCentreId;
    avoid: readonly TargetId[];
}

/** Answer to `EnterParams`. */
export type EnterReply =
    | { granted: TargetId; expectedMs: number }
    | { refused: RefusalOfQueue; retryAfterMs: number }
    /** The host has just started and knows of no targets yet, so it can keep no queue. */
    | { unready: true };

/** Gives a slot back. */
export interface LeaveParams {
    group: Group;
    ticket: Ticket;
    end: WorkEnd;
}

/** Takes a request out of the queue. */
export interface WithdrawParams {
    group: Group;
    ticket: Ticket;
}

/** Methods that a host offers for its queues. */
export const admissionMethods = { enter: "enter", leave: "leave", withdraw: "withdraw" } as const;

/** Names a group. */
export function groupName(group: Group): string {
    return group.kind === "target" ? group.targetId : group.serviceId;
}
