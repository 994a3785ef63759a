/**
 * Decides what this host believes of its own paths to targets. A connection that can't be opened has two suspects, the target and the path:
 * the path is to blame if another host reaches the target at that time.
 */
import type { TargetId } from "../model/names.js";

/** A target that neither this host nor another one could reach counts as down for this long; then it is checked anew. */
const downRetentionMs = 500;

/** A host with more targets than this is cut off only if several of them are out of its reach. */
const minSeveredCount = 2;

/** What this host believes of its path to a target. */
export type TargetPath =
    | "open"
    /** Only this host's path is broken: other hosts reach the target. */
    | "severed"
    /** Nobody reaches the target. */
    | "down";

/** Connections to some targets, tried at about the same time. */
export interface CheckResult {
    /** Targets to which this host opened a connection. */
    reached: readonly TargetId[];
    /** Targets to which this host could open none. */
    unreached: readonly TargetId[];
    /** Those of `unreached` that another host reached. */
    reachedByPeers: readonly TargetId[];
    /** True if another host answered the question. */
    isPeerEvidence: boolean;
}

/** A change of the belief. */
export type BeliefChange = "cut-off" | "rejoined" | "none";

/** Belief of one host. */
export class ReachabilityBelief {
    private readonly severed = new Set<TargetId>();
    private readonly downUntilMs = new Map<TargetId, number>();
    private cutOffSince: number | undefined;

    /** Monotonic time since which this host counts as cut off from all targets; undefined if it doesn't. */
    get cutOffSinceMs(): number | undefined {
        return this.cutOffSince;
    }

    /** Targets whose path from this host is broken. */
    get severedTargetIds(): TargetId[] {
        return [...this.severed];
    }

    /** True if the path to any target is broken. */
    get hasBrokenPaths(): boolean {
        return this.cutOffSince !== undefined || this.severed.size > 0;
    }

    /** Returns what is believed of the path to a target; a host that is cut off believes it of the targets too that were not checked. */
    pathTo(targetId: TargetId, nowMs: number): TargetPath {
        if (nowMs < (this.downUntilMs.get(targetId) ?? 0)) {
            return "down";
        }
        return this.severed.has(targetId) || this.cutOffSince !== undefined ? "severed" : "open";
    }

    /**
     * Updates the belief.
     * @param result what was found out
     * @param knownCount number of targets that this host knows
     * @param nowMs current monotonic time
     */
    record({ reached, unreached, reachedByPeers, isPeerEvidence }: CheckResult, knownCount: number, nowMs: number): BeliefChange {
        for (const targetId of reached) {
            this.severed.delete(targetId);
            this.downUntilMs.delete(targetId);
        }
        for (const targetId of isPeerEvidence ? unreached : []) {
            this.recordUnreached(targetId, reachedByPeers.includes(targetId), nowMs);
        }
        if (this.cutOffSince !== undefined) {
            return reached.length > 0 && reached.length >= unreached.length ? this.endCut() : "none";
        }
        const isCutOff = reached.length === 0
            && unreached.length >= Math.min(minSeveredCount, knownCount)
            && reachedByPeers.length * 2 > unreached.length;
        this.cutOffSince = isCutOff ? nowMs : undefined;
        return isCutOff ? "cut-off" : "none";
    }

    /** Forgets targets that don't exist any more. */
    retain(isKnown: (targetId: TargetId) => boolean): void {
        for (const targetId of [...this.severed, ...this.downUntilMs.keys()].filter((known) => !isKnown(known))) {
            this.severed.delete(targetId);
            this.downUntilMs.delete(targetId);
        }
    }

    private recordUnreached(targetId: TargetId, isReachedByPeer: boolean, nowMs: number): void {
        if (isReachedByPeer) {
            this.severed.add(targetId);
            this.downUntilMs.delete(targetId);
            return;
        }
        this.severed.delete(targetId);
        this.downUntilMs.set(targetId, nowMs + downRetentionMs);
    }

    private endCut(): BeliefChange {
        this.cutOffSince = undefined;
        this.severed.clear();
        return "rejoined";
    }
}
