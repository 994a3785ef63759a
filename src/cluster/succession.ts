/**
 * Decides when a host takes over from a coordinator that it does not hear any more.
 *
 * Load pattern: a coordinator is lost, and every host notices at about the same time. They claim the term one after the
 * other, so that the store sees one claim and not one from each.
 */
import { hash } from "../model/rendezvous.js";
import type { Member } from "./membership.js";

/** How following a coordinator ended. */
export type FollowEnd =
    /** Another term is in force, or this host stops. */
    | "superseded"
    /** The connection ended; the coordinator may be well. */
    | "closed"
    /** It cannot be reached, does not answer, or does not coordinate any more. */
    | "lost";

/** Time between the claims of two hosts that follow each other in rank. */
export const rankStepMs = 120;

/** Extra wait of a host that does not hear most of the others either: it is probably the one that is cut off. */
const isolatedMs = 2_500;

/** What a host knows when it has lost the coordinator. */
export interface SuccessionSituation {
    /** Monotonic time since which the coordinator is not heard. */
    lostSinceMs: number;
    /** Position of this host among those that may take over; 0 is first. */
    rank: number;
    /** Other hosts that are thought to be at work. */
    othersKnown: number;
    /** How many of them answer this host. */
    othersHeard: number;
}

/**
 * Gives the time at which a host claims the term.
 * @param of what it knows
 * @returns monotonic time
 */
export function claimAtMs({ lostSinceMs, rank, othersKnown, othersHeard }: SuccessionSituation): number {
    const isolated = othersHeard * 2 < othersKnown;
    return lostSinceMs + rank * rankStepMs + (isolated ? isolatedMs : 0);
}

/** Ranks of hosts while it is not known which are at work. */
const unknownRanks = 6;

/**
 * Gives a host's rank among those that may take over: hosts with more processor time first.
 * @param self the host
 * @param others the other hosts at work, as far as it knows
 * @returns 0 for the first
 */
export function rankAmong(self: Member, others: readonly Member[]): number {
    if (others.length === 0) {
        return 1 + hash(self.hostId) % unknownRanks;
    }
    const weight = ({ cpuShare, hostId }: Member) => cpuShare * 1e9 + hash(hostId) / 0x1_0000_0000;
    return others.filter((other) => weight(other) > weight(self)).length;
}
