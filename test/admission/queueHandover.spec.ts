import { expect } from "chai";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { AdmissionClient } from "../../src/admission/admissionClient.js";
import { createAdmissionClient } from "../../src/admission/admissionClient.js";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import type { AdmissionServer } from "../../src/admission/admissionServer.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import type { EnterParams, Group, LeaveParams, WithdrawParams } from "../../src/admission/messages.js";
import { QueueHosts } from "../../src/admission/queueHosts.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import type { PeerLinks } from "../../src/cluster/peerLinks.js";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, HostId, Offset, RunId, ServiceId, TargetId } from "../../src/model/names.js";
import type { StatedRateLimit } from "../../src/model/rateLimit.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { SeededRandom } from "../support/seededRandom.js";
import { VirtualClock } from "../support/virtualTime.js";
import { silentLog } from "../support/silentLog.js";

const here = "here" as DataCentreId;
const targetId = "t1" as TargetId;
const serviceId = "s" as ServiceId;
const windowMs = 4_000;
const workMs = 100;
const networkDelayMs = 1;
/** The platform's rule counts what a host sends from this time on after a response to it first stated the limit. */
const noticeMs = 500;

interface Host {
    member: Member;
    membership: Membership;
    server: AdmissionServer;
    client: AdmissionClient;
    /** Times at which a response to this host first and last stated the limit; undefined before the first. */
    firstStatedAtMs: number | undefined;
    statedAtMs: number | undefined;
    isUp: boolean;
    stop: AbortController;
}

/** Many hosts, each with its own admission server and client, in virtual time; one target that states a rate limit. */
class HostGroup {
    readonly clock = new VirtualClock();
    readonly hosts: Host[] = [];
    /** Pairs of hosts that cannot reach each other, as `FROM>TO`. */
    readonly blocked = new Set<string>();
    /** Requests that reached the target from hosts that had been told the limit, as the platform's rule counts them. */
    readonly arrivalsMs: number[] = [];
    limitPerSecond: number | undefined;
    private readonly random: SeededRandom;
    private ticketCount = 0;

    constructor(seed: number, hostCount: number, readonly group: Group, private readonly perSecondAndHost: number) {
        this.random = new SeededRandom(seed);
        for (let index = 0; index < hostCount; index++) {
            this.start(`h${String(index)}`);
        }
        this.announceMembers();
    }

    start(name: string): Host {
        const member: Member = {
            hostId: name as HostId, runId: `${name}-${String(this.clock.now().monoMs)}` as RunId, peerAddress: `${name}:1` as Address,
            dataCentreId: here, cpuShare: 1,
        };
        const view = new ClusterView();
        view.applyTargets([{ targetId, offset: 0 as Offset, entry: {
            targetId, serviceId, address: "t1:80" as Address, dataCentreId: here, slots: 3, state: "ready", bornWallMs: 1, sequence: 1,
            warmingUp: false,
        } }], 1 as Offset, 0);
        const membership = new Membership(member);
        const queueHosts = new QueueHosts(membership, view);
        const server = createAdmissionServer({
            view, clock: this.clock, random: () => this.random.uniform(),
            coldAfterReturnMs: 2_600, drainMs: 1_000, isSilent: () => false, queueHosts, log: silentLog,
        });
        const client = createAdmissionClient({
            localServer: server, membership, queueHosts, clock: this.clock, log: silentLog, links: this.createLinks(name),
            nextTicket: () => {
                this.ticketCount += 1;
                return `${name}-${String(this.ticketCount)}` as Ticket;
            },
        });
        const host: Host = {
            member, membership, server, client, firstStatedAtMs: undefined, statedAtMs: undefined, isUp: true, stop: new AbortController(),
        };
        this.hosts.push(host);
        void server.run(host.stop.signal);
        void this.sendRequests(host);
        return host;
    }

    kill(host: Host): void {
        host.isUp = false;
        host.stop.abort();
        this.hosts.splice(this.hosts.indexOf(host), 1);
    }

    /** Sends the list of hosts to each of them, or to some, as a coordinator does. */
    announceMembers(to: readonly Host[] = this.hosts): void {
        const members = this.hosts.map(({ member }) => member);
        to.forEach(({ membership }) => {
            membership.update(members);
        });
    }

    /** The host that keeps the queue as all hosts see it. */
    keeper(): Host {
        const { membership } = this.hosts[0]!;
        const best = new QueueHosts(membership, new ClusterView()).ranked(this.group)[0];
        return this.hosts.find(({ member }) => member.hostId === best?.hostId)!;
    }

    block(from: Host, to: Host): void {
        this.blocked.add(`${from.member.hostId}>${to.member.hostId}`);
        this.blocked.add(`${to.member.hostId}>${from.member.hostId}`);
    }

    /** Returns the largest number of counted requests in any window. */
    maxPerWindow(): number {
        const counted = this.arrivalsMs;
        return Math.max(0, ...counted.map((endMs) => counted.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length));
    }

    stop(): void {
        [...this.hosts].forEach((host) => {
            this.kill(host);
        });
    }

    private createLinks(from: string): PeerLinks {
        const peer = (address: string) => this.hosts.find(({ member }) => member.peerAddress === address);
        const isBlocked = (address: string) => this.blocked.has(`${from}>${address.split(":")[0] ?? ""}`);
        const deliver = (address: string, method: string, params: object): unknown => {
            const server = peer(address)?.server;
            const handlers: Record<string, (params: never) => unknown> = {
                enter: (enter: EnterParams) => server?.enter(enter, from),
                leave: (leave: LeaveParams) => server?.leave(leave),
                withdraw: (withdraw: WithdrawParams) => server?.withdraw(withdraw),
            };
            return handlers[method]?.(structuredClone(params) as never);
        };
        return {
            call: async <T>(address: Address, method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>> => {
                await this.clock.sleep(networkDelayMs);
                if (peer(address) === undefined) {
                    return err(failure("unreachable", "peer-call", address, "refused"));
                }
                if (isBlocked(address)) {
                    await this.clock.sleep(Math.min(timeoutMs, 300));
                    return err(failure("lost", "peer-call", address, "no answer"));
                }
                return ok(await deliver(address, method, params) as T);
            },
            notify: (address: Address, method: string, params: object) => {
                if (!isBlocked(address)) {
                    deliver(address, method, params);
                }
            },
        } as unknown as PeerLinks;
    }

    private async sendRequests(host: Host): Promise<void> {
        while (host.isUp) {
            await this.clock.sleep(-Math.log(1 - this.random.uniform()) * 1_000 / this.perSecondAndHost);
            void this.sendRequest(host);
        }
    }

    private async sendRequest(host: Host): Promise<void> {
        const nowMs = this.clock.now().monoMs;
        const known = host.statedAtMs === undefined ? undefined : this.statement(nowMs - host.statedAtMs);
        const decision = await host.client.enter({
            group: this.group, priority: 1, workMs, near: here, avoid: [], softDeadlineMs: nowMs + 400, deadlineMs: nowMs + 2_000,
            ...known === undefined ? {} : { rateLimits: [known] },
        }, new AbortController().signal);
        if (decision.kind === "refused" || !host.isUp) {
            return;
        }
        const arrivedMs = this.clock.now().monoMs;
        if (host.firstStatedAtMs !== undefined && arrivedMs >= host.firstStatedAtMs + noticeMs) {
            this.arrivalsMs.push(arrivedMs);
        }
        await this.clock.sleep(workMs);
        host.statedAtMs = this.limitPerSecond === undefined ? undefined : this.clock.now().monoMs;
        host.firstStatedAtMs ??= host.statedAtMs;
        decision.leave({ kind: "answered", tookMs: workMs }, this.statement(0));
    }

    private statement(ageMs: number): StatedRateLimit | undefined {
        return this.limitPerSecond === undefined ? undefined : { targetId, bornWallMs: 1, requestsPerSecond: this.limitPerSecond, ageMs };
    }
}

const groups: readonly Group[] = [{ kind: "target", targetId }, { kind: "service", serviceId }];

/** What happens to the hosts, between the statement of the limit and the end of the run. */
const events: Record<string, (world: HostGroup) => Promise<void>> = {
    "nothing happens": async (world) => {
        await world.clock.advance(6_000);
    },
    "the host that keeps the queue is killed, and the others learn that a second later": async (world) => {
        world.kill(world.keeper());
        await world.clock.advance(1_000);
        world.announceMembers();
        await world.clock.advance(5_000);
    },
    "the host that keeps the queue is killed again and again": async (world) => {
        for (let count = 0; count < 4; count++) {
            world.kill(world.keeper());
            await world.clock.advance(1_200);
            world.announceMembers();
        }
        await world.clock.advance(3_000);
    },
    "half of the hosts cannot reach the host that keeps the queue": async (world) => {
        const keeper = world.keeper();
        world.hosts.filter((host, index) => host !== keeper && index % 2 === 0).forEach((host) => {
            world.block(host, keeper);
        });
        await world.clock.advance(8_000);
    },
    "the host that keeps the queue stands still for a second, again and again": async (world) => {
        for (let count = 0; count < 4; count++) {
            const keeper = world.keeper();
            world.hosts.filter((host) => host !== keeper).forEach((host) => {
                world.block(host, keeper);
            });
            await world.clock.advance(1_000);
            world.blocked.clear();
            await world.clock.advance(700);
        }
    },
    "each third of the hosts can reach another one of the first three": async (world) => {
        const first = world.keeper();
        const others = world.hosts.filter((host) => host !== first);
        others.filter((_host, index) => index % 3 > 0).forEach((host) => {
            world.block(host, first);
        });
        const second = new QueueHosts(first.membership, new ClusterView()).ranked(world.group)[1];
        const secondHost = world.hosts.find(({ member }) => member === second || member.hostId === second?.hostId)!;
        others.filter((_host, index) => index % 3 === 2).forEach((host) => {
            world.block(host, secondHost);
        });
        await world.clock.advance(8_000);
    },
    "hosts join, one of which keeps the queue from then on, and half of the hosts learn of them half a second later": async (world) => {
        for (let count = 0; count < 12; count++) {
            world.start(`new${String(count)}`);
        }
        world.announceMembers(world.hosts.filter((_host, index) => index % 2 === 0));
        await world.clock.advance(500);
        world.announceMembers();
        await world.clock.advance(5_000);
    },
    "all hosts restart one after the other": async (world) => {
        for (const host of [...world.hosts]) {
            world.kill(host);
            await world.clock.advance(200);
            world.start(host.member.hostId);
            world.announceMembers();
            await world.clock.advance(300);
        }
    },
};

describe("a rate limit of a target whose queue moves between hosts", function () {
    this.timeout(60_000);
    const hostCount = 20;
    const perSecondAndHost = 1;

    for (const group of groups) {
        for (const limit of [0.4, 2.3, 6]) {
            for (const [name, play] of Object.entries(events)) {
                it(`of kind ${group.kind}: ${String(limit)} a second hold when ${name}`, async () => {
                    for (const seed of [1, 2, 3]) {
                        const world = new HostGroup(seed, hostCount, group, perSecondAndHost);
                        await world.clock.advance(2_000);
                        world.limitPerSecond = limit;
                        await world.clock.advance(1_000);
                        await play(world);
                        expect(world.maxPerWindow(), `seed ${String(seed)}`).to.be.at.most(Math.floor(1.5 * 4 * limit + 5));
                        world.stop();
                    }
                });
            }
        }
    }
});
