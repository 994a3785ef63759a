/** What the configuration in force says about one cell; read afresh each time, so that changes take hold at once. */
import type { CellId, Shard, TargetId } from "../model/ids.js";
import type { Clock } from "../model/time.js";
import type { CellLayout, ConfigDocument, PoolConfig, TermsOfService } from "../config/document.js";
import { emptyDocument, findPool, listCells, termsOf } from "../config/document.js";
import type { OrderBookLimits } from "../orders/orderBook.js";
import type { LogFollower } from "../platform/logFollower.js";
import type { DispatchLimits } from "./dispatcher.js";

/** How far ahead of a host's wall clock an order id may be, in milliseconds. */
export const aheadMarginMs = 100;

/** How far the wall clocks of two hosts may be apart, in milliseconds. */
export const hostSkewMs = 50;

/** Reads one cell's part of the configuration. */
export class CellConfig {
    private known: { document: ConfigDocument; layout: CellLayout | undefined } | undefined;

    /**
     * @param cell the cell
     * @param follower holds the agreed state
     * @param clock decides which exceptions are in force
     */
    constructor(readonly cell: CellId, private readonly follower: LogFollower, private readonly clock: Clock) {}

    get document(): ConfigDocument {
        return this.follower.state.config?.document ?? emptyDocument;
    }

    /** The cell's servers and shards, or undefined when the configuration does not name the cell. */
    get layout(): CellLayout | undefined {
        const { document } = this;
        if (this.known?.document !== document) {
            this.known = { document, layout: listCells(document).find((layout) => layout.cell === this.cell) };
        }
        return this.known.layout;
    }

    /** Names of all cells. */
    get allCells(): CellId[] {
        return listCells(this.document).map((layout) => layout.cell);
    }

    get terms(): TermsOfService {
        const { layout } = this;
        return layout === undefined
            ? this.document.defaults
            : termsOf(this.document, layout.institution, layout.pool, this.clock.now().wallMs);
    }

    get bookLimits(): OrderBookLimits {
        const { orderWindowMs, maxOrders } = this.terms;
        return { windowMs: orderWindowMs, maxOrders, aheadMarginMs, hostSkewMs };
    }

    get dispatchLimits(): DispatchLimits {
        const { lookahead, maxWaiting, warmUpMs, maxHeld, policy } = this.terms;
        const slots = this.pool?.slots ?? 1;
        return { queue: { slots, lookahead, maxWaiting, warmUpMs, policy }, maxHeld, fenceChecked: this.pool?.fenceChecked ?? false };
    }

    /** Servers that operators want no work on. */
    get drained(): Set<TargetId> {
        const targets = this.pool?.targets ?? [];
        return new Set(targets.filter((target) => target.drain === true).map((target) => target.id as TargetId));
    }

    /** Shards of the cell that operators pinned to a server. */
    get pinned(): Map<Shard, TargetId> {
        const { layout } = this;
        const moves = this.document.moves.filter((move) =>
            move.institution === layout?.institution && move.pool === layout.pool && layout.shards.includes(move.shard));
        return new Map(moves.map((move) => [move.shard as Shard, move.target as TargetId]));
    }

    private get pool(): PoolConfig | undefined {
        const { layout } = this;
        return layout === undefined ? undefined : findPool(this.document, layout.institution, layout.pool);
    }
}
