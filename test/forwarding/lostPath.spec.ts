import { expect } from "chai";
import type { TargetPaths } from "../../src/forwarding/pathWatch.js";
import type { ScriptedQueue, Received } from "./forwarderUnderTest.js";
import { createCall, createTestForwarder, plain, silentRequestLog, useScriptedTargets } from "./forwarderUnderTest.js";
import { openPaths } from "./openPaths.js";

/** Time until the scripted target answers; what is sent over the broken path is not answered in these tests. */
const neverMs = 60_000;
const lateMs = 900;

/** Paths over which nothing arrives; the first check finds that they are broken. */
function brokenPaths(): TargetPaths & { checks: number } {
    const paths = {
        ...openPaths, checks: 0, isQuiet: () => true, pathTo: () => paths.checks > 0 ? "severed" as const : "open" as const,
        check: () => {
            paths.checks += 1;
            return Promise.resolve();
        },
    };
    return paths;
}

describe("an attempt whose path to the target is broken", () => {
    const target = useScriptedTargets();

    /** Plays a request whose target answers after some time. A body that is streamed can't be sent again. */
    const play = async (afterMs: number, isStreamed: boolean, paths: TargetPaths = brokenPaths()) => {
        const first = await target("t-1", { afterMs });
        const second = await target("t-2", { afterMs: 1 });
        const queue: ScriptedQueue = { grants: [first.targetId, second.targetId], ends: [], requestCount: 0 };
        const lost: boolean[] = [];
        const startedMs = performance.now();
        const releasedMs: number[] = [];
        const forwarder = createTestForwarder([first, second], queue, {
            paths, requestLog: { ...silentRequestLog, pathLost: (_call, _target, isEnded) => {
                lost.push(isEnded);
                setTimeout(() => releasedMs.push(queue.ends.length), 50);
            } },
        });
        const received: Received = { bytes: 0, brokenOff: false };
        const call = createCall(plain, received);
        const collect = () => Promise.resolve(isStreamed ? "too-long" as const : Buffer.alloc(0));
        await forwarder.serve({ ...call, body: { ...call.body, collect } });
        return { received, queue, lost, tookMs: performance.now() - startedMs, endsSoonAfterLoss: releasedMs };
    };

    it("is sent again well before its deadline if it may be, and gives its slot back without blaming the target", async () => {
        const { received, queue, lost, tookMs } = await play(neverMs, false);
        expect(received.status).to.equal(200);
        expect(lost).to.deep.equal([true]);
        expect(queue.ends.map(({ kind }) => kind)).to.deep.equal(["dropped", "answered"]);
        expect(tookMs).to.be.below(1_000);
    });

    it("waits for its answer if it may not be sent again, but gives its slot back meanwhile", async () => {
        const { received, queue, lost, endsSoonAfterLoss } = await play(lateMs, true);
        expect(received.status).to.equal(200);
        expect(lost).to.deep.equal([false]);
        expect(queue.ends.map(({ kind }) => kind)).to.deep.equal(["dropped"]);
        expect(endsSoonAfterLoss).to.deep.equal([1]);
    });

    it("goes on while other targets are heard from, however long it takes", async () => {
        const { received, queue, lost } = await play(lateMs, true, openPaths);
        expect(received.status).to.equal(200);
        expect(lost).to.deep.equal([]);
        expect(queue.ends.map(({ kind }) => kind)[0]).to.not.equal("dropped");
    });
});
