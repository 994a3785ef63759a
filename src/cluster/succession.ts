/**
 * Decides when a host takes over from a coordinator that it has lost.
 *
 * All hosts notice the loss of a coordinator at about the same time. Their claims are staggered, so that the store usually gets
 * one claim instead of one from each host.
 */
import { hash } from "../model/rendezvous.js";
import type { Member } from "./membership.js";

/** How following a coordinator ended. */
export type FollowEnd =
    /** Another term is in force, or this host stops. */
    | "superseded"
    /** The connection closed; the coordinator may still be running. */
    | "closed"
    /** It cannot be reached, does not answer, or no longer coordinates. */
    | "lost";

/** A coordinator that has sent nothing for this long counts as lost. */
export const coordinatorTimeoutMs = 900;

/** Time between the claims of two hosts with consecutive ranks. */
export const claimStaggerMs = 120;

/** Extra delay of a host that cannot reach most of the others either, or not the targets: probably that host itself is isolated. */
const isolationDelayMs = 2_500;

/** State of a host that has lost the coordinator. */
export interface SuccessionSituation {
    /** Monotonic time at which this host lost the coordinator. */
    lostAtMs: number;
    /** Position of this host among those that may take over; 0 claims first. */
    rank: number;
    /** Number of other hosts in the member list. */
    knownPeerCount: number;
    /** Number of those hosts that answered a probe. */
    reachablePeerCount: number;
    /** True if this host can't reach targets that other hosts reach. */
    isCutOffFromTargets: boolean;
}

/**
 * Computes when a host claims the term.
 * @param situation state of the host
 * @returns monotonic time in milliseconds
 */
export function claimTimeMs(
    { lostAtMs, rank, knownPeerCount, reachablePeerCount, isCutOffFromTargets }: SuccessionSituation,
): number {
    const isIsolated = reachablePeerCount * 2 < knownPeerCount || isCutOffFromTargets;
    return lostAtMs + rank * claimStaggerMs + (isIsolated ? isolationDelayMs : 0);
}

/** Number of ranks over which hosts spread by a hash of their ids while they do not know the other hosts. */
const fallbackRankCount = 6;

/**
 * Computes a host's rank among those that may take over. Hosts with a larger CPU share come first.
 * @param self the host
 * @param others the other hosts that it knows
 * @returns position from 0; from 1 when no other hosts are known
 */
export function successionRank(self: Member, others: readonly Member[]): number {
    if (others.length === 0) {
        return 1 + hash(self.hostId) % fallbackRankCount;
    }
    const priorityOf = ({ cpuShare, hostId }: Member) => cpuShare * 1e9 + hash(hostId) / 0x1_0000_0000;
    return others.filter((other) => priorityOf(other) > priorityOf(self)).length;
}
