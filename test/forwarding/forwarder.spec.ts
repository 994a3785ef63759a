import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { ScriptedQueue } from "./forwarderUnderTest.js";
import { createTestForwarder, keyed, plain, serve, useScriptedTargets } from "./forwarderUnderTest.js";

describe("forwarding", () => {
    const target = useScriptedTargets();

    it("never uses a slot at a target that this host knows to be shutting down, even if the queue's host does not know it yet", async () => {
        const leavingTarget = await target("t-1", { afterMs: 1 });
        const other = await target("t-2", { afterMs: 1 });
        const queue: ScriptedQueue = { grants: [leavingTarget.targetId, other.targetId], ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([leavingTarget, other], queue, {}, [leavingTarget.targetId]), plain);
        expect(received).to.deep.equal({ status: 200, bytes: 2, brokenOff: false });
        expect(leavingTarget.arrivedMs).to.deep.equal([]);
        expect(queue.ends.map(({ kind }) => kind)).to.deep.equal(["dropped", "answered"]);
    });

    it("refuses a request if the queue grants slots only at a target that is shutting down", async () => {
        const leavingTarget = await target("t-1", { afterMs: 1 });
        const queue: ScriptedQueue = { grants: Array.from({ length: 9 }, () => leavingTarget.targetId), ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([leavingTarget], queue, {}, [leavingTarget.targetId]), plain);
        expect(received.refusal?.reason).to.equal("no-target");
        expect(leavingTarget.arrivedMs).to.deep.equal([]);
        expect(queue.requestCount).to.be.below(5);
    });

    it("refuses keyed requests at once, without sending them, while the key's owner asks this host to back off", async () => {
        const overloaded = await target("t-1", { afterMs: 1, status: 503, headers: "not-run: 1\r\npause: 800\r\n" });
        const queue: ScriptedQueue = { grants: Array.from({ length: 9 }, () => overloaded.targetId), ends: [], requestCount: 0 };
        const forwarder = createTestForwarder([overloaded], queue);
        const first = await serve(forwarder, keyed);
        const startedMs = performance.now();
        const second = await serve(forwarder, keyed);
        expect([first.refusal?.reason, second.refusal?.reason]).to.deep.equal(["target-paused", "target-paused"]);
        expect(performance.now() - startedMs).to.be.below(50);
        expect(second.refusal?.retryAfterMs).to.be.within(50, 800);
        expect(overloaded.arrivedMs).to.have.length(1);
        expect(queue.ends).to.deep.equal([{ kind: "turned-away", pauseMs: 800 }]);
    });

    it("returns a slot at a target that asked this host to back off, and uses another target", async () => {
        const overloaded = await target("t-1", { afterMs: 1, status: 503, headers: "not-run: 1\r\npause: 800\r\n" });
        const other = await target("t-2", { afterMs: 1 });
        const queue: ScriptedQueue = {
            grants: [overloaded.targetId, other.targetId, overloaded.targetId, other.targetId], ends: [], requestCount: 0,
        };
        const forwarder = createTestForwarder([overloaded, other], queue);
        expect((await serve(forwarder, plain)).status).to.equal(200);
        expect((await serve(forwarder, plain)).status).to.equal(200);
        expect([overloaded.arrivedMs.length, other.arrivedMs.length]).to.deep.equal([1, 2]);
    });

    it("sends no new requests to a target once the drain time after its shutdown notice is over", async () => {
        const leaving = await target("t-1", { afterMs: 1, headers: "leaving: 1\r\n" });
        const other = await target("t-2", { afterMs: 1 });
        const queue: ScriptedQueue = {
            grants: [leaving.targetId, leaving.targetId, leaving.targetId, other.targetId], ends: [], requestCount: 0,
        };
        const forwarder = createTestForwarder([leaving, other], queue);
        await serve(forwarder, plain);
        await serve(forwarder, plain);
        await sleep(120);
        await serve(forwarder, plain);
        expect([leaving.arrivedMs.length, other.arrivedMs.length]).to.deep.equal([2, 1]);
    });

    it("abandons a rejection whose body does not end, and tells the client that the request did not run", async () => {
        const endless = await target("t-1", {
            afterMs: 1, status: 503, headers: "not-run: 1\r\n", pieces: [{ afterMs: 0, bytes: 90_000 }, { afterMs: 5_000, bytes: 1 }],
        });
        const queue: ScriptedQueue = { grants: [endless.targetId, "refused"], ends: [], requestCount: 0 };
        const startedMs = performance.now();
        const received = await serve(createTestForwarder([endless], queue), plain);
        expect(received.refusal?.reason).to.equal("overloaded");
        expect(performance.now() - startedMs).to.be.below(500);
    });

    it("does not give up a slow attempt if there is no slot for a retry", async () => {
        const slow = await target("t-1", { afterMs: 700 });
        const queue: ScriptedQueue = { grants: [slow.targetId, "refused"], ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([slow], queue), plain);
        expect(received).to.deep.equal({ status: 200, bytes: 2, brokenOff: false });
        expect(slow.abortedMs).to.deep.equal([]);
    });

    it("does not give up a slow attempt if the retry budget is exhausted, and returns the slot for the retry", async () => {
        const slow = await target("t-1", { afterMs: 700 });
        const other = await target("t-2", { afterMs: 1 });
        const queue: ScriptedQueue = { grants: [slow.targetId, other.targetId], ends: [], requestCount: 0 };
        const retries = { onRequest: () => undefined, take: () => false, left: () => 0 };
        const received = await serve(createTestForwarder([slow, other], queue, { retries }), plain);
        expect(received.status).to.equal(200);
        expect(other.arrivedMs).to.deep.equal([]);
        expect(queue.ends.map(({ kind }) => kind).sort()).to.deep.equal(["answered", "dropped"].slice(0, queue.ends.length));
    });

    it("gives up a slow attempt once there is a slot at another target", async () => {
        const silent = await target("t-1", { afterMs: 2_400 });
        const other = await target("t-2", { afterMs: 1 });
        const queue: ScriptedQueue = { grants: [silent.targetId, other.targetId], ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([silent, other], queue), plain);
        expect(received).to.deep.equal({ status: 200, bytes: 2, brokenOff: false });
        expect(other.arrivedMs).to.have.length(1);
        expect(queue.ends.map(({ kind }) => kind)).to.deep.equal(["late", "answered"]);
    });

    it("retries a keyed request at the key's owner in the same slot", async () => {
        const owner = await target("t-1", { afterMs: 2_400 }, { afterMs: 1 });
        const queue: ScriptedQueue = { grants: [owner.targetId, "refused"], ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([owner], queue), keyed);
        expect(received).to.deep.equal({ status: 200, bytes: 2, brokenOff: false });
        expect(owner.arrivedMs).to.have.length(2);
        expect(queue).to.deep.include({
            requestCount: 1, ends: [{ kind: "answered", tookMs: (queue.ends[0] as { tookMs: number }).tookMs }],
        });
    });

    it("retries a keyed request at an owner with a rate limit only if the queue grants that request too", async () => {
        const limited = await target("t-1", { afterMs: 1, headers: "limit: 2\r\n" }, { afterMs: 900, headers: "limit: 2\r\n" });
        const queue: ScriptedQueue = { grants: [limited.targetId, limited.targetId, "refused"], ends: [], requestCount: 0 };
        const forwarder = createTestForwarder([limited], queue);
        await serve(forwarder, keyed);
        expect((await serve(forwarder, keyed)).status).to.equal(200);
        expect([limited.arrivedMs.length, queue.requestCount]).to.deep.equal([2, 3]);
    });

    // It came to the same target three times within 80 ms.
    it("sends a request that its key's owner rejects for not holding the key there again only after growing pauses", async () => {
        const rejection = { afterMs: 1, status: 421, headers: "not-run: 1\r\n" };
        const owner = await target("t-1", rejection, rejection, rejection, { afterMs: 1 });
        const queue: ScriptedQueue = { grants: Array.from({ length: 4 }, () => owner.targetId), ends: [], requestCount: 0 };
        expect((await serve(createTestForwarder([owner], queue), keyed)).status).to.equal(200);
        const [first = 0, second = 0, third = 0, fourth = 0] = owner.arrivedMs;
        expect(second - first).to.be.at.least(49);
        expect(third - second).to.be.at.least(149);
        expect(fourth - third).to.be.at.least(449);
    });

    it("does not interrupt a slow response after a part of it has been sent to the client", async () => {
        const bulk = await target("t-1", { afterMs: 1, pieces: [{ afterMs: 0, bytes: 300_000 }, { afterMs: 600, bytes: 10 }] });
        const queue: ScriptedQueue = { grants: [bulk.targetId, bulk.targetId], ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([bulk], queue), plain);
        expect(received).to.deep.equal({ status: 200, bytes: 300_010, brokenOff: false });
    });

    it("delivers a target's error response if there is no slot for a retry", async () => {
        const failing = await target("t-1", { afterMs: 1, status: 500 });
        const queue: ScriptedQueue = { grants: [failing.targetId, "refused"], ends: [], requestCount: 0 };
        const received = await serve(createTestForwarder([failing], queue), plain);
        expect(received).to.deep.equal({ status: 500, bytes: 2, brokenOff: false });
    });
});
