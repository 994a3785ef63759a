/** Input and output of the planner, and the loads of targets as it calculates them. */
import type { KeyRange, TargetId } from "../model/names.js";
import type { KeyLoads } from "./keyLoads.js";
import type { OwnedRange } from "./ownerMap.js";

/** How the planner may treat a target and its keys. */
export type TargetStanding =
    /** It may receive keys. */
    | "ready"
    /** It keeps its keys and receives none. */
    | "unsure"
    /** Its keys must move to other targets; it still answers. */
    | "leaving"
    /** It certainly holds no lease any more. */
    | "free";

/** A target as input of the planner. */
export interface PlannerTarget {
    targetId: TargetId;
    standing: TargetStanding;
    /** Work that it can do in parallel, in slots of an average target. */
    capacity: number;
    /** True if it stated a rate limit; `capacity` takes the limit into account. */
    isRateLimited: boolean;
    /** Number of moves away from it that may begin now. */
    maxMoves: number;
}

/** A planned change of owner. */
export interface Move {
    range: KeyRange;
    /** Undefined when no target holds the range. */
    from: TargetId | undefined;
    to: TargetId;
    reason: "unowned" | "leaving" | "balance" | "newcomer" | "rate-limit";
}

/** Input of the planner, for one service. */
export interface PlannerInput {
    targets: readonly PlannerTarget[];
    ranges: readonly OwnedRange[];
    loads: KeyLoads;
    /** Ranges that are being moved. */
    moving: readonly KeyRange[];
    /** Destinations of the moves in progress. */
    moveDestinations: ReadonlySet<TargetId>;
    /** Ranges that have moved recently; they are not moved for balance, since the reported loads do not show the effect yet. */
    recentlyMoved: readonly KeyRange[];
}

/** Only targets with a higher utilization are relieved; below it, requests hardly wait. */
export const reliefUtilization = 0.65;

/** A target with the load of its keys. The planner updates both as it plans moves. */
export interface TargetLoad {
    target: PlannerTarget;
    load: number;
    /** True while the target owns no keys and is not the destination of a move in progress. */
    isEmpty: boolean;
}

/** Returns the share of a target's capacity that its load uses, or would use with some more load. */
export function utilization({ target, load }: TargetLoad, addedLoad = 0): number {
    return (load + addedLoad) / Math.max(0.01, target.capacity);
}
