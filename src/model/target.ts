/** What the router knows of a target from the service directory. */
import type { Address, DataCentreId, ServiceId, TargetId } from "./names.js";

/** Whether a target takes new work; one that is gone from the directory may still serve for a moment. */
export type TargetState = "ready" | "draining" | "gone";

/** An entry of the service directory. */
export interface TargetEntry {
    targetId: TargetId;
    serviceId: ServiceId;
    address: Address;
    dataCentreId: DataCentreId;
    /** Requests that the target works on at once. */
    slots: number;
    state: TargetState;
    /** Start of the target's process on its own wall clock; a new value means that it restarted and kept nothing. */
    bornWallMs: number;
    /** Counts the entries that one process of the target wrote. */
    sequence: number;
    /** True for the first seconds of a target's process, in which it works more slowly. */
    warmingUp: boolean;
}

/** A process of a target that has said in an answer that it leaves. */
export interface LeavingTarget {
    targetId: TargetId;
    /** Tells the process from a later one of the same target. */
    bornWallMs: number;
}

/** An entry with what this host notes about it; its `state` also counts what the target says in its answers. */
export interface KnownTarget extends TargetEntry {
    /** State in the directory, which may lag behind. */
    registeredState: TargetState;
    /** Monotonic time at which this host learned that the target leaves; undefined while it stays. */
    leavingSinceMs: number | undefined;
}

/**
 * Tells whether requests may be sent to a target.
 * @param target the target
 * @param drainMs time after which a leaving target must get nothing new
 * @param nowMs now
 */
export function mayReceive(target: KnownTarget, drainMs: number, nowMs: number): boolean {
    return target.leavingSinceMs === undefined || nowMs - target.leavingSinceMs < drainMs;
}

/**
 * Tells whether two entries of one target differ in anything that the router acts on.
 * @param left one entry
 * @param right another entry
 */
export function isSameEntry(left: TargetEntry, right: TargetEntry): boolean {
    return left.serviceId === right.serviceId
        && left.address === right.address
        && left.dataCentreId === right.dataCentreId
        && left.slots === right.slots
        && left.state === right.state
        && left.bornWallMs === right.bornWallMs
        && left.warmingUp === right.warmingUp;
}
