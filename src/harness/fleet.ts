/** Starts the daemons and stand-ins as separate processes on this machine; for the demo, tests and benchmarks only. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { v7 as newOrderedUuid } from "uuid";
import type { HostId, Offset, RecordId } from "../model/ids.js";
import type { ConfigDocument } from "../config/document.js";
import type { ListedHost } from "../platform/logPort.js";
import type { ConfigRecord } from "../platform/records.js";
import { callHttp, callJson } from "../adapters/httpJson.js";
import { createLogHttp } from "../adapters/logHttp.js";
import { createSystemClock } from "../adapters/systemClock.js";
import type { SampleTargets } from "./sampleConfig.js";
import { freeAddress, loopback } from "./ports.js";
import type { Relay } from "./relay.js";
import { startRelay } from "./relay.js";
import { dataCentreOf, sampleConfig } from "./sampleConfig.js";

const distFolder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../../dist");
const readyTimeoutMs = 60_000;
const pollMs = 50;
const readinessPollMs = 100;
const horizonPassedMs = 300;
const recordFileName = "orders.txt";
const sharedKey = "only-for-this-machine-0123456789";
const clock = createSystemClock();

/** Numbers of processes, and behaviour of the stand-ins. */
export interface FleetOptions {
    hosts: number;
    status: number;
    archive: number;
    numbering: number;
    gazetteer: number;
    serviceMs: number;
    /** Records that the log keeps. */
    keepRecords: number;
    snapshotEveryMs: number;
    /** Changes the sample configuration before it is published. */
    adjust?: (document: ConfigDocument) => ConfigDocument;
    /** Puts a relay in front of every keyed server, whose connections a test can make silent. */
    relayed?: boolean;
    /** Flags added to every unkeyed target. */
    targetFlags?: string[];
    /** Flags added to every keyed server. */
    serverFlags?: string[];
}

/** Sizes that the first users run today, less the unkeyed targets. */
export const todaysSizes: FleetOptions = {
    hosts: 8, status: 15, archive: 4, numbering: 15, gazetteer: 4,
    serviceMs: 3, keepRecords: 100_000, snapshotEveryMs: 60_000,
};

/** One process of the fleet. */
export interface FleetProcess {
    name: string;
    address: string;
    child: ChildProcess;
    program: string;
    args: string[];
}

/** The processes and what is needed to reach them. */
export class Fleet {
    readonly processes = new Map<string, FleetProcess>();
    readonly hosts: ListedHost[] = [];
    readonly entryUrls: string[] = [];
    /** Entry hosts that were ready when last asked, as the platform's balancer knows them. */
    readyEntryUrls: string[] = [];
    readonly relays = new Map<string, Relay>();
    document: ConfigDocument | undefined;
    private readonly onExit = () => {
        this.killAll();
    };
    private readonly folder = mkdtempSync(path.join(tmpdir(), "hornbeam-"));

    /** @param options numbers and behaviour */
    constructor(readonly options: FleetOptions) {
        // Whatever ends this program ends the fleet too.
        process.on("exit", this.onExit);
    }

    get logUrl(): string {
        return `http://${this.addressOf("log")}`;
    }

    get hostListUrl(): string {
        return `http://${this.addressOf("hosts")}`;
    }

    /** Starts everything, publishes the configuration and waits until each daemon is ready and each cell is served. */
    async start(): Promise<void> {
        await this.startPlatform();
        const targets = await this.withRelays(await this.startTargets());
        await this.startDaemons();
        const document = sampleConfig(targets);
        await this.publish(this.options.adjust?.(document) ?? document);
        await this.whenReady();
        await this.whenServed();
        // Order ids from before the first grants are answered `unknown`.
        await clock.sleep(horizonPassedMs);
    }

    /**
     * Publishes a configuration.
     * @param document the document
     * @param basedOn offset of the configuration that it replaces
     * @returns the new offset
     */
    async publish(document: ConfigDocument, basedOn = 0): Promise<Offset> {
        this.document = document;
        const record: ConfigRecord = {
            kind: "config", document,
            recordId: newOrderedUuid() as RecordId,
            basedOn: basedOn as Offset,
            author: "harness", reason: "set up by the harness",
            publishedWallMs: clock.now().wallMs,
        };
        const appended = await createLogHttp(this.logUrl, "harness").append(record);
        return appended._unsafeUnwrap();
    }

    /**
     * Sends a signal to a process.
     * @param name name of the process
     * @param signal the signal
     */
    signal(name: string, signal: NodeJS.Signals): void {
        this.processes.get(name)?.child.kill(signal);
    }

    /**
     * Starts a process again under its old name and address.
     * @param name name of the process
     */
    async restart(name: string): Promise<void> {
        const old = this.processes.get(name);
        if (old === undefined) {
            throw new Error(`${name} is not part of the fleet`);
        }
        await this.whenEnded(name);
        this.spawn(name, old.program, old.address, old.args);
    }

    /**
     * Waits until a process has ended.
     * @param name name of the process
     * @returns its exit code
     */
    async whenEnded(name: string): Promise<number | undefined> {
        const child = this.processes.get(name)?.child;
        while (child?.exitCode === null && child.signalCode === null) { // eslint-disable-line no-restricted-syntax
            await clock.sleep(pollMs);
        }
        return child?.exitCode ?? undefined;
    }

    /**
     * Sets faults of a stand-in.
     * @param name name of the process
     * @param fault what to change
     */
    async fault(name: string, fault: object): Promise<void> {
        const set = await callJson({ ...this.callOf(name, "/fault"), method: "POST", payload: fault });
        set._unsafeUnwrap();
    }

    /**
     * Reads a JSON page of a process.
     * @param name name of the process
     * @param page such as `/record`
     * @returns the page, or undefined when it cannot be had
     */
    async page<T>(name: string, page: string): Promise<T | undefined> {
        const answer = await callJson<T>({ ...this.callOf(name, page), method: "GET" });
        return answer.isOk() ? answer.value : undefined;
    }

    /**
     * Reads the dump of a daemon.
     * @param name name of the process
     * @returns the dump, or undefined when it cannot be had
     */
    async dump<T>(name: string): Promise<T | undefined> {
        const address = this.processes.get(name)?.args.find((arg) => arg.startsWith("--admin-address="))?.split("=")[1] ?? "";
        const answer = await callJson<T>({ ...this.callOf(name, ""), url: `http://${address}/dump`, method: "GET" });
        return answer.isOk() ? answer.value : undefined;
    }

    /** Waits until every shard of every cell has a serving owner. */
    async whenServed(timeoutMs = readyTimeoutMs): Promise<void> {
        await this.until("every shard served", timeoutMs, async () => (await this.unservedCells()).length === 0);
    }

    /**
     * Asks the entry hosts again and again whether they are ready, as the platform's balancer does.
     * @param watching ends the asking when `done` is set
     */
    async watchReadiness(watching: { done: boolean }): Promise<void> {
        this.readyEntryUrls = [...this.entryUrls];
        while (!watching.done) {
            const ready = await Promise.all(this.hosts.map(async ({ hostId }) => {
                const dump = await this.dump<{ unready?: string }>(`entry-${hostId}`);
                return dump !== undefined && dump.unready === undefined;
            }));
            const urls = this.entryUrls.filter((_url, index) => ready[index]);
            this.readyEntryUrls = urls.length > 0 ? urls : [...this.entryUrls];
            await clock.sleep(readinessPollMs);
        }
    }

    /**
     * Counts how often each order began, on all servers together, those that were killed included.
     * @returns runs by order id
     */
    runsByOrderId(): Map<string, number> {
        const runs = new Map<string, number>();
        const file = path.join(this.folder, recordFileName);
        for (const orderId of existsSync(file) ? readFileSync(file, "utf8").split("\n") : []) {
            if (orderId !== "") {
                runs.set(orderId, (runs.get(orderId) ?? 0) + 1);
            }
        }
        return runs;
    }

    /** Ends every process and waits for it. */
    async stop(): Promise<void> {
        this.killAll();
        for (const name of this.processes.keys()) {
            await this.whenEnded(name);
        }
        process.off("exit", this.onExit);
        for (const relay of this.relays.values()) {
            relay.stop();
        }
        rmSync(this.folder, { recursive: true, force: true });
    }

    /**
     * Waits for something.
     * @param what names it in the error
     * @param timeoutMs when to give up
     * @param check tells whether it has come
     */
    async until(what: string, timeoutMs: number, check: () => Promise<boolean>): Promise<void> {
        const untilMs = clock.now().monoMs + timeoutMs;
        while (!await check()) {
            if (clock.now().monoMs > untilMs) {
                throw new Error(`${what}: not within ${String(timeoutMs)} ms; logs are in ${this.folder}`);
            }
            await clock.sleep(pollMs);
        }
    }

    private async unservedCells(): Promise<string[]> {
        const dumps = await Promise.all(this.hosts.map((host) => this.dump<CoordinatorDump>(`coordinator-${host.hostId}`)));
        const served = new Set(dumps.flatMap((dump) => dump?.cells ?? [])
            .filter((cell) => cell.grants !== undefined && cell.grants.shards.every((shard) => shard.serving))
            .map((cell) => cell.cell));
        const all = new Set(dumps.flatMap((dump) => dump?.cells ?? []).map((cell) => cell.cell));
        return all.size === 0 ? ["none known"] : [...all].filter((cell) => !served.has(cell));
    }

    private async startPlatform(): Promise<void> {
        for (let index = 0; index < this.options.hosts; index += 1) {
            this.hosts.push({
                hostId: `host-${String(index + 1)}` as HostId,
                dataCentre: dataCentreOf(index),
                coordinatorAddress: await freeAddress(),
                adminAddress: await freeAddress(),
                state: "live",
            });
        }
        const hostsFile = path.join(this.folder, "hosts.json");
        writeFileSync(hostsFile, JSON.stringify(this.hosts));
        this.spawn("log", "hornbeam-standin.js", await freeAddress(), ["log", `--keep-records=${String(this.options.keepRecords)}`]);
        this.spawn("hosts", "hornbeam-standin.js", await freeAddress(), ["hosts", `--hosts-file=${hostsFile}`]);
        await this.whenListening(["log", "hosts"]);
    }

    private async startTargets(): Promise<SampleTargets> {
        const serviceMs = `--service-ms=${String(this.options.serviceMs)}`;
        const flags = this.options.serverFlags ?? [];
        const targets = {
            status: await this.startMany("status", this.options.status, ["server", "--slots=3", serviceMs, ...flags]),
            archive: await this.startMany("archive", this.options.archive, ["target", "--slots=3", serviceMs, ...this.options.targetFlags ?? []]),
            numbering: await this.startMany("numbering", this.options.numbering, ["server", "--slots=2", serviceMs, ...flags]),
            gazetteer: await this.startMany("gazetteer", this.options.gazetteer, ["target", "--slots=2", serviceMs, ...this.options.targetFlags ?? []]),
        };
        await this.whenListening([...this.processes.keys()]);
        return targets;
    }

    private async withRelays(targets: SampleTargets): Promise<SampleTargets> {
        if (this.options.relayed !== true) {
            return targets;
        }
        const behind = async (addresses: string[], name: string) => Promise.all(addresses.map(async (address, index) => {
            const relay = await startRelay(address);
            this.relays.set(`${name}-${String(index + 1)}`, relay);
            return relay.address;
        }));
        return { ...targets, status: await behind(targets.status, "status"), numbering: await behind(targets.numbering, "numbering") };
    }

    private async startMany(name: string, count: number, args: string[]): Promise<string[]> {
        const addresses: string[] = [];
        for (let index = 0; index < count; index += 1) {
            const address = await freeAddress();
            addresses.push(address);
            const recordFile = args[0] === "server" ? [`--record-file=${path.join(this.folder, recordFileName)}`] : [];
            this.spawn(`${name}-${String(index + 1)}`, "hornbeam-standin.js", address, [...args, ...recordFile]);
        }
        return addresses;
    }

    private async startDaemons(): Promise<void> {
        for (const host of this.hosts) {
            const common = [
                `--host=${host.hostId}`, `--data-centre=${host.dataCentre}`, `--shared-key=${sharedKey}`,
                `--log-url=${this.logUrl}`, `--host-list-url=${this.hostListUrl}`, `--connection-shares=${String(this.options.hosts)}`,
            ];
            this.spawn(`coordinator-${host.hostId}`, "hornbeam-coordinator.js", host.coordinatorAddress, [
                ...common, `--listen-address=${host.coordinatorAddress}`, `--admin-address=${host.adminAddress}`,
                `--snapshot-every-ms=${String(this.options.snapshotEveryMs)}`, `--known-addresses=${loopback}`,
            ]);
            const entryAddress = await freeAddress();
            this.entryUrls.push(`http://${entryAddress}`);
            this.spawn(`entry-${host.hostId}`, "hornbeam-entry.js", entryAddress, [
                ...common, `--listen-address=${entryAddress}`, `--admin-address=${await freeAddress()}`,
            ]);
        }
    }

    private async whenReady(): Promise<void> {
        const daemons = [...this.processes.keys()].filter((name) => name.startsWith("coordinator-") || name.startsWith("entry-"));
        await this.until("every daemon ready", readyTimeoutMs, async () => {
            const dumps = await Promise.all(daemons.map((name) => this.dump<{ unready?: string }>(name)));
            return dumps.every((dump) => dump !== undefined && dump.unready === undefined);
        });
    }

    private async whenListening(names: string[]): Promise<void> {
        await this.until(`listening: ${names.join(", ")}`, readyTimeoutMs, async () => {
            const answers = await Promise.all(names.map((name) => callHttp({ ...this.callOf(name, "/"), method: "GET" })));
            return answers.every((answer) => answer.isOk());
        });
    }

    private spawn(name: string, program: string, address: string, args: string[]): void {
        const output = openSync(path.join(this.folder, `${name}.log`), "a");
        const extra = program === "hornbeam-standin.js" ? [`--address=${address}`] : [];
        const child = spawn(process.execPath, [path.join(distFolder, "bin", program), ...args, ...extra], {
            stdio: ["ignore", output, output],
        });
        this.processes.set(name, { name, address, child, program, args });
    }

    private killAll(): void {
        for (const { child } of this.processes.values()) {
            child.kill("SIGKILL");
        }
    }

    private addressOf(name: string): string {
        return this.processes.get(name)?.address ?? "";
    }

    private callOf(name: string, page: string) {
        return {
            url: `http://${this.addressOf(name)}${page}`, peer: name, step: "peer-call" as const,
            timeoutMs: 2_000, maxAnswerBytes: 50_000_000,
        };
    }
}

/** Parts of a coordinator's dump that the harness reads. */
export interface CoordinatorDump {
    run: string;
    configOffset?: number;
    offset: number;
    cells: {
        cell: string;
        acting: boolean;
        grants?: { fence: number; shards: { shard: number; owner?: string; serving: boolean }[] };
    }[];
}
