/** A relayed connection between two hosts in this process, for tests of its ends. */
import { once } from "node:events";
import net from "node:net";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { Membership } from "../../src/cluster/membership.js";
import type { PeerHandlers } from "../../src/cluster/peerConnection.js";
import { listenForPeers } from "../../src/cluster/peerConnection.js";
import { createRelayServer } from "../../src/forwarding/relayServer.js";
import type { TargetConnection } from "../../src/forwarding/targetConnection.js";
import { createTargetConnector } from "../../src/forwarding/targetConnector.js";
import type { Address, DataCentreId, HostId, Offset, RunId, ServiceId, TargetId } from "../../src/model/names.js";
import { Helpers } from "../../src/reachability/helpers.js";
import type { ReachabilityMonitor } from "../../src/reachability/reachabilityMonitor.js";
import { ClusterView } from "../../src/store/clusterView.js";

const clock = createSystemClock();
const targetId = "t-1" as TargetId;
const dataCentreId = "here" as DataCentreId;
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };

function viewOf(address: string): ClusterView {
    const view = new ClusterView();
    view.applyTargets([{ targetId, offset: 0 as Offset, entry: {
        targetId, serviceId: "s" as ServiceId, address: address as Address, dataCentreId, slots: 1, state: "ready", bornWallMs: 1, sequence: 1,
        warmingUp: false,
    } }], 1 as Offset, 0);
    return view;
}

function portOf(server: net.Server): number {
    return (server.address() as net.AddressInfo).port;
}

/** A target, a host that reaches it, and a host that is cut off from it. */
export class RelayUnderTest {
    isHelperCutOff = false;
    isHelperStopping = false;
    readonly sockets: net.Socket[] = [];
    private readonly servers: net.Server[] = [];
    private readonly helperSockets: net.Socket[] = [];
    readonly failures: string[] = [];
    relay!: ReturnType<typeof createRelayServer>;
    private address = "";
    private helperAddress = "";

    /**
     * Starts the target and the helper.
     * @param respond called with each connection that the target accepts
     * @param createHandlers creates the helper's handlers in place of those of this version
     */
    async start(respond: (socket: net.Socket) => void, createHandlers?: (targetAddress: string) => PeerHandlers): Promise<void> {
        const target = net.createServer({ allowHalfOpen: true }, (socket) => {
            this.sockets.push(socket);
            socket.on("error", () => undefined);
            respond(socket);
        });
        target.listen(0, "127.0.0.1");
        await once(target, "listening");
        this.address = `127.0.0.1:${String(portOf(target))}`;
        this.relay = createRelayServer({
            view: viewOf(this.address), reachability: { isCutOff: () => this.isHelperCutOff, recordHeard: () => undefined },
            isShuttingDown: () => this.isHelperStopping, log: silentLog, onRelayed: () => undefined,
        });
        const handlers = createHandlers?.(this.address) ?? this.relay.handlers();
        const peers = (await listenForPeers("127.0.0.1:0", handlers, clock, 0))._unsafeUnwrap();
        peers.on("connection", (socket: net.Socket) => this.helperSockets.push(socket));
        this.helperAddress = `127.0.0.1:${String(portOf(peers))}`;
        this.servers.push(target, peers);
    }

    /** Connects from the host that is cut off. */
    async connect(knownAddress = this.address): Promise<TargetConnection> {
        const self = { hostId: "cut" as HostId, runId: "r" as RunId, peerAddress: "127.0.0.1:1" as Address, dataCentreId, cpuShare: 1 };
        const membership = new Membership(self);
        membership.update([{ ...self, hostId: "helper" as HostId, peerAddress: this.helperAddress as Address }]);
        const reachability = {
            pathTo: () => "severed", helpers: new Helpers(membership), hasBrokenPaths: () => true,
            recordHelperFailure: (_target: TargetId, _helper: object, isTargetDown: boolean) => {
                this.failures.push(isTargetDown ? "target down" : "helper");
            },
        } as unknown as ReachabilityMonitor;
        const connector = createTargetConnector({
            view: viewOf(knownAddress), reachability, clock, log: silentLog, onRelayed: () => undefined,
        });
        const connected = await connector.connect(knownAddress as Address);
        if (connected.isErr()) {
            throw new Error(connected.error.message);
        }
        return connected.value;
    }

    /** Ends the helper as the end of its process does: its kernel closes what is open, in an orderly way. */
    endHelper(): void {
        this.servers[1]?.close();
        this.helperSockets.forEach((socket) => socket.destroy());
    }

    stop(): void {
        this.sockets.forEach((socket) => socket.destroy());
        this.servers.forEach((server) => server.close());
    }
}

/** Sends a request and reads its answer to the end; returns why the answer is not whole, if it is not. */
export async function get(connection: TargetConnection, body = Buffer.alloc(0)): Promise<{ status: number; bytes: number } | string> {
    const exchange = connection.start({
        method: "POST", head: `POST / HTTP/1.1\r\nContent-Length: ${String(body.length)}\r\n\r\n`, body, hasMore: false,
        requestId: undefined, idempotent: false, matchOf: () => "named",
    });
    const head = await exchange.head();
    if (head.isErr()) {
        return head.error.message;
    }
    let bytes = 0;
    for (;;) {
        const piece = await exchange.read();
        if (piece.isErr()) {
            return piece.error.message;
        }
        if (piece.value === undefined) {
            return { status: head.value.status, bytes };
        }
        bytes += piece.value.length;
    }
}
