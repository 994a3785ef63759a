/** Types for targets as the service directory lists them. */
import type { Address, DataCentreId, ServiceId, TargetId } from "./names.js";

/** Whether a target accepts new requests. A target that is gone from the directory may still serve requests for a short time. */
export type TargetState = "ready" | "draining" | "gone";

/** An entry of the service directory. */
export interface TargetEntry {
    targetId: TargetId;
    serviceId: ServiceId;
    address: Address;
    dataCentreId: DataCentreId;
    /** Number of requests that the target executes concurrently. */
    slots: number;
    state: TargetState;
    /** Start time of the target's process by its own wall clock; a new value means that the target restarted and lost its state. */
    bornWallMs: number;
    /** Sequence number of the entry among those that the same process of the target wrote. */
    sequence: number;
    /** True during the first seconds of the target's process, when it is slower. */
    warmingUp: boolean;
}

/** A process of a target that has announced in a response that it is about to stop. */
export interface LeavingTarget {
    targetId: TargetId;
    /** Distinguishes the process from a later one of the same target. */
    bornWallMs: number;
}

/**
 * A directory entry with local state of this host. Its `state` is `draining` instead of `ready` once this host knows that the target
 * has announced, in a response to any host, that it is about to stop, and while its data centre is evacuated.
 */
export interface KnownTarget extends TargetEntry {
    /** State according to the directory, which may be out of date. */
    registeredState: TargetState;
    /**
     * Monotonic time from which the target counts as draining or gone: when this host learned of it, or earlier if it may have learned of
     * it late; undefined if its `state` is `ready`.
     */
    leavingSinceMs: number | undefined;
}

/**
 * Returns whether requests may still be sent to a target.
 * @param target the target
 * @param drainMs time for which a target still receives new requests after `leavingSinceMs`
 * @param nowMs current monotonic time
 */
export function mayReceive(target: KnownTarget, drainMs: number, nowMs: number): boolean {
    return target.leavingSinceMs === undefined || nowMs - target.leavingSinceMs < drainMs;
}

/**
 * Returns whether two entries of one target are equal in every field that affects routing, which is every field except `sequence`.
 * @param left one entry
 * @param right the other entry
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
