import { expect } from "chai";
import type { SlotDecision, SlotRequest } from "../../src/admission/admissionClient.js";
import type { AdmissionServer } from "../../src/admission/admissionServer.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import { hashCaller } from "../../src/admission/callerHash.js";
import { createAdmissionChecks } from "../../src/admission/messageChecks.js";
import type { EnterParams, EnterReply, Group } from "../../src/admission/messages.js";
import type { QueueHosts } from "../../src/admission/queueHosts.js";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import { explain } from "../../src/control/explain.js";
import { describeFailure } from "../../src/model/failure.js";
import type { Address, DataCentreId, Offset, ServiceId, TargetId } from "../../src/model/names.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { Received } from "../forwarding/forwarderUnderTest.js";
import { createCall, createTestForwarder, plain } from "../forwarding/forwarderUnderTest.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

const targetId = "t1" as TargetId;
const here = "here" as DataCentreId;
const group: Group = { kind: "target", targetId };
const clock = new VirtualClock();

/** The host that keeps the queue of a target. */
function createServer(slots: number, sharesScarceCapacity?: boolean): AdmissionServer {
    const view = new ClusterView();
    view.applyTargets([{ targetId, offset: 0 as Offset, entry: {
        targetId, serviceId: "s" as ServiceId, address: "t1:80" as Address, dataCentreId: here, slots, state: "ready",
        bornWallMs: 1, sequence: 1, warmingUp: false,
    } }], 1 as Offset, 0);
    return createAdmissionServer({
        view, clock, random: () => 0.5, coldAfterReturnMs: 2_600, drainMs: 1_000, isSilent: () => false, log: silentLog,
        queueHosts: { rateLimitShare: () => 1 } as unknown as QueueHosts,
        ...sharesScarceCapacity === undefined ? {} : { sharesScarceCapacity },
    });
}

function enterParams(ticket: string, change: Partial<EnterParams> = {}): EnterParams {
    return {
        ticket: ticket as Ticket, group, priority: 0, workMs: 180, targetLeftMs: 511, deadlineLeftMs: 2_548, near: here, avoid: [],
        ...change,
    };
}

/** Returns which of two requests gets the slot when the running one of caller 1 ends: the earlier one of caller 1 or that of caller 2. */
async function nextAfter(server: AdmissionServer): Promise<string> {
    await server.enter(enterParams("running", { caller: 1 }), "h1");
    const waiting = ["greedy", "modest"].map(async (ticket, index) => {
        await server.enter(enterParams(ticket, { caller: index + 1, targetLeftMs: 511 + index }), "h1");
        return ticket;
    });
    server.leave({ group, ticket: "running" as Ticket, end: { kind: "answered", tookMs: 180 } });
    return Promise.race(waiting);
}

describe("admission server that shares scarce capacity", () => {
    it("ranks the requests of one kind by their callers, and leaves the order as it is where capacity is not shared", async () => {
        expect(await nextAfter(createServer(1, true))).to.equal("modest");
        expect(await nextAfter(createServer(1, false))).to.equal("greedy");
        expect(await nextAfter(createServer(1))).to.equal("greedy");
    });

    it("tells a refused request that slots are reserved, and describes the shares for the dump", async () => {
        const server = createServer(2, true);
        for (let index = 0; index < 6; index++) {
            await server.enter(enterParams(`u${String(index)}`), "h1");
            server.leave({ group, ticket: `u${String(index)}` as Ticket, end: { kind: "answered", tookMs: 180 } });
        }
        const long = { priority: 2, workMs: 1_003, targetLeftMs: 1_100, deadlineLeftMs: 1_100 };
        expect(await server.enter(enterParams("l1", long), "h1")).to.deep.include({ granted: targetId });
        expect(await server.enter(enterParams("l2", long), "h1")).to.deep.include({ refused: "overloaded", reserved: true });
        const [sharing] = server.sharing();
        expect(sharing).to.deep.include({ group, reservedSlots: 1 });
        expect(sharing?.kinds.map(({ priority }) => priority)).to.deep.equal([0, 2]);
    });

    it("describes no shares and reserves nothing where capacity is not shared", async () => {
        const server = createServer(2);
        await server.enter(enterParams("u"), "h1");
        expect(server.sharing()).to.deep.equal([]);
    });
});

describe("checks of messages about callers and reservations", () => {
    const checks = createAdmissionChecks(silentLog, clock);

    it("reject a caller that is no 32-bit hash, with an error that names the field", () => {
        for (const caller of [-1, 0.5, 2 ** 32, Number.NaN, "1", {}, []]) {
            const checked = checks.enter({ ...enterParams("r"), caller }, "h2:1");
            expect(checked.isErr() ? describeFailure(checked.error) : "", String(caller)).to.include("caller is out of range");
        }
        for (const caller of [undefined, 0, 2 ** 32 - 1]) {
            expect(checks.enter({ ...enterParams("r"), caller }, "h2:1").isOk(), String(caller)).to.equal(true);
        }
    });

    it("accept replies with and without a reservation, as hosts of earlier versions send them, and no other value", () => {
        const reply: EnterReply = { refused: "overloaded", retryAfterMs: 100 };
        expect([undefined, true].map((reserved) => checks.reply({ ...reply, reserved }, "h2:1").isOk())).to.deep.equal([true, true]);
        expect(checks.reply({ ...reply, reserved: "yes" }, "h2:1").isErr()).to.equal(true);
    });
});

describe("forwarder", () => {
    /** Returns the caller that the queue is told, and the refusal that the client gets. */
    async function refuseAt(sharesScarceCapacity: boolean | undefined, decision: SlotDecision, callerAddress: string | undefined) {
        const requests: SlotRequest[] = [];
        const received: Received = { bytes: 0, brokenOff: false };
        const forwarder = createTestForwarder([], { grants: [], ends: [], requestCount: 0 }, {
            admission: { enter: (request) => {
                requests.push(request);
                return Promise.resolve(decision);
            } },
            sharesScarceCapacity,
        });
        await forwarder.serve({ ...createCall(plain, received), callerAddress });
        return { callers: requests.map(({ caller }) => caller), refusal: received.refusal };
    }

    const refused: SlotDecision = { kind: "refused", reason: "overloaded", retryAfterMs: 100 };

    it("names the caller to the queue only where capacity is shared, and only if its address is known", async () => {
        expect((await refuseAt(true, refused, "10.0.0.9")).callers).to.deep.equal([hashCaller("10.0.0.9")]);
        expect((await refuseAt(true, refused, undefined)).callers).to.deep.equal([undefined]);
        expect((await refuseAt(undefined, refused, "10.0.0.9")).callers).to.deep.equal([undefined]);
    });

    it("refuses with a reason of its own if slots were reserved, with the queue's retry time, which explain describes", async () => {
        expect((await refuseAt(true, { ...refused, isReserved: true }, "10.0.0.9")).refusal).to.include(
            { reason: "capacity-reserved", retryAfterMs: 100 });
        expect((await refuseAt(true, refused, "10.0.0.9")).refusal).to.include({ reason: "overloaded" });
        const line = JSON.stringify({
            name: "hornbeam-host", hostname: "h1", msg: "request: refused", time: "2026-01-01T00:00:00.000Z", request: "r1",
            reason: "capacity-reserved",
        });
        expect(explain("r1", [line]).lines.at(-1)).to.include("Room reserved for more urgent requests");
    });
});

describe("hash of a caller", () => {
    it("is a known one, so that all hosts and versions agree, and the same for both notations of an IPv4 address", () => {
        expect(hashCaller("")).to.equal(2_872_998_923);
        expect(hashCaller("a")).to.equal(444_641_715);
        expect(hashCaller("::ffff:10.0.0.9")).to.equal(hashCaller("10.0.0.9"));
        expect(hashCaller("10.0.0.9")).to.not.equal(hashCaller("10.0.0.8"));
    });
});
