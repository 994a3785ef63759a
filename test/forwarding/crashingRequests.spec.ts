import { expect } from "chai";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { RequestFingerprints } from "../../src/crashes/requestFingerprint.js";
import { computeFingerprints } from "../../src/crashes/requestFingerprint.js";
import { statusByReason } from "../../src/entry/refusalStatus.js";
import type { ForwarderDependencies } from "../../src/forwarding/forwarder.js";
import type { Key, ServiceId, TargetId } from "../../src/model/names.js";
import { Signal } from "../../src/model/signal.js";
import type { ScriptedQueue } from "./forwarderUnderTest.js";
import { createTestForwarder, keyed, plain, serve, systemClock, useScriptedTargets } from "./forwarderUnderTest.js";

describe("forwarding", () => {
    const target = useScriptedTargets();

    describe("of a request that crashes its targets", () => {
        /** Evidence that requests with the content of `createCall` have crashed a number of targets so far. */
        const addCrashes = (evidence: CrashEvidence, fingerprints: RequestFingerprints, count: number) => {
            const nowMs = systemClock.now().monoMs;
            const crashes = Array.from({ length: count }, (_, index) => ({
                targetId: `gone-${String(index)}` as TargetId, bornWallMs: 1, serviceId: plain, agoMs: (count - index) * 1_000,
                requests: [{ ...fingerprints, sentAgoMs: (count - index) * 1_000 + 50 }], others: { asked: 5, down: [] },
            }));
            evidence.merge({ crashes, completions: [] }, nowMs);
        };
        const fingerprintsOfCall = (serviceId: ServiceId) => computeFingerprints({
            method: "GET", hostName: "h", path: `/${serviceId}/a`, key: serviceId === keyed ? 7 as Key : undefined, stableHeaders: [],
            bodyStart: Buffer.alloc(0), bodyBytes: 0,
        });

        it("is refused at once, says when to come back, and is never sent once it is known", async () => {
            const healthy = await target("t-1", { afterMs: 1 });
            for (const serviceId of [keyed, plain]) {
                const queue: ScriptedQueue = { grants: [healthy.targetId], ends: [], requestCount: 0 };
                const crashEvidence = new CrashEvidence();
                addCrashes(crashEvidence, fingerprintsOfCall(serviceId), 3);
                const received = await serve(createTestForwarder([healthy], queue, { crashEvidence }), serviceId);
                expect(received.refusal).to.deep.include({ reason: "quarantined", fingerprint: fingerprintsOfCall(serviceId).content });
                expect(received.refusal?.retryAfterMs).to.be.within(10_000, 15_000);
                expect(queue.requestCount).to.equal(0);
            }
            expect(healthy.arrivedMs).to.deep.equal([]);
            expect(statusByReason.quarantined).to.equal(503);
        });

        it("asks for a slot as a suspect after two crashes", async () => {
            const healthy = await target("t-1", { afterMs: 1 });
            const crashEvidence = new CrashEvidence();
            addCrashes(crashEvidence, fingerprintsOfCall(plain), 2);
            const suspects: unknown[] = [];
            const enter: ForwarderDependencies["admission"]["enter"] = ({ suspect }) => {
                suspects.push(suspect);
                return Promise.resolve({
                    kind: "granted", targetId: healthy.targetId, expectedMs: 20, isRateLimited: false, leave: () => undefined,
                });
            };
            const queue: ScriptedQueue = { grants: [], ends: [], requestCount: 0 };
            const forwarder = createTestForwarder([healthy], queue, { crashEvidence, admission: { enter } });
            expect((await serve(forwarder, plain)).status).to.equal(200);
            expect(suspects).to.deep.equal([fingerprintsOfCall(plain).content]);
        });

        it("is refused while it waits for a slot, as soon as it is known", async () => {
            const crashEvidence = new CrashEvidence();
            const enter: ForwarderDependencies["admission"]["enter"] = (_request, signal) => new Promise((resolve) => {
                signal.addEventListener("abort", () => {
                    resolve({ kind: "refused", reason: "withdrawn", retryAfterMs: 0 });
                });
            });
            const queue: ScriptedQueue = { grants: [], ends: [], requestCount: 0 };
            const startedMs = performance.now();
            const answer = serve(createTestForwarder([], queue, { crashEvidence, admission: { enter } }), plain);
            setTimeout(() => {
                addCrashes(crashEvidence, fingerprintsOfCall(plain), 3);
            }, 100);
            expect((await answer).refusal?.reason).to.equal("quarantined");
            expect(performance.now() - startedMs).to.be.within(90, 500);
        });

        it("is not said not to have run if it is quarantined after an attempt that was lost", async () => {
            const crashing = await target("t-1", { afterMs: 200 });
            const crashEvidence = new CrashEvidence();
            const queue: ScriptedQueue = { grants: [crashing.targetId, crashing.targetId], ends: [], requestCount: 0 };
            const crashObserver = {
                observed: new Signal(), takeUnreported: () => undefined, attemptCompleted: () => undefined,
                attemptLost: () => {
                    addCrashes(crashEvidence, fingerprintsOfCall(plain), 3);
                    return Promise.resolve();
                },
            };
            const forwarder = createTestForwarder([crashing], queue, { crashEvidence, crashObserver });
            setTimeout(() => {
                crashing.stop();
            }, 50);
            const received = await serve(forwarder, plain);
            expect(received.refusal?.reason).to.equal("lost");
            expect(crashing.arrivedMs).to.have.length(1);
            expect((await serve(forwarder, plain)).refusal?.reason).to.equal("quarantined");
        });
    });
});
