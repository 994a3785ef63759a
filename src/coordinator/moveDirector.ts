/** Decides which shards of a cell should move: off draining servers, onto pinned ones, and for balance. */
import type { Shard } from "../model/ids.js";
import type { Instant } from "../model/time.js";
import type { Cell } from "../ownership/cell.js";
import type { MoveOrder, ObservedWork } from "../ownership/balance.js";
import { LoadBalancer, neededMoves } from "../ownership/balance.js";
import type { CellConfig } from "./cellConfig.js";

const moveHoldMs = 250;
const balanceSettleMs = 2_000;
const rateSmoothing = 0.3;
const rateWindowMs = 1_000;

/** Keeps count of each shard's work, and asks the cell for moves. */
export class MoveDirector {
    /** Holds the budget of moves, which a hand-over passes on. */
    readonly balancer = new LoadBalancer(balanceSettleMs);
    private readonly workByShard = new Map<Shard, number>();
    private readonly rateByShard = new Map<Shard, number>();
    private rateFromMs: number | undefined;

    /** @param config what operators want of the cell */
    constructor(private readonly config: CellConfig) {}

    /** Counts one request. */
    noteWork(shard: Shard): void {
        this.workByShard.set(shard, (this.workByShard.get(shard) ?? 0) + 1);
    }

    /**
     * Asks the cell for the moves that are due.
     * @param cell the cell
     * @param serviceMs time that a server takes for a request, as observed
     * @param now this host's clocks
     * @returns the moves that began
     */
    direct(cell: Cell, serviceMs: ObservedWork["serviceMs"], now: Instant): MoveOrder[] {
        cell.setDrained(this.config.drained);
        cell.moves.abandonSlow(now.monoMs, moveHoldMs);
        this.updateRates(now.monoMs);
        const moves = neededMoves(cell, this.config.pinned, now.monoMs);
        const forLoad = cell.isSettled(now.monoMs) ? this.movesForLoad(cell, serviceMs, now.monoMs) : [];
        return [...moves, ...forLoad].filter((move) => cell.moves.request(move.shard, move.to, now.monoMs));
    }

    private movesForLoad(cell: Cell, serviceMs: ObservedWork["serviceMs"], nowMs: number): MoveOrder[] {
        const { movesPerHour, moveAboveRatio } = this.config.terms;
        const { slots } = this.config.dispatchLimits.queue;
        const ratePerSecond = (shard: Shard) => this.rateByShard.get(shard) ?? 0;
        return this.balancer.nextMoves(cell, { ratePerSecond, serviceMs }, { movesPerHour, moveAboveRatio, slots }, nowMs);
    }

    private updateRates(nowMs: number): void {
        this.rateFromMs ??= nowMs;
        const elapsedMs = nowMs - this.rateFromMs;
        if (elapsedMs < rateWindowMs) {
            return;
        }
        for (const shard of new Set([...this.workByShard.keys(), ...this.rateByShard.keys()])) {
            const perSecond = (this.workByShard.get(shard) ?? 0) * 1_000 / elapsedMs;
            const before = this.rateByShard.get(shard) ?? perSecond;
            this.rateByShard.set(shard, before + rateSmoothing * (perSecond - before));
        }
        this.workByShard.clear();
        this.rateFromMs = nowMs;
    }
}
