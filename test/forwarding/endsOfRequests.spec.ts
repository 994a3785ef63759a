import { expect } from "chai";
import type { ForwarderDependencies } from "../../src/forwarding/forwarder.js";
import { Signal } from "../../src/model/signal.js";
import type { Reaction, ScriptedQueue, ScriptedTarget } from "./forwarderUnderTest.js";
import { createCall, createTestForwarder, plain, serve, silentRequestLog, systemClock, useScriptedTargets } from "./forwarderUnderTest.js";

describe("forwarding", () => {
    const target = useScriptedTargets();

    describe("of a response that is streamed to the client", () => {
        /** What was recorded about requests: the outcome and, of a complete response, its status. */
        const recordedBy = async (pieces: NonNullable<Reaction["pieces"]>, endTarget?: (started: ScriptedTarget) => void, leavesAfterMs?: number) => {
            const bulk = await target("t-1", { afterMs: 1, pieces });
            const queue: ScriptedQueue = { grants: [bulk.targetId], ends: [], requestCount: 0 };
            const recorded: string[] = [];
            const lost: string[] = [];
            const forwarder = createTestForwarder([bulk], queue, {
                requestLog: {
                    ...silentRequestLog,
                    answered: (_call, _route, _targets, status) => recorded.push(`answered ${String(status)}`),
                    brokenOff: () => recorded.push("broken off"),
                    clientLeft: () => recorded.push("client left"),
                },
                crashObserver: {
                    observed: new Signal(), takeUnreported: () => undefined, attemptCompleted: () => undefined,
                    attemptLost: ({ why }) => {
                        lost.push(why);
                        return Promise.resolve();
                    },
                },
            });
            const clientLeft = new AbortController();
            if (endTarget !== undefined) {
                setTimeout(endTarget, 100, bulk);
            }
            if (leavesAfterMs !== undefined) {
                setTimeout(() => {
                    clientLeft.abort();
                }, leavesAfterMs);
            }
            await forwarder.serve(createCall(plain, { bytes: 0, brokenOff: false }, clientLeft.signal));
            return { recorded, lost: lost.length, ends: queue.ends.map(({ kind }) => kind) };
        };
        const beyondBuffer = { afterMs: 0, bytes: 300_000 };
        const late = { afterMs: 400, bytes: 10 };

        it("records a complete one as answered", async () => {
            expect(await recordedBy([beyondBuffer])).to.deep.equal({ recorded: ["answered 200"], lost: 0, ends: ["answered"] });
        });

        it("records one that breaks off as broken off", async () => {
            expect(await recordedBy([beyondBuffer, late], ({ stop }) => {
                stop();
            })).to.deep.equal({ recorded: ["broken off"], lost: 1, ends: ["lost"] });
        });

        it("records one whose client leaves as that, and doesn't hold it against the target", async () => {
            expect(await recordedBy([beyondBuffer, late], undefined, 100)).to.deep.equal({ recorded: ["client left"], lost: 0, ends: ["dropped"] });
        });
    });

    it("refuses a request that waits for a slot as soon as this host stops, if it may last longer than the host", async () => {
        const enter: ForwarderDependencies["admission"]["enter"] = (_request, signal) => new Promise((resolve) => {
            signal.addEventListener("abort", () => {
                resolve({ kind: "refused", reason: "withdrawn", retryAfterMs: 0 });
            });
        });
        const queue: ScriptedQueue = { grants: [], ends: [], requestCount: 0 };
        const forwarder = createTestForwarder([], queue, { admission: { enter } });
        const startedMs = performance.now();
        const answer = serve(forwarder, plain);
        setTimeout(() => {
            forwarder.startShutdown(systemClock.now().monoMs + 1_000);
        }, 50);
        expect((await answer).refusal?.reason).to.equal("stopping");
        expect((await serve(forwarder, plain)).refusal?.reason).to.equal("stopping");
        expect(performance.now() - startedMs).to.be.below(500);
    });
});
