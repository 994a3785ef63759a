/** RPC messages between a host that needs a slot and the host that keeps the queue. */
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { DataCentreId, HostId, ServiceId, TargetId } from "../model/names.js";
import type { StatedRateLimit } from "../model/rateLimit.js";
import type { AgedTargetLoad } from "../model/targetLoad.js";
import type { QueueRefusalReason, Ticket } from "./admissionRequest.js";
import type { WorkEnd } from "./workEnd.js";

/**
 * The targets that share a queue: a single target that owns keys, or all targets of a service without keys, or those of them in one data
 * centre.
 */
export type Group =
    | { kind: "target"; targetId: TargetId }
    | { kind: "service"; serviceId: ServiceId; dataCentreId?: DataCentreId };

/** Separates a service from a data centre in the name of a queue; names contain no control characters. */
const nameSeparator = "\u0000";

/** Requests a slot. */
export interface EnterParams {
    ticket: Ticket;
    /** Host that would send the request; absent in messages of earlier versions. */
    sender?: HostId;
    group: Group;
    priority: number;
    /** Expected work time at a target of average speed. */
    workMs: number;
    /** Time left until the soft deadline, after which the answer loses value. */
    targetLeftMs: number;
    /** Time left until the deadline, after which the answer is useless. */
    deadlineLeftMs: number;
    /** Longest time to wait in this queue, after which the sender tries another one; absent if the request waits until its deadline. */
    maxWaitMs?: number;
    /** Data centre of the host that would send the request. */
    near: DataCentreId;
    /** Targets of the request's earlier attempts, and targets that the sending host knows to be unavailable. */
    avoid: readonly TargetId[];
    /** Rate limits of the group's targets that the sending host knows; absent if it knows of none. */
    rateLimits?: readonly StatedRateLimit[];
    /** Set if the request is suspected of crashing the targets that run it. */
    suspect?: Fingerprint;
    /** Hash (32 bits) of the address of the client's connection; absent if capacity is not shared, and in messages of earlier versions. */
    caller?: number;
    /** Kind of request, by which its work time is estimated; absent in messages of earlier versions. */
    kind?: string;
}

/** Reply to `EnterParams`. */
export type EnterReply =
    /** `rateLimited` is set if the target has a rate limit, so that the slot is good for one request only. */
    | { granted: TargetId; expectedMs: number; rateLimited?: true }
    /** `reserved` is set if slots were reserved for more urgent requests; absent in messages of earlier versions. */
    | { refused: QueueRefusalReason; retryAfterMs: number; reserved?: true }
    /** The host has just started and does not know the targets yet, so it cannot keep a queue. */
    | { unready: true };

/** Frees a slot after the end of its request. */
export interface LeaveParams {
    group: Group;
    ticket: Ticket;
    end: WorkEnd;
    /** Rate limit of the target as the sending host knows it now; absent if the target has none. */
    rateLimit?: StatedRateLimit;
    /** Newest load report of the target; absent if it reports none, and in messages of earlier versions. */
    load?: AgedTargetLoad;
}

/** Removes a request whose sender no longer needs a slot. */
export interface WithdrawParams {
    group: Group;
    ticket: Ticket;
}

/** Names of the RPC methods. */
export const admissionMethods = { enter: "enter", leave: "leave", withdraw: "withdraw" } as const;

/** Returns the name of a group's queue, by which the host that keeps it is chosen. */
export function groupName(group: Group): string {
    if (group.kind === "target") {
        return group.targetId;
    }
    return group.dataCentreId === undefined ? group.serviceId : `${group.serviceId}${nameSeparator}${group.dataCentreId}`;
}
