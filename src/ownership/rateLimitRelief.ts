/**
 * Plans moves away from targets that stated a rate limit.
 *
 * Load pattern: a target in trouble states a limit far below the rate of the requests for its keys, while other targets have room.
 */
import type { Move, PlannerInput, TargetLoad } from "./plannerInput.js";
import { reliefUtilization, utilization } from "./plannerInput.js";
import { maxPieces, splitByLoad } from "./rangeSplitting.js";
import { overlapsAny } from "./ranges.js";

/** A target that can do less than this under its rate limit, in slots, keeps no keys: lease calls would use much of the limit. */
const minKeptCapacity = 0.5;

/** A target with a rate limit gives up all its keys if the mean utilization of the others stays below this. */
const maxUtilizationAfterRelief = 0.8;

/**
 * Plans to move all keys away from targets whose rate limit is low and below their load. A target without keys needs no calls at all,
 * while few calls are possible to one that keeps some. Targets with higher limits are relieved by `balance`.
 * @param input input of the planner
 * @param ready targets that may receive keys
 * @param unlimited those of them without a rate limit
 */
export function relieveRateLimited(input: PlannerInput, ready: readonly TargetLoad[], unlimited: readonly TargetLoad[]): Move[] {
    return ready.filter(mustGiveUpKeys)
        .flatMap((source) => haveRoomFor(source, unlimited) ? moveAllKeys(input, source, unlimited) : []);
}

function mustGiveUpKeys(source: TargetLoad): boolean {
    return source.target.isRateLimited && source.target.capacity < minKeptCapacity && utilization(source) > reliefUtilization;
}

function haveRoomFor(source: TargetLoad, destinations: readonly TargetLoad[]): boolean {
    const capacity = destinations.reduce((sum, { target }) => sum + target.capacity, 0);
    const load = destinations.reduce((sum, destination) => sum + destination.load, source.load);
    return load <= maxUtilizationAfterRelief * capacity;
}

/** Moves the most loaded ranges first, and cuts them into pieces as far as enough moves are left for the others. */
function moveAllKeys(
    { ranges, loads, moving, recentlyMoved }: PlannerInput, { target }: TargetLoad, destinations: readonly TargetLoad[],
): Move[] {
    const movable = ranges.filter((range) => range.targetId === target.targetId && !overlapsAny(range, [...moving, ...recentlyMoved]))
        .sort((left, right) => loads.loadOf(right) - loads.loadOf(left))
        .slice(0, target.maxMoves);
    const moves: Move[] = [];
    for (const [index, range] of movable.entries()) {
        const neededForOthers = movable.length - index - 1;
        const pieceLimit = Math.min(maxPieces, target.maxMoves - moves.length - neededForOthers);
        for (const { piece, to } of splitByLoad(range, loads, destinations, pieceLimit)) {
            moves.push({ range: piece, from: target.targetId, to, reason: "rate-limit" });
        }
    }
    return moves;
}
