import { expect } from "chai";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import type { Group } from "../../src/admission/messages.js";
import { QueueHosts } from "../../src/admission/queueHosts.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import type { Address, DataCentreId, HostId, Offset, RunId, ServiceId, TargetId } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import type { TargetEntry } from "../../src/model/target.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";
import { silentLog } from "../support/silentLog.js";

const dataCentreId = "there" as DataCentreId;
const targetId = "t1" as TargetId;
const serviceId = "s" as ServiceId;
const coldAfterReturnMs = 2_600;
const workMs = 20;
const windowMs = 1_000;
/** What a cold target may get in any second, from the limit of 5.1 a second. */
const maxPerWindow = 5.1 * 1.5 + 8;

const config = {
    version: 1, routes: [], limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    services: [{ serviceId, healthPath: "/", maxConnections: 100, sharded: false, warmUpMs: 3_000, warmUpRequestsPerSecond: 5.1 }],
} as unknown as RoutingConfig;

const entry: TargetEntry = {
    targetId, serviceId, address: "t1:80" as Address, dataCentreId, slots: 6, state: "ready", bornWallMs: 1, sequence: 1, warmingUp: false,
};

/** Hosts that all keep the queue of one target, as while they cannot reach each other. */
class SeparateHosts {
    readonly clock = new VirtualClock();
    readonly grantedMs: number[] = [];
    readonly views: ClusterView[] = [];
    /** Number of times that a queue has set its targets anew. */
    refreshCount = 0;
    private readonly stop = new AbortController();

    constructor(hostCount: number, private readonly group: Group) {
        const members = Array.from({ length: hostCount }, (_, index): Member => ({
            hostId: `h${String(index)}` as HostId, runId: `r${String(index)}` as RunId, peerAddress: `h${String(index)}:1` as Address,
            dataCentreId, cpuShare: 1,
        }));
        members.forEach((member) => {
            const view = new ClusterView();
            view.applyConfig(config, 0 as Offset, 1 as Offset);
            view.applyTargets([{ targetId, offset: 0 as Offset, entry }], 1 as Offset, this.clock.now().monoMs);
            view.evacuations.confirm(this.clock.now().monoMs);
            const membership = new Membership(member);
            membership.update(members);
            const server = createAdmissionServer({
                view, clock: this.clock, random: () => 0.5, coldAfterReturnMs, drainMs: 1_000, log: silentLog,
                queueHosts: new QueueHosts(membership, view),
                isSilent: () => {
                    this.refreshCount += 1;
                    return false;
                },
            });
            this.views.push(view);
            void server.run(this.stop.signal);
            void this.sendTo(server, member.hostId);
        });
    }

    end(): void {
        this.stop.abort();
    }

    maxGrantsPerWindow(fromMs: number, toMs: number): number {
        const granted = this.grantedMs.filter((atMs) => atMs >= fromMs && atMs < toMs).sort((left, right) => left - right);
        return Math.max(0, ...granted.map((startMs) => granted.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length));
    }

    /** Asks for slots without a pause. */
    private async sendTo(server: ReturnType<typeof createAdmissionServer>, hostId: HostId): Promise<void> {
        for (let count = 0; !this.stop.signal.aborted; count++) {
            const ticket = `${hostId}-${String(count)}` as Ticket;
            const reply = await server.enter({
                ticket, group: this.group, priority: 1, workMs, near: dataCentreId, avoid: [], targetLeftMs: 100, deadlineLeftMs: 200,
            }, hostId);
            if ("granted" in reply) {
                this.grantedMs.push(this.clock.now().monoMs);
                void this.clock.sleep(workMs).then(() => {
                    server.leave({ ticket, group: this.group, end: { kind: "answered", tookMs: workMs } });
                });
            }
            await this.clock.sleep(10);
        }
    }
}

const groups: Group[] = [{ kind: "target", targetId }, { kind: "service", serviceId, dataCentreId }];

/** Ways in which a target becomes available again, after 4 s in which it is not. */
const returns: Record<string, Record<"leave" | "comeBack", (view: ClusterView, nowMs: number) => void>> = {
    "the end of an evacuation": {
        leave: (view, nowMs) => {
            const changes = view.evacuations.apply([{ dataCentreId, offset: 2 as Offset, isInForce: true }], nowMs);
            view.applyEvacuations(changes, nowMs);
        },
        comeBack: (view, nowMs) => {
            const changes = view.evacuations.apply([{ dataCentreId, offset: 3 as Offset, isInForce: false }], nowMs);
            view.applyEvacuations(changes, nowMs);
        },
    },
    "a new registration": {
        leave: (view, nowMs) => {
            view.applyTargets([{ targetId, offset: 2 as Offset, entry: undefined }], 3 as Offset, nowMs);
        },
        comeBack: (view, nowMs) => {
            view.applyTargets([{ targetId, offset: 3 as Offset, entry: { ...entry, sequence: 3 } }], 4 as Offset, nowMs);
        },
    },
    "the registration of its next process": {
        leave: (view, nowMs) => {
            view.applyTargets([{ targetId, offset: 2 as Offset, entry: { ...entry, state: "draining", sequence: 2 } }], 3 as Offset, nowMs);
        },
        comeBack: (view, nowMs) => {
            view.applyTargets([{ targetId, offset: 3 as Offset, entry: { ...entry, bornWallMs: 2 } }], 4 as Offset, nowMs);
        },
    },
};

describe("targets that may have become cold", function () {
    this.timeout(20_000);

    for (const [name, { leave, comeBack }] of Object.entries(returns)) {
        for (const group of groups) {
            it(`are not overrun after ${name}, though 8 hosts keep the queue of the ${group.kind}`, async () => {
                const hosts = new SeparateHosts(8, group);
                await hosts.clock.advance(1_000);
                hosts.views.forEach((view) => {
                    leave(view, hosts.clock.now().monoMs);
                });
                await hosts.clock.advance(4_000);
                const returnedMs = hosts.clock.now().monoMs;
                for (const view of hosts.views) {
                    comeBack(view, hosts.clock.now().monoMs);
                    await hosts.clock.advance(30);
                }
                await hosts.clock.advance(coldAfterReturnMs);
                const limited = hosts.maxGrantsPerWindow(returnedMs, returnedMs + coldAfterReturnMs);
                expect(limited).to.be.above(0).and.at.most(maxPerWindow);
                const warmMs = hosts.clock.now().monoMs;
                await hosts.clock.advance(2_000);
                expect(hosts.maxGrantsPerWindow(warmMs, warmMs + 2_000), "requests a second once it is warm").to.be.above(maxPerWindow);
                hosts.end();
            });
        }
    }
});

describe("queue of an evacuated data centre", () => {
    it("does not set its targets anew at each request and each tick, since many of them take much processor time", async () => {
        const hosts = new SeparateHosts(1, groups[1] as Group);
        await hosts.clock.advance(1_000);
        returns["the end of an evacuation"]?.leave(hosts.views[0] as ClusterView, hosts.clock.now().monoMs);
        await hosts.clock.advance(2_000);
        const before = hosts.refreshCount;
        await hosts.clock.advance(5_000);
        expect(hosts.refreshCount - before).to.be.below(20);
        hosts.end();
    });
});
