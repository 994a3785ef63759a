/** Remembers the orders of one coordinator, so that an order id is sent to a server at most once. */
import type { OrderId, Shard } from "../model/ids.js";
import { orderCreatedWallMs } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import { noGuardsOut } from "../model/guards.js";
import type { Instant } from "../model/time.js";
import type { CoordinatorAnswer, Outcome } from "../model/work.js";
import { notRun, unknownOutcome } from "../model/work.js";

/** Bounds of an order book. */
export interface OrderBookLimits {
    /** How long ids are remembered, counted from the creation time inside the id. */
    windowMs: number;
    maxOrders: number;
    /** How far ahead of this host's wall clock an id may be. */
    aheadMarginMs: number;
    /** How far the wall clocks of two hosts may be apart. */
    hostSkewMs: number;
}

/** What to do with an order that arrived. */
export type Admission =
    | { kind: "send" }
    | { kind: "answer"; outcome: Outcome }
    | { kind: "await"; settled: Promise<CoordinatorAnswer> };

/** One remembered order, as passed on in a planned hand-over. */
export interface OrderEntry {
    orderId: OrderId;
    outcome: Outcome;
}

/** What a coordinator passes on to its successor. */
export interface OrderBookCopy {
    entries: OrderEntry[];
    horizons: { shard: Shard; horizonWallMs: number }[];
}

interface Remembered {
    createdWallMs: number;
    outcome?: Outcome;
    settled?: Promise<CoordinatorAnswer>;
}

/** Order ids and outcomes of one cell. */
export class OrderBook {
    private readonly remembered = new Map<OrderId, Remembered>();
    private readonly horizonWallMsByShard = new Map<Shard, number>();
    private windowFloorWallMs = Number.NEGATIVE_INFINITY;

    /**
     * @param limits bounds of memory and clocks in force
     * @param guardsOut guards left out by a proof
     */
    constructor(private readonly limits: () => OrderBookLimits, private readonly guardsOut: GuardsOut = noGuardsOut) {}

    /** Number of orders remembered. */
    get size(): number {
        return this.remembered.size;
    }

    /**
     * Raises the horizon of a shard: ids created before it may have run under an earlier coordinator.
     * @param shard the shard
     * @param endedWallMs wall clock after which no earlier coordinator could have an order run
     */
    raiseHorizon(shard: Shard, endedWallMs: number): void {
        const horizonWallMs = endedWallMs + this.limits().aheadMarginMs + this.limits().hostSkewMs;
        this.horizonWallMsByShard.set(shard, Math.max(horizonWallMs, this.horizonWallMsByShard.get(shard) ?? 0));
    }

    /**
     * Decides what happens to an order that arrived.
     * @param orderId the caller's id
     * @param shard the shard of its key
     * @param now this host's clocks
     * @returns send it, answer it now, or await the outcome of the same order in flight
     */
    admit(orderId: OrderId, shard: Shard, now: Instant): Admission {
        const known = this.remembered.get(orderId);
        if (known?.outcome !== undefined) {
            return { kind: "answer", outcome: known.outcome };
        }
        if (known?.settled !== undefined) {
            return { kind: "await", settled: known.settled };
        }
        return this.admitUnseen(orderCreatedWallMs(orderId), shard, now);
    }

    /**
     * Remembers an order before it is sent.
     * @param orderId the caller's id
     * @param settled resolves to its outcome
     */
    begin(orderId: OrderId, settled: Promise<CoordinatorAnswer>): void {
        this.remembered.set(orderId, { createdWallMs: orderCreatedWallMs(orderId), settled });
    }

    /**
     * Records the outcome of an order, which closes its id: also after `not-run` a late copy must not run.
     * A redirect is no outcome, so the id stays open.
     * @param orderId the caller's id
     * @param outcome its outcome
     */
    settle(orderId: OrderId, outcome: CoordinatorAnswer): void {
        if (outcome.outcome === "redirect") {
            this.remembered.delete(orderId);
            return;
        }
        this.remembered.set(orderId, { createdWallMs: orderCreatedWallMs(orderId), outcome });
    }

    /**
     * Forgets settled orders that the window has passed; their ids are refused by age from then on. Ids are kept in
     * about the order of their creation, so the search ends at the first young one.
     * @param now this host's clocks
     */
    forgetExpired(now: Instant): void {
        // A successor's clock may be behind this one's, so its window may begin a little earlier.
        const startWallMs = this.windowStartWallMs(now) - this.limits().hostSkewMs;
        for (const [orderId, order] of this.remembered) {
            if (order.createdWallMs >= startWallMs) {
                return;
            }
            if (order.outcome !== undefined) {
                this.remembered.delete(orderId);
            }
        }
    }

    /** Copies what a successor needs. An order that is still in flight counts as `unknown` there. */
    copy(): OrderBookCopy {
        const entries = [...this.remembered].map(([orderId, order]) =>
            ({ orderId, outcome: order.outcome ?? unknownOutcome("lost", 0) }));
        const horizons = [...this.horizonWallMsByShard].map(([shard, horizonWallMs]) => ({ shard, horizonWallMs }));
        return { entries, horizons };
    }

    /**
     * Takes over the book of the immediate predecessor, in place of raising horizons.
     * @param copy what the predecessor passed on
     */
    adopt(copy: OrderBookCopy): void {
        for (const entry of copy.entries) {
            this.settle(entry.orderId, entry.outcome);
        }
        for (const { shard, horizonWallMs } of copy.horizons) {
            this.horizonWallMsByShard.set(shard, Math.max(horizonWallMs, this.horizonWallMsByShard.get(shard) ?? 0));
        }
    }

    private admitUnseen(createdWallMs: number, shard: Shard, now: Instant): Admission {
        const aheadMs = createdWallMs - now.wallMs;
        if (aheadMs > this.limits().aheadMarginMs) {
            return { kind: "answer", outcome: notRun("id-ahead", aheadMs) };
        }
        const horizonWallMs = this.horizonWallMsByShard.get(shard) ?? Number.POSITIVE_INFINITY;
        const tooOld = createdWallMs < Math.max(horizonWallMs, this.windowStartWallMs(now));
        if (tooOld && this.guardsOut.idHorizon !== true) {
            return { kind: "answer", outcome: unknownOutcome("id-too-old", 0) };
        }
        return this.makeRoom() ? { kind: "send" } : { kind: "answer", outcome: unknownOutcome("window-full", 0) };
    }

    /** Past the bound the window shrinks: the oldest settled ids are forgotten, and refused by age from then on. */
    private makeRoom(): boolean {
        if (this.remembered.size < this.limits().maxOrders) {
            return true;
        }
        for (const [orderId, order] of this.remembered) {
            if (order.outcome !== undefined) {
                this.remembered.delete(orderId);
                this.windowFloorWallMs = Math.max(this.windowFloorWallMs, order.createdWallMs + 1);
                return true;
            }
        }
        return false;
    }

    /** Never goes back, also when the wall clock is set back: forgotten ids must stay refused. */
    private windowStartWallMs(now: Instant): number {
        this.windowFloorWallMs = Math.max(this.windowFloorWallMs, now.wallMs - this.limits().windowMs);
        return this.windowFloorWallMs;
    }
}
