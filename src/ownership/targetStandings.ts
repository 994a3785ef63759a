/** What a coordinator thinks of each target: whether it may get keys, and how much work it can do. */
import type { TargetPressure } from "../admission/queueKeeper.js";
import type { TargetId } from "../model/names.js";
import type { ClusterView } from "../store/clusterView.js";
import type { HolderSet } from "./holderSet.js";
import type { PlannerTarget, TargetStanding } from "./planner.js";

/** Slowness that a target is taken to have in its first seconds. */
const warmUpSlowness = 2;

/** From this share of its capacity on a service needs all of its slow targets' slots. */
const fullShare = 0.8;

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

    /**
     * Describes the targets of a service for the planner.
     *
     * Load pattern: a service whose targets differ in speed. While there is room, every request at a slow target is answered later
     * than it would be elsewhere, so slow targets count for less than the work they can do. The nearer the service is to
     * its limit, the more they count for just that, since the fast ones alone could not do the work.
     * @param targetIds the targets
     * @param load work that the service has, in slots of an average target
     * @param nowMs now
     */
    forPlanner(targetIds: readonly TargetId[], load: number, nowMs: number): PlannerTarget[] {
        const use = load / Math.max(1, this.roomOf(targetIds, nowMs));
        const exponent = 1 + Math.max(0, 1 - use / fullShare);
        return targetIds.map((targetId) => ({
            targetId, standing: this.of(targetId, nowMs), capacity: this.slotsOf(targetId) / this.slownessOf(targetId, nowMs) ** exponent,
        }));
    }

    /** Work that the targets which take keys can do at once, in slots of an average target. */
    roomOf(targetIds: readonly TargetId[], nowMs: number): number {
        return targetIds.filter((targetId) => this.of(targetId, nowMs) === "ready")
            .reduce((sum, targetId) => sum + this.slotsOf(targetId) / this.slownessOf(targetId, nowMs), 0);
    }

    private slotsOf(targetId: TargetId): number {
        return this.view.targets.get(targetId)?.slots ?? 1;
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
