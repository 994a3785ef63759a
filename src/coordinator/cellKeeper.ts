/** One task a cell: decides whether this host coordinates it, and hands it over when another host should. */
import type { CellId, Fence, RunId } from "../model/ids.js";
import { fenceOf, hostOfRun, noFence, rankOf } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import type { Clock, Instant } from "../model/time.js";
import type { CoordinatorAnswer, KeyedWork } from "../model/work.js";
import { redirect } from "../model/work.js";
import type { CellLayout } from "../config/document.js";
import type { TermInForce } from "../platform/fold.js";
import type { Journal } from "../platform/journal.js";
import type { LogFollower } from "../platform/logFollower.js";
import type { LogPort } from "../platform/logPort.js";
import { ActingCell, notCoordinator, redirectAfterMs } from "./actingCell.js";
import { CellConfig } from "./cellConfig.js";
import { MoveDirector } from "./moveDirector.js";
import type { HandOver } from "./peerPort.js";
import type { Peers } from "./peers.js";
import type { ServerPort } from "./serverPort.js";
import type { SuccessionDecision } from "./succession.js";
import { decideSuccession, isCoordinatedElsewhere } from "./succession.js";
import { claimAfterMs, TermKeeper } from "./termKeeper.js";

const activePaceMs = 40;
const passivePaceMs = 300;
const handOverTimeoutMs = 400;
const witnessTimeoutMs = 120;
const leavePollMs = 5;
const rankSuccessorMs = 1_500;

/** What a keeper works with. */
export interface CellKeeperParts {
    cell: CellId;
    self: RunId;
    follower: LogFollower;
    log: LogPort;
    peers: Peers;
    servers: ServerPort;
    clock: Clock;
    journal: Journal;
    random: () => number;
    /** Guards left out by a proof. */
    guardsOut: GuardsOut;
}

/** Keeps one cell. */
export class CellKeeper {
    private acting: ActingCell | undefined;
    private handedOver: HandOver | undefined;
    private highestFence: Fence = noFence;
    private lastActingMs = Number.NEGATIVE_INFINITY;
    private lastActingRun: RunId | undefined;
    private termSeen: { offset: number; atMs: number } | undefined;
    private leaving = false;
    private stepping = false;
    private readonly stopping = new AbortController();

    private readonly config: CellConfig;
    private readonly terms: TermKeeper;
    private readonly moves: MoveDirector;

    /** @param parts the cell, this host and the ports */
    constructor(private readonly parts: CellKeeperParts) {
        this.config = new CellConfig(parts.cell, parts.follower, parts.clock);
        this.terms = new TermKeeper({ ...parts, config: this.config });
        this.moves = new MoveDirector(this.config);
    }

    /** Fence under which this host acts, if it does. */
    get actingFence(): Fence | undefined {
        return this.acting?.fence;
    }

    /** Runs that this host may have to follow: those ranked before it, and whoever acts now. */
    watchedRuns(): RunId[] {
        const ranked = this.parts.follower.state.terms[this.parts.cell]?.term.coordinators ?? [];
        const rank = ranked.indexOf(this.parts.self);
        if (rank < 0) {
            return [];
        }
        const acting = this.likelyCoordinator();
        return [...ranked.slice(0, rank), ...acting === undefined ? [] : [acting]];
    }

    /** Runs until stopped. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.step();
            const pace = this.isRanked() ? activePaceMs : passivePaceMs;
            await this.parts.clock.sleep(pace, this.stopping.signal);
        }
    }

    /**
     * Serves keyed work, or tells where to ask.
     * @param work the request
     * @returns the outcome, or a redirect
     */
    async serve(work: KeyedWork): Promise<CoordinatorAnswer> {
        const acting = this.acting;
        if (acting === undefined) {
            return work.relay === true ? this.relay(work) : notCoordinator(this.likelyCoordinator());
        }
        this.moves.noteWork(work.shard);
        return acting.dispatcher.serve(work);
    }

    /** Passes a request on for an entry host that cannot reach the coordinator itself. */
    private async relay(work: KeyedWork): Promise<CoordinatorAnswer> {
        const run = this.likelyCoordinator();
        if (run === undefined) {
            return notCoordinator();
        }
        const answer = await this.parts.peers.callHost<CoordinatorAnswer>(
            hostOfRun(run), "work", { ...work, relay: false }, work.budgetMs + redirectAfterMs);
        return answer.unwrapOr(redirect("unreachable", redirectAfterMs, run));
    }

    /**
     * Takes a planned hand-over; this host acts at its next step if its rank allows.
     * @param handOver the predecessor's orders
     * @returns whether it was taken
     */
    acceptHandOver(handOver: HandOver): boolean {
        if (this.acting !== undefined || this.leaving) {
            return false;
        }
        this.handedOver = handOver;
        void this.step();
        return true;
    }

    /** Hands the cell over and stops; for the end of this process. */
    async leave(): Promise<void> {
        this.leaving = true;
        this.stopping.abort();
        while (this.stepping) {
            await this.parts.clock.sleep(leavePollMs);
        }
        if (this.acting !== undefined) {
            await this.handOverTo(this.nextRanked() ?? await this.rankSuccessor(this.acting));
        }
    }

    /** When the term ranks no live successor any more, a new term does; this host serves on until it is read. */
    private async rankSuccessor(acting: ActingCell): Promise<RunId | undefined> {
        const successor = await this.terms.publishWithoutSelf(acting.inForce, this.parts.clock.now());
        const untilMs = this.parts.clock.now().monoMs + rankSuccessorMs;
        while (successor !== undefined && this.parts.clock.now().monoMs < untilMs) {
            if (this.parts.follower.state.terms[this.parts.cell]?.term.coordinators[0] === successor) {
                return successor;
            }
            await this.parts.clock.sleep(leavePollMs);
        }
        return undefined;
    }

    /** Describes the cell for a dump. */
    describe(nowMs: number): object {
        return {
            cell: this.parts.cell,
            acting: this.acting !== undefined,
            highestFence: this.highestFence,
            term: this.parts.follower.state.terms[this.parts.cell],
            grants: this.acting?.cell.describe(nowMs),
            work: this.acting?.dispatcher.describe(),
        };
    }

    private async step(): Promise<void> {
        const now = this.parts.clock.now();
        const layout = this.config.layout;
        const inForce = this.parts.follower.state.terms[this.parts.cell];
        if (layout === undefined || this.stepping || this.leaving) {
            return;
        }
        this.stepping = true;
        if (inForce === undefined || this.acting === undefined) {
            await this.stepIdle(layout, inForce, now);
        }
        else {
            await this.stepActing(layout, inForce, this.acting, now);
        }
        this.stepping = false;
    }

    private async stepIdle(layout: CellLayout, inForce: TermInForce | undefined, now: Instant): Promise<void> {
        this.noteOthers(inForce, now.monoMs);
        if (this.isOrphaned(inForce, now.monoMs)) {
            await this.terms.claimWhenDue(inForce, now);
            return;
        }
        this.terms.noteNotOrphaned();
        const decision = this.decide(inForce as TermInForce, now.monoMs);
        const mayAct = decision.act && (!decision.askServers || !await this.isServedElsewhere(layout, decision.fence));
        if (decision.act && mayAct && !this.leaving) {
            this.start(layout, inForce as TermInForce, decision.fence);
        }
    }

    private async stepActing(layout: CellLayout, inForce: TermInForce, acting: ActingCell, now: Instant): Promise<void> {
        this.lastActingMs = now.monoMs;
        this.noteTerm(inForce, now.monoMs);
        if (inForce.offset !== acting.inForce.offset) {
            await this.followTerm(layout, inForce, acting);
            return;
        }
        const { cell } = acting;
        for (const move of this.moves.direct(cell, (server) => acting.dispatcher.serviceMsOf(server), now)) {
            this.parts.journal.info("move", `${cell.plan.cell} shard ${String(move.shard)} moves to ${move.to}: ${move.reason}.`);
        }
        acting.dispatcher.onCellChanged(now);
        await this.terms.renewWhenDue({ inForce, cell, seenMs: this.termSeen?.atMs ?? now.monoMs }, now);
    }

    /** A newer term: go by it, under its fence if need be, or hand over to the coordinator that it ranks first. */
    private async followTerm(layout: CellLayout, inForce: TermInForce, acting: ActingCell): Promise<void> {
        const first = inForce.term.coordinators[0] as RunId;
        if (first !== this.parts.self) {
            await this.handOverTo(first);
            return;
        }
        if (acting.tryFollow(inForce)) {
            return;
        }
        this.handedOver = await this.stopActing(acting);
        this.start(layout, inForce, fenceOf(inForce.offset, 0));
    }

    private async handOverTo(successor: RunId | undefined): Promise<void> {
        if (this.acting === undefined) {
            return;
        }
        const handOver = await this.stopActing(this.acting);
        const taken = successor !== undefined && await this.parts.peers.handOver(successor, handOver, handOverTimeoutMs);
        this.parts.journal.info("cell", `${this.parts.cell} handed over to ${successor ?? "nobody"}: ${taken ? "taken" : "not taken"}.`);
    }

    private async stopActing(acting: ActingCell): Promise<HandOver> {
        const passedOn = await acting.stop();
        const handOver = { ...passedOn, moveAgesMs: this.moves.balancer.moveAgesMs(this.parts.clock.now().monoMs) };
        this.acting = undefined;
        this.highestFence = Math.max(this.highestFence, acting.fence) as Fence;
        return handOver;
    }

    private start(layout: CellLayout, inForce: TermInForce, fence: Fence): void {
        const acting: ActingCell = new ActingCell({
            ...this.parts, layout, inForce, fence,
            config: this.config,
            handOver: this.handedOver,
            onOutranked: () => {
                this.onOutranked(acting);
            },
        });
        if (this.handedOver !== undefined) {
            this.moves.balancer.adoptMoves(this.handedOver.moveAgesMs, this.parts.clock.now().monoMs);
        }
        this.handedOver = undefined;
        this.acting = acting;
        this.parts.journal.info("cell", `${layout.cell} is coordinated here under fence ${String(fence)}.`);
        acting.start();
    }

    private onOutranked(acting: ActingCell): void {
        this.highestFence = Math.max(this.highestFence, acting.cell.outrankedBy ?? noFence) as Fence;
        this.parts.journal.info("cell", `${this.parts.cell} is coordinated elsewhere under fence ${String(this.highestFence)}.`);
        if (this.acting === acting) {
            this.acting = undefined;
        }
        void acting.dispatcher.close(notCoordinator());
    }

    private decide(inForce: TermInForce, nowMs: number): SuccessionDecision {
        return decideSuccession({
            inForce,
            self: this.parts.self,
            peers: this.parts.peers.viewsOf(this.parts.cell, nowMs),
            termSeenMs: this.termSeen?.atMs ?? nowMs,
            lastActingMs: this.lastActingMs,
            highestFence: this.highestFence,
            handedOverFence: this.handedOver?.fence,
        }, nowMs);
    }

    private noteTerm(inForce: TermInForce | undefined, nowMs: number): void {
        if (inForce !== undefined && this.termSeen?.offset !== inForce.offset) {
            this.termSeen = { offset: inForce.offset, atMs: nowMs };
        }
    }

    private noteOthers(inForce: TermInForce | undefined, nowMs: number): void {
        this.noteTerm(inForce, nowMs);
        for (const peer of this.parts.peers.viewsOf(this.parts.cell, nowMs)) {
            if (peer.actingFence !== undefined && peer.heardMs > this.lastActingMs) {
                this.lastActingMs = peer.heardMs;
                this.lastActingRun = peer.run;
            }
        }
    }

    /** Asks the servers themselves whether a coordinator that this host cannot reach is at work. */
    private async isServedElsewhere(layout: CellLayout, fence: Fence): Promise<boolean> {
        const question = { cell: layout.cell, fence: noFence, sequence: 0, leaseEndServerMs: 0, renew: [], grant: [], release: [] };
        const replies = await Promise.all(layout.servers.map((server) =>
            this.parts.servers.heartbeat(server, question, witnessTimeoutMs)));
        const answered = replies.flatMap((reply) => reply.isOk() ? [reply.value] : []);
        this.highestFence = Math.max(this.highestFence, ...answered.map((reply) => reply.fence)) as Fence;
        const { heartbeatMs } = this.config.terms;
        const witnesses = answered.filter((reply) => reply.fence > noFence).map((reply) => reply.sinceAcceptedMs);
        // A coordinator that most hosts cannot reach serves few callers, however well it reaches the servers.
        const run = this.runUnder(this.highestFence) ?? this.lastActingRun;
        const reachable = run === undefined || this.parts.peers.isHeardByHalf(run, this.parts.clock.now().monoMs);
        return this.highestFence >= fence || (reachable && isCoordinatedElsewhere(witnesses, layout.servers.length, heartbeatMs));
    }

    /** Run that the term in force ranks under a fence. */
    private runUnder(fence: Fence): RunId | undefined {
        const inForce = this.parts.follower.state.terms[this.parts.cell];
        const isOfThisTerm = inForce !== undefined && fence >= fenceOf(inForce.offset, 0);
        return isOfThisTerm ? inForce.term.coordinators[rankOf(fence)] : undefined;
    }

    /** No term yet, or none of its coordinators is alive. */
    private isOrphaned(inForce: TermInForce | undefined, nowMs: number): boolean {
        if (inForce === undefined) {
            return true;
        }
        const someoneActs = nowMs - this.lastActingMs < claimAfterMs;
        const rankedLive = inForce.term.coordinators.some((run, rank) =>
            this.parts.peers.isLive(run, nowMs) && fenceOf(inForce.offset, rank) > this.highestFence);
        return !someoneActs && !rankedLive;
    }

    private nextRanked(): RunId | undefined {
        const acting = this.acting;
        const nowMs = this.parts.clock.now().monoMs;
        return acting?.inForce.term.coordinators.find((run, rank) =>
            run !== this.parts.self && this.parts.peers.isLive(run, nowMs) && fenceOf(acting.inForce.offset, rank) > acting.fence);
    }

    private likelyCoordinator(): RunId | undefined {
        const acting = this.parts.peers.viewsOf(this.parts.cell, this.parts.clock.now().monoMs)
            .filter((peer) => peer.actingFence !== undefined)
            .sort((left, right) => (right.actingFence ?? 0) - (left.actingFence ?? 0));
        return acting[0]?.run;
    }

    private isRanked(): boolean {
        const inForce = this.parts.follower.state.terms[this.parts.cell];
        const self = hostOfRun(this.parts.self);
        return inForce === undefined || inForce.term.coordinators.some((run) => hostOfRun(run) === self);
    }
}
