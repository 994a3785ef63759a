/** The coordinator of one host: a keeper for every cell, the peers, and the calls of entry hosts. */
import "reflect-metadata";
import { inject, singleton } from "tsyringe";
import type { CellId, HostId, Offset, RunId } from "../model/ids.js";
import { hostOfRun, noOffset } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import type { Clock } from "../model/time.js";
import type { CoordinatorAnswer, KeyedWork } from "../model/work.js";
import { redirect } from "../model/work.js";
import { cellOfShard, findPool, listCells } from "../config/document.js";
import type { FoldedState } from "../platform/fold.js";
import type { Journal } from "../platform/journal.js";
import { LogFollower } from "../platform/logFollower.js";
import type { HostListPort, LogPort } from "../platform/logPort.js";
import { Snapshotter } from "../platform/snapshotter.js";
import { tokens } from "../model/tokens.js";
import { CellKeeper } from "./cellKeeper.js";
import type { ActingCell, CoordinatorApi, HandOver, Ping, PingReply, ViewReply } from "./peerPort.js";
import type { LinkFactory } from "./peers.js";
import { Peers } from "./peers.js";
import type { ServerPort } from "./serverPort.js";

const unreadyRedirectMs = 100;

/** Serves one host's share of the cells. */
@singleton()
export class CoordinatorService implements CoordinatorApi {
    readonly follower: LogFollower;
    readonly peers: Peers;
    private readonly keepers = new Map<CellId, CellKeeper>();
    private readonly snapshotter: Snapshotter;
    private readonly heardFrom = new Map<HostId, { configOffset: Offset; atMs: number }>();
    private leaving = false;

    constructor(
        @inject(tokens.self) private readonly self: RunId,
        @inject(tokens.clock) private readonly clock: Clock,
        @inject(tokens.log) private readonly log: LogPort,
        @inject(tokens.hostList) hostList: HostListPort,
        @inject(tokens.linkFactory) createLink: LinkFactory,
        @inject(tokens.servers) private readonly servers: ServerPort,
        @inject(tokens.journal) private readonly journal: Journal,
        @inject(tokens.random) private readonly random: () => number,
        @inject(tokens.snapshotEveryMs) snapshotEveryMs: number,
        @inject(tokens.guardsOut) private readonly guardsOut: GuardsOut,
    ) {
        this.peers = new Peers(self, hostList, createLink, clock, () => this.follower.state.config?.offset ?? noOffset,
            () => this.watchedRuns());
        this.follower = new LogFollower(log, clock, (above) => this.peers.fetchState(above));
        this.snapshotter = new Snapshotter({
            self, log, clock, journal, everyMs: snapshotEveryMs,
            follower: this.follower,
            liveHosts: () => this.peers.steadyHosts(this.clock.now().monoMs, 0).map((host) => host.hostId),
        });
    }

    /** Starts every task. */
    start(): void {
        void this.peers.run();
        void this.follower.run();
        void this.snapshotter.run();
        void this.followState();
    }

    /** Hands every cell over and ends the tasks; what is in flight is answered first. */
    async leave(): Promise<void> {
        this.leaving = true;
        await Promise.all([...this.keepers.values()].map((keeper) => keeper.leave()));
        this.snapshotter.stop();
        this.follower.stop();
        this.peers.stop();
    }

    /** Why this host cannot coordinate, or undefined when it can. */
    get unreadyBecause(): string | undefined {
        return this.leaving ? "shutting down" : this.follower.unreadyBecause;
    }

    /** True while this host coordinates any cell. */
    get isActing(): boolean {
        return [...this.keepers.values()].some((keeper) => keeper.actingFence !== undefined);
    }

    /** Answers a peer's ping. */
    ping(from: Ping): PingReply {
        const nowMs = this.noteCaller(from);
        const { self: run, leaving } = this;
        return { run, leaving, offset: this.follower.state.offset, acting: this.actingCells(), watched: this.peers.watchedRuns(nowMs) };
    }

    /** Tells an entry host what this coordinator knows of all. */
    view(from: Ping): ViewReply {
        const nowMs = this.noteCaller(from);
        const own = { run: this.self, acting: this.actingCells(), live: true, leaving: this.leaving };
        return { offset: this.follower.state.offset, coordinators: [own, ...this.peers.sights(nowMs)] };
    }

    /** Gives the folded state to a reader that is behind. */
    state({ above }: { above: Offset }): FoldedState | undefined {
        return this.follower.state.offset > above ? this.follower.state : undefined;
    }

    /** Serves keyed work of an entry host. */
    async work(work: KeyedWork): Promise<CoordinatorAnswer> {
        const document = this.follower.state.config?.document;
        const pool = document === undefined ? undefined : findPool(document, work.institution, work.pool);
        if (pool === undefined) {
            return redirect("not-ready", unreadyRedirectMs);
        }
        const keeper = this.keepers.get(cellOfShard(work.institution, work.pool, pool, work.shard));
        return keeper === undefined ? redirect("not-ready", unreadyRedirectMs) : keeper.serve(work);
    }

    /** Takes a cell over from a coordinator that leaves. */
    handOver(handOver: HandOver): boolean {
        return this.keepers.get(handOver.cell)?.acceptHandOver(handOver) ?? false;
    }

    /** Names the host of this process. */
    get host(): HostId {
        return hostOfRun(this.self);
    }

    /** Describes the whole process for a dump. */
    describe(): object {
        const nowMs = this.clock.now().monoMs;
        return {
            run: this.self,
            unready: this.unreadyBecause,
            offset: this.follower.state.offset,
            configOffset: this.follower.state.config?.offset,
            logWell: this.follower.isLogWell,
            // The entry beside this coordinator; it shows up here by its pings.
            entryConfigOffset: this.heardFrom.get(`${this.host}/entry` as HostId)?.configOffset,
            peers: this.peers.describe(nowMs),
            cells: [...this.keepers.values()].map((keeper) => keeper.describe(nowMs)),
        };
    }

    private noteCaller(from: Ping): number {
        const atMs = this.clock.now().monoMs;
        this.heardFrom.set(hostOfRun(from.run), { configOffset: from.configOffset, atMs });
        return atMs;
    }

    private actingCells(): ActingCell[] {
        return [...this.keepers].flatMap(([cell, keeper]) =>
            keeper.actingFence === undefined ? [] : [{ cell, fence: keeper.actingFence }]);
    }

    private watchedRuns(): Set<RunId> {
        return new Set([...this.keepers.values()].flatMap((keeper) => keeper.watchedRuns()));
    }

    private async followState(): Promise<void> {
        while (!this.leaving) {
            this.addKeepers();
            await this.follower.changed.next();
            this.journal.info("config", `The log is read up to offset ${String(this.follower.state.offset)}.`);
        }
    }

    private addKeepers(): void {
        const document = this.follower.state.config?.document;
        for (const { cell } of document === undefined ? [] : listCells(document)) {
            if (!this.keepers.has(cell)) {
                const { self, follower, log, peers, servers, clock, journal, random, guardsOut } = this;
                const keeper = new CellKeeper({ cell, self, follower, log, peers, servers, clock, journal, random, guardsOut });
                this.keepers.set(cell, keeper);
                void keeper.run();
            }
        }
    }
}
