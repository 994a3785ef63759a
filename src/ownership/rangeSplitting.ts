/** Cuts ranges into pieces for several targets. */
import type { Key, KeyRange, TargetId } from "../model/names.js";
import type { KeyLoads } from "./keyLoads.js";
import type { TargetLoad } from "./plannerInput.js";
import { utilization } from "./plannerInput.js";

/** Largest number of pieces into which one range of a lost or leaving target is cut. */
export const maxPieces = 4;

/** Share of an average target's capacity that one such piece uses. */
const pieceShare = 0.25;

/** A piece of a range and the target that is to own it. */
export interface AssignedPiece {
    piece: KeyRange;
    to: TargetId;
}

/**
 * Cuts a range into as many pieces of similar load as its load needs, and assigns each to the target that then has the lowest utilization.
 * @param limit largest number of pieces
 */
export function splitByLoad(range: KeyRange, loads: KeyLoads, destinations: readonly TargetLoad[], limit: number): AssignedPiece[] {
    const meanCapacity = destinations.reduce((sum, { target }) => sum + target.capacity, 0) / destinations.length;
    const neededCount = Math.ceil(loads.loadOf(range) / (meanCapacity * pieceShare));
    return split(range, loads, destinations, Math.max(1, Math.min(limit, neededCount)));
}

/** Cuts a range into pieces of similar load and assigns each to the target that then has the lowest utilization. */
export function split(range: KeyRange, loads: KeyLoads, destinations: readonly TargetLoad[], count: number): AssignedPiece[] {
    const result: AssignedPiece[] = [];
    let from = range.from;
    for (let index = 0; index < count && from <= range.to; index++) {
        const to = index === count - 1
            ? range.to
            : loads.lastKeyWithinLoad(from, range.to, loads.loadOf({ from, to: range.to }) / (count - index));
        const piece = { from, to };
        const destination = leastUtilized(destinations, loads.loadOf(piece));
        destination.load += loads.loadOf(piece);
        result.push({ piece, to: destination.target.targetId });
        from = to + 1 as Key;
    }
    return result;
}

function leastUtilized(candidates: readonly TargetLoad[], addedLoad: number): TargetLoad {
    return candidates.reduce((best, candidate) => utilization(candidate, addedLoad) < utilization(best, addedLoad) ? candidate : best);
}
