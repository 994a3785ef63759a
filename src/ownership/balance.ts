/** Chooses the shards of a cell that should move, within a budget of moves. */
import type { Shard, TargetId } from "../model/ids.js";
import type { Cell } from "./cell.js";

const hourMs = 3_600_000;

/** A move, and why it is worth a key changing its server. */
export interface MoveOrder {
    shard: Shard;
    to: TargetId;
    reason: "drain" | "pinned" | "load";
}

/** Settings of balance; institutions that weigh churn allow fewer moves. */
export interface BalanceLimits {
    movesPerHour: number;
    /** Load of the busiest server over the mean above which a shard may be moved. */
    moveAboveRatio: number;
    /** Work per second of the whole cell below which it is left alone. */
    minCellRate: number;
}

/**
 * Chooses moves off draining servers and onto pinned ones; these need no budget.
 * @param cell the cell
 * @param pinned where operators want shards
 * @param nowMs monotonic time
 * @returns the moves
 */
export function neededMoves(cell: Cell, pinned: ReadonlyMap<Shard, TargetId>, nowMs: number): MoveOrder[] {
    const servers = cell.reachableServers(nowMs);
    const open = servers.filter((server) => !server.draining);
    const pins = [...pinned]
        .filter(([, to]) => open.some((server) => server.server === to))
        .map(([shard, to]): MoveOrder => ({ shard, to, reason: "pinned" }));
    const leaving = servers.filter((server) => server.draining).flatMap((server) => cell.shardsOf(server.server));
    const counts = new Map(open.map((server) => [server.server, server.shardCount]));
    const drains = leaving.flatMap((shard): MoveOrder[] => {
        const [to] = [...counts].sort((left, right) => left[1] - right[1])[0] ?? [];
        if (to === undefined || pinned.has(shard)) {
            return [];
        }
        counts.set(to, (counts.get(to) ?? 0) + 1);
        return [{ shard, to, reason: "drain" }];
    });
    return [...pins, ...drains];
}

/** Moves single shards off the busiest server, with hysteresis and a budget. */
export class LoadBalancer {
    private readonly movedAtMs: number[] = [];
    private aboveSinceMs: number | undefined;

    /**
     * @param settleMs how long the imbalance must last before a shard moves
     */
    constructor(private readonly settleMs: number) {}

    /**
     * Chooses the next move for balance, if one is worth it.
     * @param cell the cell
     * @param rateByShard work per second of each shard
     * @param limits settings
     * @param nowMs monotonic time
     * @returns a move that lowers the load of the busiest server, or undefined
     */
    nextMove(cell: Cell, rateByShard: ReadonlyMap<Shard, number>, limits: BalanceLimits, nowMs: number): MoveOrder | undefined {
        const loads = cell.reachableServers(nowMs)
            .filter((server) => !server.draining)
            .map(({ server }) => ({ server, rate: sumRates(cell.shardsOf(server), rateByShard) }))
            .sort((left, right) => right.rate - left.rate);
        const busiest = loads[0];
        const idlest = loads.at(-1);
        const total = loads.reduce((sum, load) => sum + load.rate, 0);
        if (busiest === undefined || idlest === undefined || total < limits.minCellRate
            || busiest.rate < limits.moveAboveRatio * total / loads.length) {
            this.aboveSinceMs = undefined;
            return undefined;
        }
        this.aboveSinceMs ??= nowMs;
        if (nowMs - this.aboveSinceMs < this.settleMs || !this.hasBudget(limits, nowMs)) {
            return undefined;
        }
        const shard = bestShard(cell.shardsOf(busiest.server), rateByShard, busiest.rate - idlest.rate);
        if (shard === undefined) {
            return undefined;
        }
        this.movedAtMs.push(nowMs);
        this.aboveSinceMs = undefined;
        return { shard, to: idlest.server, reason: "load" };
    }

    private hasBudget(limits: BalanceLimits, nowMs: number): boolean {
        while (this.movedAtMs[0] !== undefined && this.movedAtMs[0] < nowMs - hourMs) {
            this.movedAtMs.shift();
        }
        return this.movedAtMs.length < limits.movesPerHour;
    }
}

/** The shard whose move brings the two servers closest: its rate is nearest to half the gap, and below the gap. */
function bestShard(shards: readonly Shard[], rateByShard: ReadonlyMap<Shard, number>, gap: number): Shard | undefined {
    const rateOf = (shard: Shard) => rateByShard.get(shard) ?? 0;
    return shards
        .filter((shard) => rateOf(shard) > gap / 20 && rateOf(shard) < gap)
        .sort((left, right) => Math.abs(rateOf(left) - gap / 2) - Math.abs(rateOf(right) - gap / 2))[0];
}

function sumRates(shards: readonly Shard[], rateByShard: ReadonlyMap<Shard, number>): number {
    return shards.reduce((sum, shard) => sum + (rateByShard.get(shard) ?? 0), 0);
}
