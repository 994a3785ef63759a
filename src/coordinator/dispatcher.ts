/** Takes keyed work of one cell to the server that owns its shard, at most once for an order. */
import type { Shard, TargetId } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import type { Clock, Instant } from "../model/time.js";
import { Signal } from "../model/signal.js";
import type { CoordinatorAnswer, KeyedWork, NotRunOutcome, Outcome, Redirect, RefusalReason } from "../model/work.js";
import { notRun, unknownOutcome } from "../model/work.js";
import type { Cell } from "../ownership/cell.js";
import type { OrderBook, OrderBookCopy } from "../orders/orderBook.js";
import type { QueueLimits } from "../admission/serverQueue.js";
import { ServerQueue } from "../admission/serverQueue.js";
import { RetryBudget } from "../admission/retryBudget.js";
import type { ServerPort } from "./serverPort.js";
import { WorkSender } from "./workSender.js";

const currentProofMs = 200;

/** Longest time that a request is held for an owner; a loss is mended well before. */
const maxHoldMs = 1_500;
const retryRatio = 0.1;
const retryBurst = 20;

/** Settings of a dispatcher that come from the configuration of its pool. */
export interface DispatchLimits {
    queue: QueueLimits;
    /** Requests of one cell that may wait for an owner. */
    maxHeld: number;
    /** Whether the servers refuse work of a lower fence. */
    fenceChecked: boolean;
}

/** What a dispatcher works with. */
export interface DispatcherParts {
    cell: Cell;
    book: OrderBook;
    servers: ServerPort;
    clock: Clock;
    /** Settings in force. */
    limits: () => DispatchLimits;
    random: () => number;
    /** Asks for the next heartbeats at once. */
    hurry: () => void;
    guardsOut: GuardsOut;
}

type OwnerFound = { server: TargetId } | { refusal: NotRunOutcome | Redirect };

/** Serves the keyed work of one cell under one fence. */
export class Dispatcher {
    private readonly queues = new Map<TargetId, ServerQueue>();
    private readonly ordersInFlight = new Map<string, number>();
    private readonly horizonEpochMs = new Map<Shard, number>();
    private readonly changed = new Signal();
    private readonly retries = new RetryBudget(retryRatio, () => retryBurst);
    private adoptedEpochMs: number | undefined;
    private heldCount = 0;
    private active = 0;
    private closed: Redirect | undefined;
    private readonly sender: WorkSender;

    /** @param parts the cell, its order book and the ports */
    constructor(private readonly parts: DispatcherParts) {
        this.sender = new WorkSender(parts);
    }

    /**
     * Serves one request.
     * @param work the request; its budget counts from now
     * @returns its outcome, at the latest when the budget ends
     */
    async serve(work: KeyedWork): Promise<CoordinatorAnswer> {
        const deadlineMs = this.parts.clock.now().monoMs + work.budgetMs;
        this.active += 1;
        const outcome = work.kind === "order" ? await this.serveOrder(work, deadlineMs) : await this.serveRead(work, deadlineMs);
        this.active -= 1;
        return outcome;
    }

    /**
     * Tells how long a server takes for a request, as observed here.
     * @param server the server
     * @returns milliseconds
     */
    serviceMsOf(server: TargetId): number {
        return this.queueOf(server).meanServiceMs;
    }

    /** Takes note that the cell may have changed: wakes held requests, releases drained shards, sets horizons. */
    onCellChanged(now: Instant): void {
        for (const shard of this.parts.cell.takeNewlyServing()) {
            this.noteServing(shard, now);
        }
        this.releaseDrained();
        this.parts.book.forgetExpired(now);
        for (const queue of this.queues.values()) {
            queue.startNext(now.monoMs);
        }
        this.changed.fire();
    }

    /**
     * Takes over the immediate predecessor's orders.
     * @param copy its order book
     */
    adopt(copy: OrderBookCopy): void {
        this.parts.book.adopt(copy);
        this.adoptedEpochMs = this.parts.cell.sinceMs;
    }

    /**
     * Accepts nothing new and ends when everything in flight has its outcome.
     * @param refusal what new requests are told
     */
    async close(refusal: Redirect): Promise<void> {
        this.closed = refusal;
        this.changed.fire();
        for (const queue of this.queues.values()) {
            queue.refuseAll(notRun(refusal.reason, refusal.retryAfterMs));
        }
        while (this.active > 0) {
            await this.parts.clock.sleep(2);
        }
    }

    /** Describes queues and orders for a dump. */
    describe(): object {
        return {
            active: this.active,
            held: this.heldCount,
            orders: this.parts.book.size,
            queues: [...this.queues].map(([server, queue]) => ({
                server, inFlight: queue.inFlightCount, waiting: queue.waitingCount,
            })),
        };
    }

    private async serveRead(work: KeyedWork, deadlineMs: number): Promise<CoordinatorAnswer> {
        this.retries.onFirstAttempt();
        for (;;) {
            const answer = await this.attempt(work, deadlineMs, false);
            const mayRetry = answer.outcome !== "done" && retryableReasons.has(answer.reason);
            if (!mayRetry || this.nowMs() >= deadlineMs || !this.retries.tryRetry()) {
                // A read changes nothing, so one without an answer counts as not run.
                return answer.outcome === "unknown" ? notRun(answer.reason, answer.retryAfterMs ?? 0) : answer;
            }
        }
    }

    private async serveOrder(work: KeyedWork, deadlineMs: number): Promise<CoordinatorAnswer> {
        const { book, clock } = this.parts;
        const orderId = work.orderId;
        if (orderId === undefined) {
            return notRun("bad-request");
        }
        const arrivedMs = this.nowMs();
        const owner = await this.findOwner(work.shard, deadlineMs);
        const refusal = "refusal" in owner ? owner.refusal : undefined;
        if (refusal?.outcome === "redirect") {
            return refusal;
        }
        const admission = book.admit(orderId, work.shard, clock.now());
        if (admission.kind === "answer") {
            return admission.outcome;
        }
        if (admission.kind === "await") {
            const late = clock.sleep(deadlineMs - this.nowMs()).then(() => unknownOutcome("deadline", 0));
            return Promise.race([admission.settled, late]);
        }
        const settled = this.runOrder(work, deadlineMs, arrivedMs, refusal);
        book.begin(orderId, settled);
        const answer = await settled;
        book.settle(orderId, answer);
        return answer;
    }

    /** Sends an order unless it is refused already, and lets `not-run` out only with proof. */
    private async runOrder(
        work: KeyedWork,
        deadlineMs: number,
        arrivedMs: number,
        refusal: NotRunOutcome | undefined,
    ): Promise<CoordinatorAnswer> {
        const answer = refusal ?? await this.attempt(work, deadlineMs, true);
        if (answer.outcome !== "not-run" || await this.isStillCurrent(arrivedMs)) {
            return answer;
        }
        return unknownOutcome(answer.reason, answer.retryAfterMs);
    }

    /**
     * Tells whether no newer coordinator can have run an order that arrived at a moment: a majority must have
     * accepted a heartbeat sent afterwards.
     */
    private async isStillCurrent(arrivedMs: number): Promise<boolean> {
        if (this.parts.guardsOut.currentProof === true) {
            return true;
        }
        const latestMs = this.nowMs() + currentProofMs;
        while (!this.parts.cell.authority.hasMajoritySentAfter(arrivedMs)) {
            const leftMs = latestMs - this.nowMs();
            if (leftMs <= 0) {
                return false;
            }
            this.parts.hurry();
            await Promise.race([this.changed.next(), this.parts.clock.sleep(leftMs)]);
        }
        return this.parts.cell.hasAuthority(this.nowMs());
    }

    /** Waits for the owner and a slot, then sends once. An order that was sent is never sent again. */
    private async attempt(work: KeyedWork, deadlineMs: number, isOrder: boolean): Promise<CoordinatorAnswer> {
        for (;;) {
            const owner = await this.findOwner(work.shard, deadlineMs);
            if ("refusal" in owner) {
                return owner.refusal;
            }
            const queue = this.queueOf(owner.server);
            const permit = await queue.enter({ priority: work.priority, deadlineMs }, this.nowMs());
            if (!permit.granted) {
                return this.closed ?? permit.refusal;
            }
            const nowMs = this.nowMs();
            if (this.closed !== undefined || !this.mayStillSend(work.shard, owner.server, nowMs)) {
                queue.leave(undefined, nowMs);
                continue;
            }
            return isOrder
                ? await this.sendOrder(work, owner.server, queue, deadlineMs)
                : await this.sender.sendRead(work, owner.server, queue, deadlineMs);
        }
    }

    /** Authority and ownership may have ended while the request waited for its slot. */
    private mayStillSend(shard: Shard, server: TargetId, nowMs: number): boolean {
        return this.parts.guardsOut.authority === true || this.parts.cell.servingOwner(shard, nowMs) === server;
    }

    /** Counts the order as in flight, which holds back the release of its shard. */
    private async sendOrder(work: KeyedWork, server: TargetId, queue: ServerQueue, deadlineMs: number): Promise<Outcome> {
        this.countInFlight(work.shard, server, 1);
        const outcome = await this.sender.sendOrder(work, server, queue, deadlineMs);
        this.countInFlight(work.shard, server, -1);
        this.releaseDrained();
        return outcome;
    }

    private async findOwner(shard: Shard, deadlineMs: number): Promise<OwnerFound> {
        const holdUntilMs = Math.min(deadlineMs, this.nowMs() + maxHoldMs);
        for (;;) {
            const nowMs = this.nowMs();
            if (this.closed !== undefined) {
                return { refusal: this.closed };
            }
            const server = this.parts.cell.servingOwner(shard, nowMs);
            if (server !== undefined && this.ordersMayBegin(nowMs)) {
                return { server };
            }
            const waitMs = this.parts.cell.servedAgainInMs(shard, nowMs);
            if (nowMs >= holdUntilMs || nowMs + waitMs > deadlineMs || this.heldCount >= this.parts.limits().maxHeld) {
                return { refusal: notRun("no-owner", waitMs) };
            }
            this.heldCount += 1;
            await Promise.race([this.changed.next(), this.parts.clock.sleep(waitMs)]);
            this.heldCount -= 1;
        }
    }

    /** Servers that do not check fences may still begin a predecessor's orders until its authority has ended. */
    private ordersMayBegin(nowMs: number): boolean {
        const { cell } = this.parts;
        const limits = this.parts.limits();
        if (limits.fenceChecked || this.adoptedEpochMs === cell.sinceMs) {
            return true;
        }
        return cell.sinceMs !== undefined && nowMs >= cell.sinceMs + cell.plan.waitMs + cell.plan.driftMarginMs;
    }

    private noteServing(shard: Shard, now: Instant): void {
        const epochMs = this.parts.cell.sinceMs;
        if (epochMs === undefined || this.horizonEpochMs.get(shard) === epochMs) {
            return;
        }
        this.horizonEpochMs.set(shard, epochMs);
        if (this.adoptedEpochMs === epochMs) {
            return;
        }
        const { waitMs, driftMarginMs } = this.parts.cell.plan;
        const waitLeftMs = Math.max(0, epochMs + waitMs + driftMarginMs - now.monoMs);
        this.parts.book.raiseHorizon(shard, now.wallMs + (this.parts.limits().fenceChecked ? 0 : waitLeftMs));
    }

    private releaseDrained(): void {
        for (const { shard, owner } of this.parts.cell.moves.awaitingRelease()) {
            if (!this.ordersInFlight.has(`${String(shard)}@${owner}`)) {
                this.parts.cell.moves.startRelease(shard);
                this.parts.hurry();
            }
        }
    }

    private countInFlight(shard: Shard, server: TargetId, change: number): void {
        const place = `${String(shard)}@${server}`;
        const count = (this.ordersInFlight.get(place) ?? 0) + change;
        if (count === 0) {
            this.ordersInFlight.delete(place);
            return;
        }
        this.ordersInFlight.set(place, count);
    }

    private queueOf(server: TargetId): ServerQueue {
        const known = this.queues.get(server);
        if (known !== undefined) {
            return known;
        }
        const queue = new ServerQueue(() => this.parts.limits().queue, this.parts.random);
        this.queues.set(server, queue);
        return queue;
    }

    private nowMs(): number {
        return this.parts.clock.now().monoMs;
    }
}

/** Refusals after which a read may be tried again at once, perhaps at another owner. */
const retryableReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>(["unreachable", "lost", "not-owner", "fence", "cancelled"]);
