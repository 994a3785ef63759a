/** Chooses the server for a shard that nobody owns. */
import type { Shard, TargetId } from "../model/ids.js";

/** What placement knows of one server. */
export interface PlacementCandidate {
    server: TargetId;
    /** Shards that it owns or is being granted. */
    shardCount: number;
    draining: boolean;
    /** True when it held the shard last, so that keeping it there moves no key. */
    heldLast: boolean;
}

/**
 * Picks a server: the last holder, else a preferred one, else the one with the fewest shards.
 * @param shard the shard to place, used to break ties evenly
 * @param candidates servers that answer
 * @param preferred where an operator or a move wants it
 * @returns the server, or undefined when every candidate is draining or there is none
 */
export function chooseServer(
    shard: Shard,
    candidates: readonly PlacementCandidate[],
    preferred?: TargetId,
): TargetId | undefined {
    const open = candidates.filter((candidate) => !candidate.draining);
    const wanted = open.find((candidate) => candidate.server === preferred) ?? open.find((candidate) => candidate.heldLast);
    if (wanted !== undefined) {
        return wanted.server;
    }
    const turn = (index: number): number => (index + shard) % open.length;
    const ordered = open
        .map((candidate, index) => ({ candidate, turn: turn(index) }))
        .sort((left, right) => left.candidate.shardCount - right.candidate.shardCount || left.turn - right.turn);
    return ordered[0]?.candidate.server;
}
