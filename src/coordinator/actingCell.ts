/** One cell under one fence that this host coordinates: its leases, orders and queues, from takeover to hand-over. */
import type { Fence, RunId, Shard } from "../model/ids.js";
import { noFence } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import type { Clock, Instant } from "../model/time.js";
import type { Redirect } from "../model/work.js";
import { redirect } from "../model/work.js";
import type { CellLayout } from "../config/document.js";
import { Cell } from "../ownership/cell.js";
import { CellRunner } from "../ownership/cellRunner.js";
import type { PlacementEvent } from "../ownership/tenure.js";
import { OrderBook } from "../orders/orderBook.js";
import type { TermInForce } from "../platform/fold.js";
import type { Journal } from "../platform/journal.js";
import type { CellConfig } from "./cellConfig.js";
import { hostSkewMs } from "./cellConfig.js";
import { Dispatcher } from "./dispatcher.js";
import type { HandOver } from "./peerPort.js";
import type { ServerPort } from "./serverPort.js";

const drainMs = 300;
const driftMarginMs = 5;

/** How long an entry host waits before it asks another coordinator, in milliseconds. */
export const redirectAfterMs = 20;

/** What an acting cell works with. */
export interface ActingCellParts {
    layout: CellLayout;
    inForce: TermInForce;
    fence: Fence;
    config: CellConfig;
    /** What the predecessor passed on, if it did. */
    handOver?: HandOver;
    servers: ServerPort;
    clock: Clock;
    journal: Journal;
    random: () => number;
    guardsOut: GuardsOut;
    /** A server has accepted a higher fence. */
    onOutranked: () => void;
}

/** Coordinates one cell until it is stopped or outranked. */
export class ActingCell {
    readonly fence: Fence;
    readonly cell: Cell;
    readonly dispatcher: Dispatcher;
    private readonly book: OrderBook;
    private readonly runner: CellRunner;
    private term: TermInForce;
    private handOver: HandOver | undefined;

    /** @param parts the term, the fence and the ports */
    constructor(private readonly parts: ActingCellParts) {
        const { inForce, fence, layout, config, servers, clock, random, guardsOut } = parts;
        const { term } = inForce;
        this.term = inForce;
        this.fence = fence;
        this.handOver = parts.handOver;
        this.cell = new Cell({
            cell: layout.cell, fence, driftMarginMs,
            servers: term.servers,
            voterSets: term.voterSets,
            shards: layout.shards as Shard[],
            leaseMs: term.leaseMs,
            waitMs: term.waitMs,
        }, guardsOut);
        this.book = new OrderBook(() => config.bookLimits, guardsOut);
        this.dispatcher = new Dispatcher({
            cell: this.cell, book: this.book, servers, clock, random, guardsOut,
            limits: () => config.dispatchLimits,
            hurry: () => {
                this.runner.hurry();
            },
        });
        this.runner = new CellRunner(this.cell, servers, clock, () => config.terms, {
            onChange: (now) => {
                this.adoptWhenCurrent(now);
                this.dispatcher.onCellChanged(now);
            },
            onPlacement: (event) => {
                this.report(event);
            },
            onOutranked: parts.onOutranked,
        });
    }

    /** Term that this coordinator goes by; its fence may derive from an earlier one. */
    get inForce(): TermInForce {
        return this.term;
    }

    /**
     * Goes by a newer term that changes only who follows whom. The fence stays, so nothing has to be drained: those that
     * the new term ranks have higher fences anyway.
     * @param inForce the newer term
     * @returns false when its servers, majorities or lease differ, so that a new fence is needed
     */
    tryFollow(inForce: TermInForce): boolean {
        const { plan } = this.cell;
        const known = new Set([...plan.voterSets, plan.servers].map(nameOfSet));
        const { servers, voterSets, leaseMs } = inForce.term;
        const same = nameOfSet(servers) === nameOfSet(plan.servers) && leaseMs === plan.leaseMs;
        if (!same || voterSets.some((set) => !known.has(nameOfSet(set)))) {
            return false;
        }
        this.term = inForce;
        return true;
    }

    /** Begins to send heartbeats. */
    start(): void {
        this.runner.start();
    }

    /**
     * Stops: new requests are told to ask elsewhere, what is in flight has a moment to end.
     * @returns what the successor needs
     */
    async stop(): Promise<Omit<HandOver, "moveAgesMs">> {
        const drained = this.dispatcher.close(notCoordinator());
        await Promise.race([drained, this.parts.clock.sleep(drainMs)]);
        this.runner.stop();
        const now = this.parts.clock.now();
        return {
            cell: this.cell.plan.cell,
            fence: this.fence,
            stoppedWallMs: now.wallMs,
            book: this.book.copy(),
            leases: this.cell.leasesLeft(now.monoMs),
        };
    }

    /**
     * A predecessor's book replaces the horizon only if no other coordinator can have acted in between: a majority
     * saw no fence above the predecessor's, and authority stood before a restarted server could count again.
     */
    private adoptWhenCurrent(now: Instant): void {
        const { handOver, cell } = this;
        if (handOver === undefined || cell.sinceMs === undefined) {
            return;
        }
        this.handOver = undefined;
        const priorFence = cell.authority.highestPriorFence() ?? noFence;
        const elapsedMs = now.wallMs - handOver.stoppedWallMs + hostSkewMs;
        const current = priorFence <= handOver.fence && elapsedMs < cell.plan.leaseMs;
        if (current || this.parts.guardsOut.handOverCheck === true) {
            this.dispatcher.adopt(handOver.book);
            cell.adoptLeases(handOver.leases, now.monoMs);
        }
    }

    private report(event: PlacementEvent): void {
        this.parts.journal.count("placement", 1, { cause: event.cause });
        if (event.cause !== "kept") {
            const { cell } = this.cell.plan;
            this.parts.journal.info("grant", `${cell} shard ${String(event.shard)} goes to ${event.to}: ${event.cause}.`);
        }
    }
}

/**
 * Tells an entry host to ask elsewhere.
 * @param coordinator whom to ask, where one is known
 * @returns the answer
 */
export function notCoordinator(coordinator?: RunId): Redirect {
    return redirect("not-coordinator", redirectAfterMs, coordinator);
}

function nameOfSet(servers: readonly string[]): string {
    return [...servers].sort().join();
}
