/** Simulated hosts in virtual time: each runs the real cluster node over a simulated network, store and lease port. */
import { setMaxListeners } from "node:events";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { AdmissionClient } from "../../src/admission/admissionClient.js";
import { createAdmissionClient } from "../../src/admission/admissionClient.js";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import { QueueHosts } from "../../src/admission/queueHosts.js";
import { Membership } from "../../src/cluster/membership.js";
import type { ClusterNode } from "../../src/cluster/node.js";
import { createNode } from "../../src/cluster/node.js";
import type { PeerConnection, PeerHandlers } from "../../src/cluster/peerConnection.js";
import type { PeerLinks } from "../../src/cluster/peerLinks.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { CrashObserver } from "../../src/crashes/crashObserver.js";
import { createCrashObserver } from "../../src/crashes/crashObserver.js";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, HostId, RunId } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import type { Log } from "../../src/observe/log.js";
import { createMetrics } from "../../src/observe/metrics.js";
import { LoadMeter } from "../../src/ownership/loadMeter.js";
import { OwnerLookup } from "../../src/ownership/ownerLookup.js";
import { observeLeasePort } from "../../src/reachability/observedLeasePort.js";
import { createReachabilityMonitor } from "../../src/reachability/reachabilityMonitor.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { RecordDecoders } from "../../src/store/recordDecoders.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { SeededRandom } from "../support/seededRandom.js";
import { VirtualClock, VirtualProcess } from "../support/virtualTime.js";
import type { VirtualStore } from "./virtualStore.js";
import type { VirtualTargets } from "./virtualTargets.js";

const networkDelayMs = 1;
const connectTimeoutMs = 300;
const drainMs = 1_300;

/** One run of a host's process. */
export interface HostRun {
    process: VirtualProcess;
    node: ClusterNode;
    view: ClusterView;
    owners: OwnerLookup;
    admission: AdmissionClient;
    loads: LoadMeter;
    crashEvidence: CrashEvidence;
    crashObserver: CrashObserver;
    membership: Membership;
    handlers: PeerHandlers;
    stop: AbortController;
    connections: Set<VirtualConnection>;
}

/** State that both ends of a connection between two hosts share. */
class VirtualConnection {
    isOpen = true;
    private resolveClosed: () => void = () => undefined;
    readonly closed = new Promise<void>((resolve) => {
        this.resolveClosed = resolve;
    });

    close(): void {
        this.isOpen = false;
        this.resolveClosed();
    }
}

const evacuationPrefix = "evacuate/";
const isEvacuation = (key: string) => key.startsWith(evacuationPrefix);

/** Decodes entries, which the simulated store holds as JSON. */
const decoders: RecordDecoders = {
    evacuation: (key) => ok(isEvacuation(key) ? key.slice(evacuationPrefix.length) as DataCentreId : undefined),
    configuration: (key, value) => {
        if (isEvacuation(key)) {
            return ok(undefined);
        }
        const config = JSON.parse(value.toString()) as RoutingConfig;
        return typeof config.version === "number" ? ok(config) : err(failure("invalid", "parse", key, "version is not a number"));
    },
    target: (_key, value) => ok(JSON.parse(value.toString()) as never),
};

/** All simulated hosts. */
export class VirtualHosts {
    /** Directions in which no message arrives, as `FROM>TO`. */
    readonly blockedLinks = new Set<string>();
    readonly runs = new Map<HostId, HostRun>();
    /** Log lines of all hosts. */
    readonly logLines: string[] = [];
    private startCount = 0;
    private ticketCount = 0;
    private readonly targetOrder = new SeededRandom(1);
    private readonly retryJitter = new SeededRandom(2);

    /**
     * @param clock the clock of the simulation
     * @param store the store that the hosts use
     * @param targets the targets that the hosts grant keys to
     */
    constructor(private readonly clock: VirtualClock, private readonly store: VirtualStore, private readonly targets: VirtualTargets) {}

    /** Starts a host's process. */
    start(hostId: HostId, wallOffsetMs = 0): void {
        this.startCount += 1;
        const process = new VirtualProcess(this.clock, { monoMs: this.startCount * 10_000, wallMs: wallOffsetMs, rate: 1 });
        const view = new ClusterView();
        const owners = new OwnerLookup(view, drainMs);
        const self = {
            hostId, runId: `run-${String(this.startCount)}` as RunId, peerAddress: addressOf(hostId),
            dataCentreId: "here" as DataCentreId, cpuShare: 1,
        };
        const log = this.createLog(hostId);
        const store = this.store.createStorePort(hostId, process);
        const loads = new LoadMeter();
        const membership = new Membership(self);
        const crashEvidence = new CrashEvidence();
        const run: HostRun = {
            process, view, owners, loads, crashEvidence, membership, handlers: {}, stop: new AbortController(), connections: new Set(),
            node: undefined as unknown as ClusterNode,
            admission: undefined as unknown as AdmissionClient,
            crashObserver: undefined as unknown as CrashObserver,
        };
        const crashObserver = createCrashObserver({
            evidence: crashEvidence, view, clock: process.clock, log, metrics: createMetrics(), random: () => this.targetOrder.uniform(),
            probe: (address) => this.targets.probe(hostId, address, process),
        });
        const reader = createTopicReader({ store, decoders, view, clock: process.clock, log });
        const links = this.createPeerLinks(hostId, run);
        const queueHosts = new QueueHosts(membership, view);
        const admissionServer = createAdmissionServer({
            view, clock: process.clock, random: () => this.retryJitter.uniform(), coldAfterReturnMs: 2_600, drainMs, queueHosts, log,
            isSilent: (targetId) => owners.isSilent(targetId, process.clock.now().monoMs),
        });
        run.admission = createAdmissionClient({
            localServer: admissionServer, membership, queueHosts, links, log, clock: process.clock,
            nextTicket: () => this.nextTicket(hostId),
        });
        const reachability = createReachabilityMonitor({
            view, membership, links, clock: process.clock, log, random: () => this.targetOrder.uniform(),
            connect: async ({ address }) => await this.targets.probe(hostId, address, process) === "listening",
        });
        run.node = createNode({
            self, view, store, reader, owners, loads, log,
            maxHoldMs: 10_000,
            configApplyMs: 2_500,
            membership,
            links,
            leases: observeLeasePort(this.targets.createLeasePort(hostId, process), reachability, view),
            targetReach: reachability,
            admissionServer, crashEvidence, crashObserver,
            clock: process.clock,
            onMove: () => undefined,
        });
        run.crashObserver = crashObserver;
        run.handlers = { ...run.node.handlers(), ...admissionServer.handlers(), ...reachability.handlers() };
        this.runs.set(hostId, run);
        setMaxListeners(0, run.stop.signal);
        void reachability.run(run.stop.signal);
        void run.node.run(run.stop.signal);
        void admissionServer.run(run.stop.signal);
    }

    /** Ends a host's process without notice. */
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

    /** Returns the hosts that consider themselves coordinator; during a change of term there may be several or none. */
    coordinators(): HostId[] {
        return [...this.runs].filter(([, { node }]) => node.isCoordinating()).map(([hostId]) => hostId);
    }

    private nextTicket(hostId: HostId): Ticket {
        this.ticketCount += 1;
        return `${hostId}-${String(this.ticketCount)}` as Ticket;
    }

    private createLog(hostId: HostId): Log {
        const writeLine = (event: string, fields: object = {}) => {
            this.logLines.push(`${this.clock.now().monoMs.toFixed(0)} ${hostId} ${event} ${JSON.stringify(fields)}`);
        };
        return { info: writeLine, warn: writeLine, error: writeLine };
    }

    private isBlocked(from: HostId, to: HostId): boolean {
        return this.blockedLinks.has(`${from}>${to}`);
    }

    private createPeerLinks(hostId: HostId, run: HostRun): PeerLinks {
        const connections = new Map<Address, PeerConnection>();
        const connect = async (address: Address): Promise<Result<PeerConnection, Failure>> => {
            const existing = connections.get(address);
            if (existing?.isOpen === true) {
                return ok(existing);
            }
            const peerId = hostOf(address);
            await this.clock.sleep(networkDelayMs);
            const peer = this.runs.get(peerId);
            if (this.isBlocked(hostId, peerId)) {
                await this.clock.sleep(connectTimeoutMs);
            }
            await run.process.waitUntilRunning();
            if (peer === undefined || this.isBlocked(hostId, peerId)) {
                return err(failure("unreachable", "connect", address, peer === undefined ? "refused" : "timed out"));
            }
            const [localEnd] = this.connectRuns(hostId, run, peerId, peer);
            connections.set(address, localEnd);
            return ok(localEnd);
        };
        return {
            connect,
            call: async (address, method, params, timeoutMs) => {
                const connection = await connect(address);
                return connection.isErr() ? err(connection.error) : connection.value.call(method, params, timeoutMs);
            },
            notify: (address, method, params) => {
                connections.get(address)?.notify(method, params);
            },
            close: () => undefined,
        };
    }

    private connectRuns(fromId: HostId, from: HostRun, toId: HostId, to: HostRun): [PeerConnection, PeerConnection] {
        const connection = new VirtualConnection();
        from.connections.add(connection);
        to.connections.add(connection);
        const ends: PeerConnection[] = [];
        const createEnd = (localId: HostId, local: HostRun, peerId: HostId, peer: HostRun, peerEndIndex: number): PeerConnection => {
            let lastReceivedAtMs = local.process.clock.now().monoMs;
            const deliver = async (method: string, params: object): Promise<unknown> => {
                await this.clock.sleep(networkDelayMs);
                if (!connection.isOpen || this.isBlocked(localId, peerId)) {
                    return new Promise(() => undefined);
                }
                await peer.process.waitUntilRunning();
                (ends[peerEndIndex] as PeerConnection & { recordReceipt: () => void }).recordReceipt();
                const handle = peer.handlers[method];
                const result: unknown = method === "probe" ? true : await handle?.(structuredClone(params) as never, ends[peerEndIndex] as PeerConnection);
                return structuredClone(result);
            };
            return {
                address: addressOf(peerId),
                get isOpen() {
                    return connection.isOpen;
                },
                get lastReceivedAtMs() {
                    return lastReceivedAtMs;
                },
                closed: connection.closed,
                recordReceipt: () => {
                    lastReceivedAtMs = local.process.clock.now().monoMs;
                },
                call: async <T>(method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>> => {
                    const reply = (async () => {
                        const result = await deliver(method, params);
                        await this.clock.sleep(networkDelayMs);
                        if (this.isBlocked(peerId, localId)) {
                            await new Promise(() => undefined);
                        }
                        lastReceivedAtMs = local.process.clock.now().monoMs;
                        return ok(result as T);
                    })();
                    const lost = Promise.race([this.clock.sleep(timeoutMs), connection.closed])
                        .then(() => err(failure("lost", "peer-call", peerId, "no answer")));
                    const outcome = await Promise.race([reply, lost]);
                    await local.process.waitUntilRunning();
                    return outcome;
                },
                notify: (method: string, params: object) => {
                    void deliver(method, params);
                },
                detach: () => {
                    throw new Error("the simulated network carries messages only");
                },
                destroy: () => {
                    connection.close();
                },
            } as PeerConnection;
        };
        ends.push(createEnd(fromId, from, toId, to, 1), createEnd(toId, to, fromId, from, 0));
        return ends as [PeerConnection, PeerConnection];
    }
}

function addressOf(hostId: HostId): Address {
    return `${hostId}:1` as Address;
}

function hostOf(address: string): HostId {
    return address.slice(0, address.indexOf(":")) as HostId;
}
