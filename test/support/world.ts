/**
 * The real decision code of several hosts over fakes at its ports, on one virtual clock: coordinators, entry routers,
 * servers that hold leases, a log, a host list and a network. The oracle looks at it after every step.
 */
import "reflect-metadata";
import { createHash } from "node:crypto";
import { err, ok } from "neverthrow";
import { v7 as newOrderedUuid } from "uuid";
import type { CellId, HostId, Offset, OrderId, RecordId, Shard, TargetId } from "../../src/model/ids.js";
import { runIdOf } from "../../src/model/ids.js";
import type { Step } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import { shardOf } from "../../src/model/keyHash.js";
import type { ConfigDocument } from "../../src/config/document.js";
import { sampleConfig } from "../../src/harness/sampleConfig.js";
import type { CoordinatorApi, RpcLink } from "../../src/coordinator/peerPort.js";
import { CoordinatorService } from "../../src/coordinator/service.js";
import type { ServerAnswer, ServerPort } from "../../src/coordinator/serverPort.js";
import { stepOfWork } from "../../src/coordinator/serverPort.js";
import type { BadRequest } from "../../src/entry/service.js";
import { EntryService } from "../../src/entry/service.js";
import type { HostListPort, ListedHost, LogPort } from "../../src/platform/logPort.js";
import type { Verdict } from "../../src/platform/fold.js";
import { LogFollower } from "../../src/platform/logFollower.js";
import { publish } from "../../src/platform/publisher.js";
import type { ConfigRecord, LogRecord, StoredRecord } from "../../src/platform/records.js";
import type { Journal } from "../../src/platform/journal.js";
import type { Outcome } from "../../src/model/work.js";
import { KeyedServer } from "../../src/standins/keyedServer.js";
import type { GuardsOut } from "../../src/model/guards.js";
import { noGuardsOut } from "../../src/model/guards.js";
import { Network } from "./network.js";
import { Random } from "./random.js";
import { VirtualClock, VirtualProcess } from "./virtualTime.js";

const pool = "status";
const institution = "hladvarmi";
export const cell = `${institution}/${pool}/cell-1` as CellId;
const logCallMs = 200;

/** Moments at which a fault can strike, before or after the step takes effect. */
export type WorldStep =
    | "claim" | "grant" | "renew" | "move" | "order sent" | "order answered" | "hand-over" | "publish" | "snapshot" | "drain" | "shutdown";

export interface WorldOptions {
    seed: number;
    hosts: number;
    fenceChecked: boolean;
    /** Largest offset between two clocks. */
    skewMs: number;
    /** Largest difference in speed between two monotonic clocks. */
    drift: number;
    guardsOut: GuardsOut;
    keepRecords: number;
    snapshotEveryMs: number;
    adjust: (document: ConfigDocument) => void;
    trace?: boolean;
}

export const usualWorld: WorldOptions = {
    seed: 1, hosts: 3, fenceChecked: true, skewMs: 20, drift: 0.001, guardsOut: noGuardsOut, keepRecords: 1_000, snapshotEveryMs: 60_000,
    adjust: () => undefined,
};

interface HostState {
    host: string;
    process: VirtualProcess;
    coordinator: CoordinatorService;
    entry: EntryService;
}

interface ServerState {
    process: VirtualProcess;
    server: KeyedServer;
    runs: Map<string, number>;
}

/** One world. */
export class World {
    readonly clock = new VirtualClock();
    readonly random: Random;
    readonly network: Network;
    readonly hosts: HostState[] = [];
    readonly servers = new Map<TargetId, ServerState>();
    readonly violations: string[] = [];
    readonly log = { records: [] as StoredRecord[], next: 1, down: false, slowMs: 0, loseAnswers: 0 };
    listed: ListedHost[] = [];
    /** Hosts that the balancer sends nothing to. */
    readonly unready = new Set<string>();
    /** Called around each step's first moments; faults hang here. */
    onStep: (step: WorldStep, phase: "before" | "after", who: { host?: string; server?: TargetId }) => void = () => undefined;
    /** Server answers that will be replaced by the one before. */
    crossAnswers = 0;
    private lastAnswer: ServerAnswer | undefined;
    private runCount = 0;

    constructor(readonly options: WorldOptions) {
        this.random = new Random(options.seed);
        this.network = new Network(this.clock, this.random);
        for (let index = 1; index <= 5; index += 1) {
            this.addServer(`status-${String(index)}` as TargetId);
        }
        for (let index = 1; index <= options.hosts; index += 1) {
            const hostId = `host-${String(index)}` as HostId;
            this.listed.push({ hostId, dataCentre: `dc-${String(index)}`, coordinatorAddress: hostId, adminAddress: hostId, state: "live" });
            this.hosts.push(this.createHost(hostId));
        }
    }

    /** Publishes the configuration and runs until the cell is served. */
    async start(): Promise<void> {
        this.publish(this.document());
        for (const host of this.hosts) {
            this.startHost(host);
        }
        await this.advance(5_000);
    }

    /** Drops every record that some host has read; one that nobody has read is younger than any retention. */
    passRetention(): void {
        const read = Math.max(...this.hosts.map((host) => host.coordinator.follower.state.offset));
        this.log.records = this.log.records.filter((record) => record.offset > read);
    }

    /** Drops the records that a whole snapshot on the log contains. */
    passRetentionBehindSnapshot(): void {
        const snapshots = this.log.records.flatMap(({ payload }) => {
            const record = payload as LogRecord;
            return record.kind === "snapshot" && record.chunk === record.chunks - 1 ? [record.upTo] : [];
        });
        const upTo = Math.max(0, ...snapshots);
        this.log.records = this.log.records.filter((record) => record.offset > upTo);
    }

    async advance(durationMs: number): Promise<void> {
        await this.clock.advance(durationMs, () => {
            this.checkOwnership();
        });
    }

    document(): ConfigDocument {
        const addresses = [1, 2, 3, 4, 5].map((index) => `10.0.0.${String(index)}:7000`);
        const document = sampleConfig({ status: addresses, archive: ["10.0.1.1:1"], numbering: addresses, gazetteer: ["10.0.1.2:1"] }, 6);
        delete document.institutions["malanad"];
        document.exceptions = [];
        (document.institutions[institution]?.pools[pool] ?? { fenceChecked: true }).fenceChecked = this.options.fenceChecked;
        this.options.adjust(document);
        return document;
    }

    /** Appends a configuration to the log. */
    publish(document: ConfigDocument, basedOn = 0): void {
        const record: ConfigRecord = {
            kind: "config", document, recordId: newOrderedUuid() as RecordId, basedOn: basedOn as Offset,
            author: "test", reason: "test", publishedWallMs: 0,
        };
        this.store(record);
    }

    get configOffset(): number {
        return Math.max(0, ...this.hosts.map((host) => host.coordinator.follower.state.config?.offset ?? 0));
    }

    /** Host that acts for the cell, by its own account. */
    acting(): HostState | undefined {
        return this.hosts.find((host) => !host.process.dead && host.coordinator.isActing);
    }

    ownersOf(shard: Shard): TargetId[] {
        return [...this.servers].filter(([, state]) =>
            !state.process.dead && state.server.lease.owns(shard, state.process.clock.now().monoMs)).map(([id]) => id);
    }

    shardOfKey(key: string): Shard {
        return shardOf(key, 6);
    }

    runsOf(orderId: string): number {
        return [...this.servers.values()].reduce((sum, state) =>
            sum + (state.runs.get(orderId) ?? 0) + (state.server.record.runsByOrderId[orderId] ?? 0), 0);
    }

    /** Gives an order through a host; its id is created at a wall time. */
    order(host: HostState, key: string, orderId: string, deadlineMs = 2_500): Promise<Outcome | BadRequest> {
        return host.entry.serveKeyed({
            institution, pool, key, kind: "order", orderId, body: orderId,
            deadlineWallMs: host.process.clock.now().wallMs + deadlineMs,
        });
    }

    read(host: HostState, key: string, deadlineMs = 1_000): Promise<Outcome | BadRequest> {
        return host.entry.serveKeyed({
            institution, pool, key, kind: "read", body: "", deadlineWallMs: host.process.clock.now().wallMs + deadlineMs,
        });
    }

    newOrderId(): OrderId {
        this.runCount += 1;
        const random = createHash("sha256").update(`${String(this.options.seed)}/${String(this.runCount)}`).digest();
        return newOrderedUuid({ msecs: Math.floor(this.clock.now().wallMs), random: random.subarray(0, 16) }) as OrderId;
    }

    killHost(state: HostState): void {
        state.process.kill();
    }

    /** A host comes back with nothing in memory, as a new run. */
    restartHost(state: HostState): void {
        state.process.kill();
        const index = this.hosts.indexOf(state);
        const fresh = this.createHost(state.host as HostId);
        this.hosts[index] = fresh;
        this.startHost(fresh);
    }

    killServer(id: TargetId): void {
        this.serverOf(id).process.kill();
    }

    /** A server comes back without leases; its own record is durable. */
    restartServer(id: TargetId): void {
        const old = this.serverOf(id);
        old.process.kill();
        this.addServer(id, this.mergedRuns(old));
    }

    serverOf(id: TargetId): ServerState {
        return this.servers.get(id) as ServerState;
    }

    /** Publishes as an operator does: through the log, looking up what became of it. */
    async publishAsOperator(document: ConfigDocument): Promise<Verdict | undefined> {
        const operator = this.createProcess();
        const log = this.logOf("operator", operator);
        const follower = new LogFollower(log, operator.clock, () => Promise.resolve(undefined));
        void follower.run();
        await this.clock.sleep(200);
        const record: ConfigRecord = {
            kind: "config", document, recordId: newOrderedUuid() as RecordId,
            basedOn: follower.state.config?.offset ?? 0 as Offset, author: "operator", reason: "a change for a test", publishedWallMs: 0,
        };
        const verdict = await publish(record, log, follower, operator.clock, 3_000);
        follower.stop();
        return verdict.unwrapOr(undefined as never) as Verdict | undefined;
    }

    private mergedRuns(state: ServerState): Map<string, number> {
        const runs = new Map(state.runs);
        for (const [orderId, count] of Object.entries(state.server.record.runsByOrderId)) {
            runs.set(orderId, (runs.get(orderId) ?? 0) + count);
        }
        return runs;
    }

    private checkOwnership(): void {
        for (let shard = 0; shard < 6; shard += 1) {
            const owners = this.ownersOf(shard as Shard);
            if (owners.length > 1) {
                this.violations.push(`shard ${String(shard)} owned by ${owners.join(" and ")} at ${String(this.clock.now().monoMs)}`);
            }
        }
    }

    addServer(id: TargetId, runs = new Map<string, number>()): void {
        const process = this.createProcess();
        const server = new KeyedServer({
            slots: 3, serviceMs: 3, fenceChecked: this.options.fenceChecked, maxQueued: 100, coldFactor: 1, coldRequests: 0,
            clock: process.clock,
        }, this.options.guardsOut);
        this.servers.set(id, { process, server, runs });
        this.network.processes.set(id, process);
    }

    private createProcess(): VirtualProcess {
        const { skewMs, drift } = this.options;
        return new VirtualProcess(this.clock, {
            monoMs: this.random.upTo(100_000),
            wallMs: this.random.upTo(skewMs),
            rate: 1 + drift * this.random.unit(),
        });
    }

    private createHost(hostId: HostId): HostState {
        this.runCount += 1;
        const process = this.createProcess();
        this.network.processes.set(hostId, process);
        const { clock } = process;
        const log = this.logOf(hostId, process);
        const list: HostListPort = { list: () => Promise.resolve(ok(this.listed)) };
        const journal = this.journalOf(hostId);
        const createLink = (address: string) => this.link(hostId, address);
        const run = String(this.runCount);
        const random = () => this.random.unit();
        const coordinator = new CoordinatorService(
            runIdOf(hostId, run), clock, log, list, createLink, this.serverPort(hostId),
            journal, random, this.options.snapshotEveryMs, this.options.guardsOut);
        const targets = { call: () => Promise.resolve(err(failure("unreachable", "bulk", "none", "no targets here"))) };
        const entry = new EntryService(
            runIdOf(`${hostId}/entry` as HostId, run), clock, log, list, createLink, targets, journal, random);
        return { host: hostId, process, coordinator, entry };
    }

    /** Writes the log lines of a host, with the virtual time, when a run is traced. */
    private journalOf(host: string): Journal {
        const write = (prefix: string, sentence: string) => {
            if (this.options.trace === true) {
                process.stdout.write(`${this.clock.now().monoMs.toFixed(0)} ${host} ${prefix}: ${sentence}\n`);
            }
        };
        return { info: write, warn: write, count: () => undefined, timing: () => undefined };
    }

    startHost(host: HostState): void {
        host.coordinator.start();
        host.entry.start();
    }

    private link(from: string, to: string): RpcLink {
        return {
            call: (method, params, timeoutMs) => this.network.call({
                from, to, timeoutMs, step: "peer-call",
                serve: async () => {
                    const target = this.hosts.find((host) => host.host === to)?.coordinator as CoordinatorApi;
                    if (method !== "handOver") {
                        const handle = target[method as keyof CoordinatorApi] as (p: object) => unknown;
                        return await handle.call(target, structuredClone(params)) as never;
                    }
                    this.onStep("hand-over", "before", { host: to });
                    const taken = target.handOver(structuredClone(params) as never);
                    this.onStep("hand-over", "after", { host: to });
                    return taken as never;
                },
            }),
            close: () => undefined,
        };
    }

    private serverPort(host: string): ServerPort {
        type Serve<T> = (server: KeyedServer) => T | Promise<T>;
        const call = <T>(server: TargetId, step: Step, timeoutMs: number, serve: Serve<T>, fresh = false) =>
            this.network.call<T>({ from: host, to: server, step, timeoutMs, fresh, serve: () => serve(this.serverOf(server).server) });
        return {
            heartbeat: (server, request, timeoutMs) => {
                const steps: WorldStep[] = [];
                if (request.grant.length > 0) {
                    steps.push("grant");
                }
                if (request.renew.length > 0) {
                    steps.push("renew");
                }
                if (request.release.length > 0) {
                    steps.push("move");
                }
                const sent = structuredClone(request);
                return call(server, "heartbeat", timeoutMs, (to) => {
                    steps.forEach((step) => {
                        this.onStep(step, "before", { host, server });
                    });
                    const reply = to.heartbeat(sent);
                    steps.forEach((step) => {
                        this.onStep(step, "after", { host, server });
                    });
                    return reply;
                });
            },
            send: (server, work, timeoutMs) => {
                const sent = structuredClone(work);
                const answered = call(server, stepOfWork[work.kind], timeoutMs, async (to) => {
                    if (work.kind === "order") {
                        this.onStep("order sent", "before", { host, server });
                    }
                    const answered = to.work(sent);
                    if (work.kind === "order") {
                        this.onStep("order sent", "after", { host, server });
                    }
                    const answer = await answered;
                    if (work.kind === "order") {
                        this.onStep("order answered", "before", { host, server });
                    }
                    return this.perhapsCross(answer);
                });
                return work.kind === "read" ? answered : answered.then((answer) => {
                    this.onStep("order answered", "after", { host, server });
                    return answer;
                });
            },
            cancel: (server, requestId, timeoutMs) => call(server, "order-cancel", timeoutMs, (to) => to.cancel(requestId), true),
            dropIdle: (server) => {
                this.network.dropIdle(host, server);
            },
            digestOf: (body) => createHash("sha256").update(body).digest("hex"),
        };
    }

    private perhapsCross(answer: ServerAnswer): ServerAnswer {
        const before = this.lastAnswer;
        this.lastAnswer = answer;
        if (this.crossAnswers === 0 || before === undefined) {
            return answer;
        }
        this.crossAnswers -= 1;
        return before;
    }

    private store(payload: LogRecord): Offset {
        const offset = this.log.next as Offset;
        this.log.records.push({ offset, payload: structuredClone(payload) });
        this.log.records = this.log.records.slice(-this.options.keepRecords);
        this.log.next += 1;
        return offset;
    }

    private logOf(host: string, process: VirtualProcess): LogPort {
        const reach = async (): Promise<boolean> => {
            await this.clock.sleep(1 + this.log.slowMs);
            await process.pass();
            return !this.log.down && !this.network.cuts.has(`${host}>log`);
        };
        const stepOf: Partial<Record<LogRecord["kind"], WorldStep>> = { term: "claim", config: "publish", snapshot: "snapshot" };
        return {
            append: async (payload) => {
                const record = payload as LogRecord;
                const step = stepOf[record.kind];
                if (step !== undefined) {
                    this.onStep(step, "before", { host });
                }
                if (!await reach()) {
                    return err(failure("unreachable", "log-append", "log", "down"));
                }
                const offset = this.store(record);
                if (step !== undefined) {
                    this.onStep(step, "after", { host });
                }
                if (this.log.loseAnswers > 0) {
                    this.log.loseAnswers -= 1;
                    await this.clock.sleep(logCallMs);
                    return err(failure("lost", "log-append", "log", "no answer in time"));
                }
                await process.pass();
                return ok(offset);
            },
            read: async (from, waitMs) => {
                if (!await reach()) {
                    await this.clock.sleep(logCallMs);
                    return err(failure("unreachable", "log-read", "log", "down"));
                }
                const untilMs = this.clock.now().monoMs + waitMs;
                while (this.log.next <= from && this.clock.now().monoMs < untilMs) {
                    await this.clock.sleep(20);
                }
                await process.pass();
                return ok({
                    records: structuredClone(this.log.records.filter((record) => record.offset >= from)),
                    firstOffset: (this.log.records[0]?.offset ?? this.log.next) as Offset,
                    nextOffset: this.log.next as Offset,
                });
            },
        };
    }
}
