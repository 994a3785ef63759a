/** Hosts on virtual time: each runs the real node over a virtual network, store and leases. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { AdmissionServer } from "../../src/admission/admissionServer.js";
import { Membership } from "../../src/cluster/membership.js";
import type { ClusterNode } from "../../src/cluster/node.js";
import { createNode } from "../../src/cluster/node.js";
import type { PeerConnection, PeerHandlers } from "../../src/cluster/peerConnection.js";
import type { PeerLinks } from "../../src/cluster/peerLinks.js";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, HostId, RunId } from "../../src/model/names.js";
import type { Log } from "../../src/observe/log.js";
import { LoadMeter } from "../../src/ownership/loadMeter.js";
import { OwnerLookup } from "../../src/ownership/ownerLookup.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { RecordDecoders } from "../../src/store/recordDecoders.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { VirtualClock, VirtualProcess } from "../support/virtualTime.js";
import type { VirtualStore } from "./virtualStore.js";
import type { VirtualTargets } from "./virtualTargets.js";

const wayMs = 1;
const connectTimeoutMs = 300;

/** One run of a host's process. */
export interface HostRun {
    process: VirtualProcess;
    node: ClusterNode;
    view: ClusterView;
    loads: LoadMeter;
    membership: Membership;
    handlers: PeerHandlers;
    stop: AbortController;
    connections: Set<VirtualConnection>;
}

/** Both ends of a connection between two runs. */
class VirtualConnection {
    open = true;
    private end: () => void = () => undefined;
    readonly closed = new Promise<void>((resolve) => {
        this.end = resolve;
    });

    close(): void {
        this.open = false;
        this.end();
    }
}

/** Entries are decoded as they were put. */
const decoders: RecordDecoders = {
    configuration: (_key, value) => ok(JSON.parse(value.toString()) as never),
    target: (_key, value) => ok(JSON.parse(value.toString()) as never),
};

/** All hosts. */
export class VirtualHosts {
    /** Pairs of hosts between which nothing passes. */
    readonly cuts = new Set<string>();
    readonly runs = new Map<HostId, HostRun>();
    readonly lines: string[] = [];
    private starts = 0;

    /**
     * @param clock the time line
     * @param store the store
     * @param targets the targets
     */
    constructor(private readonly clock: VirtualClock, private readonly store: VirtualStore, private readonly targets: VirtualTargets) {}

    /** Starts a host's process. */
    start(hostId: HostId, wallOffsetMs = 0): void {
        this.starts += 1;
        const process = new VirtualProcess(this.clock, { monoMs: this.starts * 10_000, wallMs: wallOffsetMs, rate: 1 });
        const view = new ClusterView();
        const owners = new OwnerLookup(view, 1_300);
        const self = {
            hostId, runId: `run-${String(this.starts)}` as RunId, peerAddress: addressOf(hostId),
            dataCentreId: "here" as DataCentreId, cpuShare: 1,
        };
        const log = this.logOf(hostId);
        const store = this.store.portFor(hostId, process);
        const loads = new LoadMeter();
        const membership = new Membership(self);
        const run: HostRun = {
            process, view, loads, membership, handlers: {}, stop: new AbortController(), connections: new Set(),
            node: undefined as unknown as ClusterNode,
        };
        const reader = createTopicReader({ store, decoders, view, clock: process.clock, log });
        run.node = createNode({
            self, view, store, reader, owners, loads, log,
            maxHoldMs: 10_000,
            membership,
            links: this.linksFor(hostId, run),
            leases: this.targets.portFor(hostId, process),
            queues: { pressures: () => [] } as unknown as AdmissionServer,
            clock: process.clock,
            onMove: () => undefined,
        });
        run.handlers = run.node.handlers();
        this.runs.set(hostId, run);
        void run.node.run(run.stop.signal);
    }

    /** Ends a host's process at once. */
    kill(hostId: HostId): void {
        const run = this.runs.get(hostId);
        if (run !== undefined) {
            run.process.kill();
            run.stop.abort();
            run.connections.forEach((connection) => {
                connection.close();
            });
            this.runs.delete(hostId);
        }
    }

    /** The host that coordinates, if any thinks so. */
    coordinators(): HostId[] {
        return [...this.runs].filter(([, { node }]) => node.isCoordinating()).map(([hostId]) => hostId);
    }

    private logOf(hostId: HostId): Log {
        const line = (event: string, fields: object = {}) => {
            this.lines.push(`${this.clock.now().monoMs.toFixed(0)} ${hostId} ${event} ${JSON.stringify(fields)}`);
        };
        return { info: line, warn: line, error: line };
    }

    private isCut(from: HostId, to: HostId): boolean {
        return this.cuts.has(`${from}>${to}`);
    }

    private linksFor(hostId: HostId, run: HostRun): PeerLinks {
        const open = new Map<Address, PeerConnection>();
        const connect = async (address: Address): Promise<Result<PeerConnection, Failure>> => {
            const known = open.get(address);
            if (known?.isOpen === true) {
                return ok(known);
            }
            const peerId = hostOf(address);
            await this.clock.sleep(wayMs);
            const peer = this.runs.get(peerId);
            if (this.isCut(hostId, peerId)) {
                await this.clock.sleep(connectTimeoutMs);
            }
            await run.process.pass();
            if (peer === undefined || this.isCut(hostId, peerId)) {
                return err(failure("unreachable", "connect", address, peer === undefined ? "refused" : "timed out"));
            }
            const [mine] = this.connectRuns(hostId, run, peerId, peer);
            open.set(address, mine);
            return ok(mine);
        };
        return {
            connect,
            call: async (address, method, params, timeoutMs) => {
                const connection = await connect(address);
                return connection.isErr() ? err(connection.error) : connection.value.call(method, params, timeoutMs);
            },
            notify: (address, method, params) => {
                open.get(address)?.notify(method, params);
            },
            close: () => undefined,
        };
    }

    private connectRuns(fromId: HostId, from: HostRun, toId: HostId, to: HostRun): [PeerConnection, PeerConnection] {
        const link = new VirtualConnection();
        from.connections.add(link);
        to.connections.add(link);
        const ends: PeerConnection[] = [];
        const endFor = (ownId: HostId, own: HostRun, peerId: HostId, peer: HostRun, peerIndex: number): PeerConnection => {
            let lastHeardMs = own.process.clock.now().monoMs;
            const deliver = async (method: string, params: object): Promise<unknown> => {
                await this.clock.sleep(wayMs);
                if (!link.open || this.isCut(ownId, peerId)) {
                    return new Promise(() => undefined);
                }
                await peer.process.pass();
                (ends[peerIndex] as PeerConnection & { heard: () => void }).heard();
                const handle = peer.handlers[method];
                const result: unknown = method === "probe" ? true : await handle?.(structuredClone(params) as never, ends[peerIndex] as PeerConnection);
                return structuredClone(result);
            };
            return {
                address: addressOf(peerId),
                get isOpen() {
                    return link.open;
                },
                get lastReceivedAtMs() {
                    return lastHeardMs;
                },
                closed: link.closed,
                heard: () => {
                    lastHeardMs = own.process.clock.now().monoMs;
                },
                call: async <T>(method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>> => {
                    const answer = (async () => {
                        const result = await deliver(method, params);
                        await this.clock.sleep(wayMs);
                        if (this.isCut(peerId, ownId)) {
                            await new Promise(() => undefined);
                        }
                        lastHeardMs = own.process.clock.now().monoMs;
                        return ok(result as T);
                    })();
                    const lost = Promise.race([this.clock.sleep(timeoutMs), link.closed])
                        .then(() => err(failure("lost", "peer-call", peerId, "no answer")));
                    const outcome = await Promise.race([answer, lost]);
                    await own.process.pass();
                    return outcome;
                },
                notify: (method: string, params: object) => {
                    void deliver(method, params);
                },
                destroy: () => {
                    link.close();
                },
            } as PeerConnection;
        };
        ends.push(endFor(fromId, from, toId, to, 1), endFor(toId, to, fromId, from, 0));
        return ends as [PeerConnection, PeerConnection];
    }
}

function addressOf(hostId: HostId): Address {
    return `${hostId}:1` as Address;
}

function hostOf(address: string): HostId {
    return address.slice(0, address.indexOf(":")) as HostId;
}
