import { expect } from "chai";
import { HostPair } from "./hostPair.js";

describe("admission server", () => {
    it("withdraws only requests that wait or hold a slot when a connection closes, none that were refused", async () => {
        const pair = new HostPair();
        expect((await pair.enter()).kind).to.equal("granted");
        for (let count = 0; count < 50; count++) {
            expect(await pair.enter(60)).to.include({ kind: "refused" });
        }
        const usesBefore = pair.queueUseCount;
        await pair.reconnect();
        expect(pair.queueUseCount - usesBefore).to.equal(1);
        expect((await pair.enter()).kind, "the slot is free again").to.equal("granted");
    });

    it("keeps a host's back-off from a target when the host connects anew", async () => {
        const pair = new HostPair();
        const decision = await pair.enter();
        if (decision.kind !== "granted") {
            throw new Error("no slot");
        }
        decision.leave({ kind: "turned-away", pauseMs: 900 });
        await pair.clock.advance(100);
        expect(await pair.enter()).to.include({ kind: "refused", reason: "paused" });
        await pair.reconnect();
        expect(await pair.enter()).to.include({ kind: "refused", reason: "paused" });
        expect((await pair.enter(5_000, "other")).kind, "other hosts may use the target").to.equal("granted");
    });

    it("gets a slot back whose reply did not reach the host that asked for it", async () => {
        const pair = new HostPair();
        pair.isLosingReplies = true;
        const lost = pair.enter(500);
        await pair.clock.advance(800);
        expect(await lost).to.include({ kind: "refused", reason: "no-host" });
        pair.isLosingReplies = false;
        const decisions: string[] = [];
        void pair.enter(5_000, "other").then(({ kind }) => decisions.push(kind));
        await pair.clock.advance(10);
        expect(decisions).to.deep.equal(["granted"]);
    });

    it("is not avoided by a host whose client left while its request waited", async () => {
        const pair = new HostPair();
        const first = await pair.enter();
        const clientLeft = new AbortController();
        const second = pair.enter(500, "asker", clientLeft.signal);
        await pair.clock.advance(10);
        clientLeft.abort();
        expect(await second).to.include({ kind: "refused", reason: "withdrawn" });
        await pair.clock.advance(800);
        if (first.kind === "granted") {
            first.leave({ kind: "answered", tookMs: 800 });
        }
        expect((await pair.enter()).kind).to.equal("granted");
    });

    it("gets a slot back that was granted after the client had left, before the connection was open", async () => {
        const pair = new HostPair();
        pair.delayConnection(100);
        const clientLeft = new AbortController();
        const left = pair.enter(5_000, "asker", clientLeft.signal);
        await pair.clock.advance(50);
        clientLeft.abort();
        expect(await left).to.include({ kind: "refused", reason: "withdrawn" });
        await pair.clock.advance(100);
        const decisions: string[] = [];
        void pair.enter(5_000, "other").then(({ kind }) => decisions.push(kind));
        await pair.clock.advance(10);
        expect(decisions).to.deep.equal(["granted"]);
    });

    it("grants slots again once a target answers that was silent when its queue was set up", async () => {
        const pair = new HostPair();
        pair.isTargetSilent = true;
        expect(await pair.enter()).to.include({ kind: "refused", reason: "no-target" });
        pair.isTargetSilent = false;
        expect((await pair.enter()).kind).to.equal("granted");
    });
});
