/** What a coordinator thinks of each target: whether it may get keys, and how much work it can do. */
import type { TargetPressure } from "../admission/queueKeeper.js";
import type { TargetId } from "../model/names.js";
import type { ClusterView } from "../store/clusterView.js";
import type { HolderSet } from "./holderSet.js";
import type { PlannerTarget, TargetStanding } from "./planner.js";

/** Slowness that a target is taken to have in its first seconds. */
const warmUpSlowness = 2;

/** A report on a target's slowness counts for this long. */
const pressureLastsMs = 5_000;

/** Judges targets. */
export class TargetStandings {
    private readonly pressures = new Map<TargetId, { slowness: number; atMs: number }>();

    /**
     * @param view where targets are known from
     * @param holders who grants to them
     * @param earlierGrantsUntilMs monotonic time until which grants of earlier coordinators may count
     */
    constructor(private readonly view: ClusterView, private readonly holders: HolderSet, private readonly earlierGrantsUntilMs: number) {}

    /** Takes in how targets fare. */
    addPressures(reported: readonly TargetPressure[], nowMs: number): void {
        for (const { targetId, slowness } of reported) {
            this.pressures.set(targetId, { slowness, atMs: nowMs });
        }
    }

    /** Tells what may be done with a target's keys. */
    of(targetId: TargetId, nowMs: number): TargetStanding {
        const holder = this.holders.get(targetId);
        if (holder === undefined) {
            return nowMs > this.earlierGrantsUntilMs ? "free" : "unsure";
        }
        if (holder.isSilent) {
            return holder.isCertainlyFree || nowMs > Math.max(holder.freeAtMs, this.earlierGrantsUntilMs) ? "free" : "unsure";
        }
        if (this.isLeaving(targetId)) {
            return "leaving";
        }
        return holder.isConnected ? "ready" : "unsure";
    }

    /** Describes a target for the planner. */
    forPlanner(targetId: TargetId, nowMs: number): PlannerTarget {
        const slots = this.view.targets.get(targetId)?.slots ?? 1;
        return { targetId, standing: this.of(targetId, nowMs), capacity: slots / this.slownessOf(targetId, nowMs) };
    }

    private isLeaving(targetId: TargetId): boolean {
        return this.view.targets.get(targetId)?.state !== "ready" || this.view.ledger.drained().includes(targetId);
    }

    private slownessOf(targetId: TargetId, nowMs: number): number {
        const pressure = this.pressures.get(targetId);
        if (pressure !== undefined && nowMs - pressure.atMs < pressureLastsMs) {
            return pressure.slowness;
        }
        return this.view.targets.get(targetId)?.warmingUp === true ? warmUpSlowness : 1;
    }
}
