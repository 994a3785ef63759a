import { expect } from "chai";
import { err, ok } from "neverthrow";
import type { SlotRequest } from "../../src/admission/admissionClient.js";
import { createAdmissionClient } from "../../src/admission/admissionClient.js";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import type { EnterParams, EnterReply, Group } from "../../src/admission/messages.js";
import { QueueHosts } from "../../src/admission/queueHosts.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import type { Fingerprint } from "../../src/crashes/requestFingerprint.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import type { PeerLinks } from "../../src/cluster/peerLinks.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, HostId, RunId, ServiceId, TargetId } from "../../src/model/names.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";
import { silentLog } from "../support/silentLog.js";

const here = "here" as DataCentreId;

function member(name: string, cpuShare = 1): Member {
    return { hostId: name as HostId, runId: `${name}-run` as RunId, peerAddress: `${name}:1` as Address, dataCentreId: here, cpuShare };
}

/** Creates a client on a host that knows no targets yet; its peers answer `enter` with the given replies. */
function setUp(replies: Record<string, EnterReply | "none">, cpuShareOf: (name: string) => number = () => 1) {
    const clock = new VirtualClock();
    const membership = new Membership(member("self"));
    membership.update(Object.keys(replies).map((name) => member(name, cpuShareOf(name))));
    const view = new ClusterView();
    const queueHosts = new QueueHosts(membership, view);
    const localServer = createAdmissionServer({
        view, clock, random: () => 0.5, coldAfterReturnMs: 2_600, drainMs: 1_000, isSilent: () => false, queueHosts, log: silentLog,
    });
    const askedHosts: string[] = [];
    const sent: EnterParams[] = [];
    const links = {
        call: (address: string, _method: string, params: EnterParams) => {
            const name = address.split(":")[0] ?? "";
            askedHosts.push(name);
            sent.push(params);
            const reply = replies[name];
            return reply === "none"
                ? clock.sleep(params.deadlineLeftMs + 200).then(() => err(failure("lost", "peer-call", name, "no answer")))
                : Promise.resolve(ok(reply));
        },
        notify: () => undefined,
    } as unknown as PeerLinks;
    let tickets = 0;
    const client = createAdmissionClient({
        localServer, membership, links, clock, queueHosts, log: silentLog,
        nextTicket: () => {
            tickets += 1;
            return `t${String(tickets)}` as Ticket;
        },
    });
    const enter = (group: Group = { kind: "service", serviceId: "s" as ServiceId }, more: Partial<SlotRequest> = {}, signal = new AbortController().signal) => client.enter({
        group, priority: 1, workMs: 10, near: here, avoid: [],
        softDeadlineMs: clock.now().monoMs + 1_000, deadlineMs: clock.now().monoMs + 2_000, ...more,
    }, signal);
    return { enter, askedHosts, sent, membership, clock };
}

describe("admission client", () => {
    it("tries the next host when a host, this one included, has just started and knows no targets", async () => {
        const { enter, askedHosts } = setUp({
            fresh: { unready: true }, other: { granted: "k1" as TargetId, expectedMs: 10 },
        });
        const first = await enter();
        expect(first.kind).to.equal("granted");
        askedHosts.length = 0;
        const second = await enter();
        expect(second.kind).to.equal("granted");
        expect(askedHosts).to.deep.equal(["other"]);
    });

    it("tries the next host when one answers with what can't be meant, such as a slot at no target", async () => {
        for (const odd of [{ granted: 5, expectedMs: 1 }, { granted: "k1", expectedMs: Number.NaN }, { refused: "why" }, {}, undefined]) {
            const { enter, askedHosts } = setUp({ odd: odd as unknown as EnterReply, other: { granted: "k1" as TargetId, expectedMs: 10 } });
            for (const name of ["a", "b", "c", "d", "e"]) {
                expect(await enter({ kind: "service", serviceId: name as ServiceId })).to.deep.include({ kind: "granted", expectedMs: 10 });
            }
            expect(askedHosts).to.include("odd");
        }
    });

    it("prefers hosts with a larger CPU share for the queue of a service, but not for that of a single target", async () => {
        const names = Array.from({ length: 20 }, (_, index) => `host-${String(index)}`);
        const replies = Object.fromEntries(names.map((name) => [name, { granted: "k1" as TargetId, expectedMs: 10 }]));
        const { enter, askedHosts } = setUp(replies, (name) => name === "host-7" || name === "host-12" ? 3 : 1);
        for (let index = 0; index < 20; index++) {
            await enter({ kind: "service", serviceId: `s${String(index)}` as ServiceId });
        }
        expect(new Set(askedHosts)).to.deep.equal(new Set(["host-7", "host-12"]));
        askedHosts.length = 0;
        for (let index = 0; index < 20; index++) {
            await enter({ kind: "target", targetId: `k${String(index)}` as TargetId });
        }
        expect(new Set(askedHosts).size).to.be.above(5);
    });

    it("ranks the hosts once per queue, not at every request", async () => {
        const names = Array.from({ length: 195 }, (_, index) => `host-${String(index)}`);
        const replies = Object.fromEntries(names.map((name) => [name, { granted: "k1" as TargetId, expectedMs: 10 }]));
        const { enter, membership } = setUp(replies);
        let hostIdReads = 0;
        membership.update(names.map((name) => ({
            ...member(name),
            get hostId() {
                hostIdReads += 1;
                return name as HostId;
            },
        })));
        await enter();
        hostIdReads = 0;
        for (let index = 0; index < 100; index++) {
            await enter();
        }
        expect(hostIdReads).to.be.below(1_000);
    });

    it("skips a host that could not keep the queue, and tries it again later", async () => {
        const { enter, askedHosts, clock } = setUp({ fresh: { unready: true } });
        await enter();
        await enter();
        expect(askedHosts).to.deep.equal(["fresh"]);
        await clock.advance(2_000);
        await enter();
        expect(askedHosts).to.deep.equal(["fresh", "fresh"]);
    });

    it("tells the queue's host everything about a request, also that it is suspected of crashing targets", async () => {
        const { enter, sent } = setUp({ fresh: { unready: true }, other: { granted: "k1" as TargetId, expectedMs: 10 } });
        const group: Group = { kind: "service", serviceId: "s" as ServiceId };
        const rateLimits = [{ targetId: "k1" as TargetId, bornWallMs: 1, requestsPerSecond: 5, ageMs: 0 }];
        await enter(group, { workMs: 10.4, avoid: ["k2" as TargetId], suspect: "deadly" as Fingerprint, rateLimits });
        expect({ ...sent.at(-1), ticket: "any" }).to.deep.equal({
            ticket: "any", sender: "self", group, priority: 1, workMs: 10, near: here, avoid: ["k2"], suspect: "deadly", rateLimits,
            targetLeftMs: 1_000, deadlineLeftMs: 2_000,
        });
    });

    it("does not take the queue's host for lost because it does not answer a request that was withdrawn", async () => {
        const { enter, askedHosts, clock } = setUp({ silent: "none" });
        const group: Group = { kind: "service", serviceId: "s" as ServiceId };
        const withdrawal = new AbortController();
        const decision = enter(group, {}, withdrawal.signal);
        await clock.advance(10);
        withdrawal.abort();
        expect(await decision).to.deep.include({ kind: "refused", reason: "withdrawn" });
        await clock.advance(2_300);
        void enter(group);
        await clock.advance(10);
        expect(askedHosts).to.deep.equal(["silent", "silent"]);
    });

    it("refuses a request when no host can keep the queue", async () => {
        const { enter } = setUp({ fresh: { unready: true } });
        const decision = await enter();
        expect(decision.kind === "refused" && decision.reason).to.equal("no-host");
    });
});
