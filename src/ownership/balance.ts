/** Chooses the shards of a cell that should move, within a budget of moves. */
import type { Shard, TargetId } from "../model/ids.js";
import type { Cell } from "./cell.js";

const hourMs = 3_600_000;
const secondMs = 1_000;
const maxMovesAtOnce = 4;

/** Share of its slots that the busiest server must use before balance matters. */
const busyShare = 0.5;

/** Share by which a move must lower the load of the busiest server. */
const minGain = 0.05;

/** A move, and why it is worth a key changing its server. */
export interface MoveOrder {
    shard: Shard;
    to: TargetId;
    reason: "drain" | "pinned" | "load";
}

/** Settings of balance; institutions that weigh churn allow fewer moves. */
export interface BalanceLimits {
    movesPerHour: number;
    /** Load of the busiest server over the mean above which shards may move. */
    moveAboveRatio: number;
    /** Requests that a server works on at once. */
    slots: number;
}

/** What is observed of a cell's work. */
export interface ObservedWork {
    /** Requests per second that a shard brings, refused ones included. */
    ratePerSecond(shard: Shard): number;
    /** Time that a server takes for a request, in milliseconds. */
    serviceMs(server: TargetId): number;
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

interface ServerLoad {
    server: TargetId;
    serviceMs: number;
    /** Slots that its shards keep busy. */
    busySlots: number;
    shards: Shard[];
}

/** Moves shards off the busiest server, with hysteresis and a budget; a slow server counts as a busy one. */
export class LoadBalancer {
    private readonly movedAtMs: number[] = [];
    private aboveSinceMs: number | undefined;

    /**
     * @param settleMs how long the imbalance must last before shards move
     */
    constructor(private readonly settleMs: number) {}

    /**
     * Chooses the moves that are worth it now.
     * @param cell the cell
     * @param work what is observed of its work
     * @param limits settings
     * @param nowMs monotonic time
     * @returns moves that lower the load of the busiest server; mostly none
     */
    nextMoves(cell: Cell, work: ObservedWork, limits: BalanceLimits, nowMs: number): MoveOrder[] {
        const loads = cell.reachableServers(nowMs).filter((server) => !server.draining).map(({ server }) => loadOf(cell, server, work));
        if (!isUnbalanced(loads, limits)) {
            this.aboveSinceMs = undefined;
            return [];
        }
        this.aboveSinceMs ??= nowMs;
        if (nowMs - this.aboveSinceMs < this.settleMs) {
            return [];
        }
        this.aboveSinceMs = undefined;
        const moves: MoveOrder[] = [];
        while (moves.length < maxMovesAtOnce && this.hasBudget(limits, nowMs) && isUnbalanced(loads, limits)) {
            const move = bestMove(loads, work);
            if (move === undefined) {
                break;
            }
            this.movedAtMs.push(nowMs);
            moves.push(move);
        }
        return moves;
    }

    /**
     * Tells a successor which moves the budget has been spent on.
     * @param nowMs monotonic time
     * @returns how long ago each move was, in milliseconds
     */
    moveAgesMs(nowMs: number): number[] {
        return this.movedAtMs.map((atMs) => nowMs - atMs);
    }

    /**
     * Takes over the predecessor's spent budget.
     * @param agesMs how long ago each move was
     * @param nowMs monotonic time
     */
    adoptMoves(agesMs: readonly number[], nowMs: number): void {
        this.movedAtMs.splice(0, Number.POSITIVE_INFINITY, ...agesMs.map((ageMs) => nowMs - ageMs));
    }

    private hasBudget(limits: BalanceLimits, nowMs: number): boolean {
        while (this.movedAtMs[0] !== undefined && this.movedAtMs[0] < nowMs - hourMs) {
            this.movedAtMs.shift();
        }
        return this.movedAtMs.length < limits.movesPerHour;
    }
}

function loadOf(cell: Cell, server: TargetId, work: ObservedWork): ServerLoad {
    const serviceMs = work.serviceMs(server);
    const shards = cell.shardsOf(server);
    const busySlots = shards.reduce((sum, shard) => sum + busySlotsOf(shard, serviceMs, work), 0);
    return { server, serviceMs, shards, busySlots };
}

function busySlotsOf(shard: Shard, serviceMs: number, work: ObservedWork): number {
    return work.ratePerSecond(shard) * serviceMs / secondMs;
}

/** A cell whose busiest server has slots to spare is left alone, however uneven it is. */
function isUnbalanced(loads: readonly ServerLoad[], limits: BalanceLimits): boolean {
    const busiest = Math.max(0, ...loads.map((load) => load.busySlots));
    const mean = loads.reduce((sum, load) => sum + load.busySlots, 0) / Math.max(1, loads.length);
    return busiest > limits.slots * busyShare && busiest > mean * limits.moveAboveRatio;
}

/** The move after which the busier of the two servers is least busy, if it helps enough; the loads follow it. */
function bestMove(loads: ServerLoad[], work: ObservedWork): MoveOrder | undefined {
    const from = [...loads].sort((left, right) => right.busySlots - left.busySlots)[0];
    if (from === undefined) {
        return undefined;
    }
    const options = loads.filter((load) => load !== from).flatMap((to) => from.shards.map((shard) => {
        const fromAfter = from.busySlots - busySlotsOf(shard, from.serviceMs, work);
        const toAfter = to.busySlots + busySlotsOf(shard, to.serviceMs, work);
        return { shard, to, fromAfter, toAfter, worst: Math.max(fromAfter, toAfter) };
    }));
    const best = options.sort((left, right) => left.worst - right.worst)[0];
    if (best === undefined || best.worst > from.busySlots * (1 - minGain)) {
        return undefined;
    }
    from.busySlots = best.fromAfter;
    from.shards = from.shards.filter((shard) => shard !== best.shard);
    best.to.busySlots = best.toAfter;
    best.to.shards = [...best.to.shards, best.shard];
    return { shard: best.shard, to: best.to.server, reason: "load" };
}
