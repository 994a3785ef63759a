/** What a new coordinator knows of the coordinators before it. */
import type { TargetId } from "../model/names.js";

/** What earlier coordinators may still do. Times are on this host's monotonic clock. */
export interface Predecessor {
    /**
     * An earlier coordinator may send grants until this time. A target that restarts in the meantime has lost its fencing tokens and
     * would accept such grants.
     */
    actsUntilMs: number;
    /** Leases granted by earlier coordinators may be in force until this time. */
    grantsUntilMs: number;
    /** Returns the same for one target, where that is known; undefined if it is for none. */
    grantsUntilMsOf?: (targetId: TargetId) => number;
    /**
     * Set if earlier coordinators may have granted leases on records that the store has lost. Nothing may be granted before this time, by
     * when these leases have expired.
     */
    grantsFromMs?: number;
}

/** Returns the monotonic time until which leases that earlier coordinators granted to a target may be in force. */
export function earlierGrantsUntilMs({ grantsUntilMs, grantsUntilMsOf }: Predecessor, targetId: TargetId): number {
    return grantsUntilMsOf?.(targetId) ?? grantsUntilMs;
}
