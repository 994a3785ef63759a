/** A host that keeps a queue and another one that asks it for slots, over a connection that can be replaced and can lose replies. */
import { err, ok } from "neverthrow";
import type { SlotDecision } from "../../src/admission/admissionClient.js";
import { createAdmissionClient } from "../../src/admission/admissionClient.js";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import type { Group } from "../../src/admission/messages.js";
import { QueueHosts } from "../../src/admission/queueHosts.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import type { PeerLinks } from "../../src/cluster/peerLinks.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, HostId, Offset, RunId, ServiceId, TargetId } from "../../src/model/names.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";
import { silentLog } from "../support/silentLog.js";

const dataCentreId = "here" as DataCentreId;
const targetId = "t1" as TargetId;
const group: Group = { kind: "target", targetId };

function member(name: string): Member {
    return { hostId: name as HostId, runId: `${name}-run` as RunId, peerAddress: `${name}:1` as Address, dataCentreId, cpuShare: 1 };
}

/** The two hosts; the queue is that of a target with one slot. */
export class HostPair {
    readonly clock = new VirtualClock();
    /** Number of messages for the queue so far, including those that its server makes up itself. */
    queueUseCount = 0;
    /** True while the target counts as silent. */
    isTargetSilent = false;
    /** True while replies of the queue's host do not arrive. */
    isLosingReplies = false;
    private connected = Promise.resolve();
    private isConnected = true;
    private connection = createConnection(1);
    private connectionCount = 1;
    private ticketCount = 0;
    private readonly server = this.createServer("keeper", this.createView());
    private readonly clients = new Map(["asker", "other"].map((name) => [name, this.createClient(name)]));

    /** Asks for a slot on behalf of a host, `asker` or `other`, for a request that takes 100 ms. */
    enter(deadlineMs = 5_000, hostName = "asker", signal = new AbortController().signal): Promise<SlotDecision> {
        const nowMs = this.clock.now().monoMs;
        const client = this.clients.get(hostName);
        if (client === undefined) {
            throw new Error(`no host ${hostName}`);
        }
        return client.enter({
            group, priority: 1, workMs: 100, near: dataCentreId, avoid: [],
            softDeadlineMs: nowMs + deadlineMs / 2, deadlineMs: nowMs + deadlineMs,
        }, signal);
    }

    /** Lets calls wait for a connection for some time; messages without a result are dropped meanwhile. */
    delayConnection(durationMs: number): void {
        this.isConnected = false;
        this.connected = this.clock.sleep(durationMs).then(() => {
            this.isConnected = true;
        });
    }

    /** Closes the connection to the queue's host and opens another, from another port. */
    async reconnect(): Promise<void> {
        const closing = this.connection;
        this.connectionCount += 1;
        this.connection = createConnection(this.connectionCount);
        closing.destroy();
        await this.clock.advance(1);
    }

    private createView(): ClusterView {
        const view = new ClusterView();
        view.applyTargets([{ targetId, offset: 0 as Offset, entry: {
            targetId, serviceId: "s" as ServiceId, address: "t1:80" as Address, dataCentreId, slots: 1, state: "ready", bornWallMs: 1,
            sequence: 1, warmingUp: false,
        } }], 1 as Offset, 0);
        return view;
    }

    private createServer(hostName: string, view: ClusterView) {
        const queueHosts = new QueueHosts(new Membership(member(hostName)), view);
        return createAdmissionServer({
            view, clock: this.clock, random: () => 0.5,
            coldAfterReturnMs: 2_600, drainMs: 1_000, isSilent: () => this.isTargetSilent, log: silentLog,
            queueHosts: {
                ranked: (ofGroup: Group) => queueHosts.ranked(ofGroup),
                rateLimitShare: () => {
                    this.queueUseCount += 1;
                    return 1;
                },
            } as unknown as QueueHosts,
        });
    }

    /** Creates the client of a host that knows no targets yet and so cannot keep the queue itself. */
    private createClient(hostName: string) {
        const membership = new Membership(member(hostName));
        membership.update([member("keeper")]);
        const view = new ClusterView();
        return createAdmissionClient({
            localServer: this.createServer(hostName, view), membership, queueHosts: new QueueHosts(membership, view), clock: this.clock,
            links: this.createLinks(), log: silentLog,
            nextTicket: () => {
                this.ticketCount += 1;
                return `ticket-${String(this.ticketCount)}` as Ticket;
            },
        });
    }

    private createLinks(): PeerLinks {
        const deliver = (method: string, params: object): unknown =>
            this.server.handlers()[method]?.(structuredClone(params) as never, this.connection);
        return {
            call: async (address: Address, method: string, params: object, timeoutMs: number) => {
                await this.connected;
                const reply = Promise.resolve(deliver(method, params));
                const timeout = this.clock.sleep(timeoutMs);
                const outcome = await Promise.race([
                    ...this.isLosingReplies ? [] : [reply.then((value) => ok(value))],
                    timeout.then(() => err(failure("lost", "peer-call", address, "timed out"))),
                ]);
                return outcome;
            },
            notify: (_address: Address, method: string, params: object) => {
                if (this.isConnected) {
                    deliver(method, params);
                }
            },
        } as unknown as PeerLinks;
    }
}

function createConnection(remotePort: number): PeerConnection {
    let destroy: () => void = () => undefined;
    const closed = new Promise<void>((resolve) => {
        destroy = resolve;
    });
    return { address: `10.0.0.9:${String(remotePort)}`, closed, destroy } as unknown as PeerConnection;
}
