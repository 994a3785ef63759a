/**
 * Plans moves away from targets that stated a rate limit.
 *
 * Load pattern: a target in trouble states a limit far below the rate of the requests for its keys, while other targets have room.
 */
import type { Move, PlannerInput, TargetLoad } from "./plannerInput.js";
import { reliefUtilization, utilization } from "./plannerInput.js";
import { maxPieces, split } from "./rangeSplitting.js";
import { overlapsAny } from "./ranges.js";

/** A target that can do less than this under its rate limit, in slots, keeps no keys: lease calls would use much of the limit. */
const minKeptCapacity = 0.5;

/** A target with a rate limit gives up all its keys if the mean utilization of the others stays below this. */
const maxUtilizationAfterRelief = 0.8;

/**
 * Plans to move all keys away from targets whose rate limit is low and below their load, the most loaded ranges first. A target without
 * keys needs no calls at all, while few calls are possible to one that keeps some. Targets with higher limits are relieved by `balance`.
 */
export function relieveRateLimited(input: PlannerInput, ready: readonly TargetLoad[], unlimited: readonly TargetLoad[]): Move[] {
    const capacity = unlimited.reduce((sum, { target }) => sum + target.capacity, 0);
    const excluded = [...input.moving, ...input.recentlyMoved];
    const relieved = ready.filter((source) =>
        source.target.isRateLimited && source.target.capacity < minKeptCapacity && utilization(source) > reliefUtilization);
    return relieved.flatMap((source) => {
        const load = unlimited.reduce((sum, other) => sum + other.load, source.load);
        if (load > maxUtilizationAfterRelief * capacity) {
            return [];
        }
        const moves: Move[] = [];
        const ranges = input.ranges.filter((range) => range.targetId === source.target.targetId && !overlapsAny(range, excluded))
            .sort((left, right) => input.loads.loadOf(right) - input.loads.loadOf(left));
        for (const [index, range] of ranges.entries()) {
            const maxPiecesHere = Math.min(maxPieces, source.target.maxMoves - moves.length - (ranges.length - index - 1));
            if (moves.length < source.target.maxMoves) {
                moves.push(...split(range, input.loads, unlimited, Math.max(1, maxPiecesHere)).map(({ piece, to }): Move =>
                    ({ range: piece, from: source.target.targetId, to, reason: "rate-limit" })));
            }
        }
        return moves;
    });
}
