/** Assesses each target for the planner: whether it may receive keys, and how much work it can do. */
import type { TargetId } from "../model/names.js";
import type { ClusterView } from "../store/clusterView.js";
import type { LeaseManagerSet } from "./leaseManagerSet.js";
import type { MovePacing } from "./movePacing.js";
import type { PlannerTarget, TargetStanding } from "./plannerInput.js";
import type { TargetPressure } from "./targetPressure.js";

/** Assumed slowness (its work time divided by the average) of a target in the first seconds of its process, when none is reported. */
const warmUpSlowness = 2;

/** A reported slowness is used for this long. */
const pressureValidMs = 5_000;

/** Derives the standing and the capacity of targets. */
export class TargetStandings {
    private readonly pressures = new Map<TargetId, { slowness: number; requestsPerSecond: number | undefined; atMs: number }>();

    /**
     * @param view targets and ledger
     * @param leaseManagers lease managers of the targets
     * @param earlierGrantsUntilMs returns until when leases of earlier coordinators at a target may be in force, in monotonic time
     * @param pacing paces the moves away from targets
     */
    constructor(
        private readonly view: ClusterView, private readonly leaseManagers: LeaseManagerSet,
        private readonly earlierGrantsUntilMs: (targetId: TargetId) => number, private readonly pacing: MovePacing,
    ) {}

    /** Records the slowness and the rate limits of targets as reported by a host. */
    addPressures(reported: readonly TargetPressure[], nowMs: number): void {
        for (const { targetId, slowness, requestsPerSecond } of reported) {
            this.pressures.set(targetId, { slowness, requestsPerSecond, atMs: nowMs });
        }
    }

    /** Returns how the planner may treat a target and its keys. */
    standingOf(targetId: TargetId, nowMs: number): TargetStanding {
        const manager = this.leaseManagers.get(targetId);
        if (manager === undefined) {
            return nowMs > this.earlierGrantsUntilMs(targetId) ? "free" : "unsure";
        }
        if (manager.isSilent) {
            return manager.isCertainlyFree || nowMs > Math.max(manager.freeAtMs, this.earlierGrantsUntilMs(targetId)) ? "free" : "unsure";
        }
        if (this.isLeaving(targetId)) {
            return "leaving";
        }
        return manager.isConnected ? "ready" : "unsure";
    }

    /** Returns a target as input of the planner. */
    toPlannerTarget(targetId: TargetId, nowMs: number): PlannerTarget {
        const slots = this.view.targets.get(targetId)?.slots ?? 1;
        const rateLimit = this.rateLimitOf(targetId, nowMs);
        return {
            targetId, standing: this.standingOf(targetId, nowMs), capacity: slots / this.slownessOf(targetId, nowMs),
            isRateLimited: rateLimit !== undefined, maxMoves: this.pacing.remaining(targetId, rateLimit, nowMs),
        };
    }

    /** Returns the rate limit that a target stated, in requests a second; undefined if none is known. */
    rateLimitOf(targetId: TargetId, nowMs: number): number | undefined {
        return this.validPressure(targetId, nowMs)?.requestsPerSecond;
    }

    private isLeaving(targetId: TargetId): boolean {
        return this.view.targets.get(targetId)?.state !== "ready" || this.view.ledger.drained().includes(targetId);
    }

    private validPressure(targetId: TargetId, nowMs: number) {
        const pressure = this.pressures.get(targetId);
        return pressure !== undefined && nowMs - pressure.atMs < pressureValidMs ? pressure : undefined;
    }

    private slownessOf(targetId: TargetId, nowMs: number): number {
        const pressure = this.validPressure(targetId, nowMs);
        if (pressure !== undefined) {
            return pressure.slowness;
        }
        return this.view.targets.get(targetId)?.warmingUp === true ? warmUpSlowness : 1;
    }
}
