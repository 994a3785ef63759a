import { expect } from "chai";
import fc from "fast-check";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import { createAdmissionServer } from "../../src/admission/admissionServer.js";
import { createAdmissionChecks } from "../../src/admission/messageChecks.js";
import type { EnterReply } from "../../src/admission/messages.js";
import type { QueueHosts } from "../../src/admission/queueHosts.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import type { Address, DataCentreId, Offset, ServiceId, TargetId } from "../../src/model/names.js";
import type { LogFields } from "../../src/observe/log.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { oddNumbers } from "../support/oddValues.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Seed of the property tests, so that a failure comes again. */
const seed = 42;
const runCount = 2_000;

const maxLineChars = 1_000;
const targetId = "t-1" as TargetId;
const group = { kind: "target", targetId };

const enter = {
    ticket: "run-1a", sender: "h2", group, priority: 1, workMs: 80, targetLeftMs: 300, deadlineLeftMs: 2_000, near: "here", avoid: ["t-2"],
    rateLimits: [{ targetId, bornWallMs: 1, requestsPerSecond: 2.5, ageMs: 10 }], suspect: "abc",
};
const leave = { group, ticket: "run-1a", end: { kind: "answered", tookMs: 90 }, rateLimit: { targetId, bornWallMs: 1, requestsPerSecond: 2, ageMs: 0 } };

const anyMessageValue = fc.oneof(
    fc.constantFrom<unknown>(...oddNumbers, Number.NaN, Number.POSITIVE_INFINITY, 5n, undefined, "", "\r\n", [], {}, [[]], true, "x".repeat(100_000)),
    fc.double(), fc.string(), fc.anything({ maxDepth: 2 }));

/** A queue's host with one target that has one slot, which another host asks for slots. */
function setUp() {
    const clock = new VirtualClock();
    const view = new ClusterView();
    view.applyTargets([{ targetId, offset: 0 as Offset, entry: {
        targetId, serviceId: "s" as ServiceId, address: "t1:80" as Address, dataCentreId: "here" as DataCentreId, slots: 1, state: "ready",
        bornWallMs: 1, sequence: 1, warmingUp: false,
    } }], 1 as Offset, 0);
    const lines: LogFields[] = [];
    const server = createAdmissionServer({
        view, clock, random: () => 0.5, coldAfterReturnMs: 2_600, drainMs: 1_000, isSilent: () => false,
        queueHosts: { rateLimitShare: () => 1 } as unknown as QueueHosts,
        log: { info: () => undefined, error: () => undefined, warn: (_event, fields) => lines.push(fields ?? {}) },
    });
    const stop = new AbortController();
    void server.run(stop.signal);
    const from = { address: "h2:1", closed: new Promise(() => undefined) } as unknown as PeerConnection;
    const send = async (method: string, message: unknown) => server.handlers()[method]?.(message as never, from) as unknown;
    return { clock, lines, send, stop };
}

/** Returns the reply to a proper request, or what is wrong. */
async function askProperly({ clock, send }: ReturnType<typeof setUp>, ticket: string): Promise<EnterReply | undefined> {
    const replies: EnterReply[] = [];
    void send("enter", { ...enter, ticket, rateLimits: [], suspect: undefined }).then((reply) => replies.push(reply as EnterReply));
    await clock.advance(60);
    return replies[0];
}

describe("odd messages for admission", () => {
    it("are answered with an error that names the field, and leave the queue as it was", async () => {
        const host = setUp();
        const odd: [field: string, value: unknown][] = [
            ["deadlineLeftMs", Number.NaN], ["deadlineLeftMs", "2000"], ["targetLeftMs", 1e300], ["workMs", -1], ["workMs", Number.NaN],
            ["priority", 0.5], ["group", undefined], ["group", { kind: "zone", targetId }], ["group", { kind: "target" }], ["ticket", ""],
            ["ticket", 7], ["near", "a\r\nb"], ["avoid", "t-1"], ["avoid", ["a b"]], ["suspect", "\n"], ["sender", {}],
        ];
        for (const [field, value] of odd) {
            const message = await host.send("enter", { ...enter, [field]: value }).then(String, (error: unknown) => String(error));
            expect(message, `${field} ${String(value)}`).to.include(`peer-call with h2:1 invalid: enter: ${field}`);
        }
        for (const message of [undefined, 5, [], "enter", { ...leave, ticket: undefined }]) {
            await host.send("leave", message);
            await host.send("withdraw", message);
        }
        expect(await askProperly(host, "proper")).to.deep.include({ granted: targetId });
        host.stop.abort();
    });

    it("free the slot of a request whose end can't be meant, which then counts as never sent", async () => {
        const host = setUp();
        const oddEnds = [
            undefined, { kind: "answered" }, { kind: "answered", tookMs: Number.NaN }, { kind: "eaten" }, { kind: "turned-away", pauseMs: 1e300 },
        ];
        for (const end of oddEnds) {
            const ticket = `before-${JSON.stringify(end) ?? ""}`;
            expect(await askProperly(host, ticket), ticket).to.deep.include({ granted: targetId, expectedMs: enter.workMs });
            await host.send("leave", { group, ticket, end });
        }
        host.stop.abort();
    });

    it("lose only the rate limits in them that can't be meant", () => {
        const checks = createAdmissionChecks(silentLog, new VirtualClock());
        const [limit] = enter.rateLimits;
        const oddFields = [{ requestsPerSecond: Number.NaN }, { requestsPerSecond: -1 }, { ageMs: -1 }, { targetId: 4 }];
        const odd = [...oddFields.map((fields) => ({ ...limit, ...fields })), 5];
        const checked = checks.enter({ ...enter, rateLimits: [...odd, limit] }, "h2:1")._unsafeUnwrap();
        expect(checked).to.deep.equal(enter);
        expect(checks.leave({ ...leave, rateLimit: odd[0] }, "h2:1")).to.deep.equal({ group, ticket: leave.ticket, end: leave.end });
    });

    // A target states 0 when it takes nothing; without it the queue's host lets all hosts send there.
    it("keep a rate limit of 0", () => {
        const checks = createAdmissionChecks(silentLog, new VirtualClock());
        const closed = { ...enter.rateLimits[0], requestsPerSecond: 0 };
        expect(checks.enter({ ...enter, rateLimits: [closed] }, "h2:1")._unsafeUnwrap().rateLimits).to.deep.equal([closed]);
        expect(checks.leave({ ...leave, rateLimit: closed }, "h2:1")).to.deep.include({ rateLimit: closed });
    });

    it("leave at most one line of bounded length a second", async () => {
        const { clock, lines, send, stop } = setUp();
        for (let index = 0; index < 100; index++) {
            await send("withdraw", { group: { kind: "x".repeat(100_000) }, ticket: "t".repeat(100_000) });
            await clock.advance(50);
        }
        stop.abort();
        expect(lines.length).to.be.within(2, 6);
        expect(Math.max(...lines.map((line) => JSON.stringify(line).length))).to.be.below(maxLineChars);
        expect(lines[1]).to.deep.include({ part: "withdraw", peer: "h2:1" });
    });

    it("never make the checks throw, or pass on a number outside its range", () => {
        const checks = createAdmissionChecks(silentLog, new VirtualClock());
        fc.assert(fc.property(fc.constantFrom(...Object.keys(enter)), anyMessageValue, (field, value) => {
            checks.enter({ ...enter, [field]: value }, "h2:1").map((params) => {
                expect([params.workMs, params.priority].every((number) => number >= 0 && number <= 1e9)).to.equal(true);
                expect([params.targetLeftMs, params.deadlineLeftMs].every((number) => Math.abs(number) <= 1e9)).to.equal(true);
                const rates = (params.rateLimits ?? []).map(({ requestsPerSecond }) => requestsPerSecond);
                expect(rates.every((rate) => rate >= 0 && rate <= 1e9)).to.equal(true);
            });
            checks.leave({ ...leave, [field]: value, end: value }, "h2:1");
            checks.withdraw(value, "h2:1");
            checks.reply({ granted: "t-1", expectedMs: value }, "h2:1").map((reply) => {
                expect("granted" in reply && reply.expectedMs >= 0 && reply.expectedMs <= 1e9).to.equal(true);
            });
        }), { seed, numRuns: runCount });
    });

    it("are told from proper ones, which stay as they are", () => {
        const checks = createAdmissionChecks(silentLog, new VirtualClock());
        expect(checks.enter(enter, "h2:1")._unsafeUnwrap()).to.deep.equal(enter);
        const least = Object.fromEntries(Object.entries(enter).filter(([field]) => !["sender", "rateLimits", "suspect"].includes(field)));
        expect(checks.enter(least, "h2:1")._unsafeUnwrap()).to.deep.equal(least);
        const ends = [
            leave.end, { kind: "turned-away" }, { kind: "turned-away", pauseMs: 5 }, { kind: "late", afterMs: 3 }, { kind: "unreachable" },
            { kind: "lost" }, { kind: "dropped" },
        ];
        for (const end of ends) {
            expect(checks.leave({ ...leave, end }, "h2:1")).to.deep.equal({ ...leave, end });
        }
        expect(checks.withdraw({ group, ticket: "a" }, "h2:1")).to.deep.equal({ group, ticket: "a" as Ticket });
        for (const reply of [{ granted: "t-1", expectedMs: 4.5, rateLimited: true }, { refused: "paused", retryAfterMs: 3.2 }, { unready: true }]) {
            expect(checks.reply(reply, "h2:1")._unsafeUnwrap()).to.deep.equal(reply);
        }
    });
});
