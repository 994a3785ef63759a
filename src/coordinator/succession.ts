/** Decides whether a ranked coordinator should act for a cell now. */
import type { Fence, RunId } from "../model/ids.js";
import { fenceOf, noFence } from "../model/ids.js";
import type { TermInForce } from "../platform/fold.js";

/** Time after which a silent coordinator is suspected, in milliseconds. */
export const suspectMs = 250;

/** Further wait for each live coordinator that ranks before this one. */
const stepMs = 150;

/** How long the first coordinator of a new term waits for the hand-over of a live predecessor. */
const handOverWaitMs = 1_500;

/** What one peer was last heard to say about a cell. */
export interface PeerView {
    run: RunId;
    /** Monotonic time of its last answer. */
    heardMs: number;
    /** Whether that was lately enough for the pace at which it is asked. */
    live: boolean;
    leaving: boolean;
    /** Fence under which it acts for the cell, if it does. */
    actingFence?: Fence;
}

/** What a coordinator knows when it decides. */
export interface SuccessionView {
    inForce: TermInForce;
    self: RunId;
    peers: readonly PeerView[];
    /** When this host first saw the term, monotonic. */
    termSeenMs: number;
    /** When anyone was last known to act for the cell, monotonic; minus infinity if never. */
    lastActingMs: number;
    /** Highest fence that is known to have been accepted by a server. */
    highestFence: Fence;
    /** Fence of a hand-over that waits here, if any. */
    handedOverFence?: Fence;
}

/** What to do: act under a fence (after asking the servers, if `askServers`), or wait and why. */
export type SuccessionDecision =
    | { act: true; fence: Fence; askServers: boolean }
    | { act: false; why: "not-ranked" | "outranked" | "acting-elsewhere" | "hand-over-expected" | "others-first" };

/**
 * Decides whether this host should act for a cell.
 * @param view what is known
 * @param nowMs monotonic time
 * @returns the decision
 */
export function decideSuccession(view: SuccessionView, nowMs: number): SuccessionDecision {
    const { coordinators } = view.inForce.term;
    const rank = coordinators.indexOf(view.self);
    if (rank < 0) {
        return { act: false, why: "not-ranked" };
    }
    const fence = fenceOf(view.inForce.offset, rank);
    if (view.highestFence >= fence) {
        return { act: false, why: "outranked" };
    }
    if (view.handedOverFence !== undefined && view.handedOverFence < fence) {
        return { act: true, fence, askServers: false };
    }
    const live = view.peers.filter((peer) => peer.live);
    const acting = live.map((peer) => peer.actingFence ?? noFence).reduce((left, right) => Math.max(left, right) as Fence, noFence);
    const termStart = fenceOf(view.inForce.offset, 0);
    if (acting >= termStart) {
        return { act: false, why: "acting-elsewhere" };
    }
    if (acting > noFence && nowMs - view.termSeenMs < handOverWaitMs) {
        return { act: false, why: "hand-over-expected" };
    }
    const before = live.filter((peer) => {
        const peerRank = coordinators.indexOf(peer.run);
        return peerRank >= 0 && peerRank < rank && !peer.leaving && fenceOf(view.inForce.offset, peerRank) > view.highestFence;
    });
    const sinceMs = nowMs - Math.max(view.termSeenMs, view.lastActingMs);
    const waitMs = rank === 0 && view.lastActingMs < view.termSeenMs ? 0 : suspectMs + stepMs * before.length;
    return sinceMs < waitMs ? { act: false, why: "others-first" } : { act: true, fence, askServers: rank > 0 };
}

/**
 * Tells from the servers' own accounts whether a coordinator is at work that this host cannot reach.
 * @param sinceAcceptedMs for each server that answered, how long ago it accepted a heartbeat
 * @param serverCount servers of the cell
 * @param heartbeatMs interval of heartbeats
 * @returns true when a majority heard from a coordinator lately
 */
export function isCoordinatedElsewhere(sinceAcceptedMs: readonly number[], serverCount: number, heartbeatMs: number): boolean {
    const lately = sinceAcceptedMs.filter((elapsedMs) => elapsedMs < heartbeatMs * 2.5).length;
    return lately > serverCount / 2;
}
