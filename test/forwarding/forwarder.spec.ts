import { once } from "node:events";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { SlotDecision } from "../../src/admission/admissionClient.js";
import type { WorkEnd } from "../../src/admission/targetRecord.js";
import type { AnswerHead, ClientCall, Refusal } from "../../src/entry/clientCall.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { RequestFingerprints } from "../../src/crashes/requestFingerprint.js";
import { computeFingerprints } from "../../src/crashes/requestFingerprint.js";
import { statusByReason } from "../../src/entry/clientHttp.js";
import { createConnectionPool } from "../../src/forwarding/connectionPool.js";
import type { Forwarder, ForwarderDependencies } from "../../src/forwarding/forwarder.js";
import { createForwarder } from "../../src/forwarding/forwarder.js";
import { headerOf } from "../../src/forwarding/responseParser.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { Address, DataCentreId, Key, Offset, RequestId, RouteId, ServiceId, TargetId } from "../../src/model/names.js";
import { Signal } from "../../src/model/signal.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { Splitter } from "../../src/routing/splitter.js";
import { ClusterView } from "../../src/store/clusterView.js";

const systemClock = createSystemClock();
const dataCentreId = "dc-1" as DataCentreId;
const keyed = "keyed" as ServiceId;
const plain = "plain" as ServiceId;
const leaseOwner = "t-1" as TargetId;

/** How a target responds to a request. Reactions are used in order; the last one also applies to all further requests. */
type Reaction = { afterMs: number; status?: number; headers?: string; pieces?: readonly { afterMs: number; bytes: number }[] };

interface ScriptedTarget {
    targetId: TargetId;
    address: Address;
    /** Times at which requests arrived, and at which connections were closed before their requests had been answered. */
    arrivedMs: number[];
    abortedMs: number[];
    stop(): void;
}

async function startTarget(targetId: string, reactions: readonly Reaction[]): Promise<ScriptedTarget> {
    const arrivedMs: number[] = [];
    const abortedMs: number[] = [];
    const sockets = new Set<net.Socket>();
    const server = net.createServer((socket) => {
        sockets.add(socket);
        let pending = 0;
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            if (pending > 0) {
                abortedMs.push(performance.now());
            }
        });
        socket.on("data", () => {
            const reaction = reactions[Math.min(arrivedMs.length, reactions.length - 1)] as Reaction;
            arrivedMs.push(performance.now());
            pending += 1;
            void answer(socket, reaction).then(() => {
                pending -= 1;
            });
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    return {
        targetId: targetId as TargetId, address: `127.0.0.1:${String(port)}` as Address, arrivedMs, abortedMs,
        stop: () => {
            server.close();
            sockets.forEach((socket) => socket.destroy());
        },
    };
}

async function answer(socket: net.Socket, { afterMs, status = 200, headers = "", pieces = [{ afterMs: 0, bytes: 2 }] }: Reaction): Promise<void> {
    await sleep(afterMs);
    const bytes = pieces.reduce((sum, piece) => sum + piece.bytes, 0);
    socket.write(`HTTP/1.1 ${String(status)} Some\r\n${headers}Content-Length: ${String(bytes)}\r\n\r\n`);
    for (const piece of pieces) {
        await sleep(piece.afterMs);
        socket.write(Buffer.alloc(piece.bytes, "x"));
    }
}

const config: RoutingConfig = {
    version: 1,
    routes: [keyed, plain].map((serviceId) => ({
        routeId: serviceId as string as RouteId, hostName: "h", pathPrefix: `/${serviceId}/`, idempotent: true, timeoutMs: 2_500,
        targetLatencyMs: 100, priority: 1, maxAttempts: 2, backends: [{ serviceId, weight: 1 }],
    })),
    services: [keyed, plain].map((serviceId) => ({
        serviceId, healthPath: "/", maxConnections: 10, sharded: serviceId === keyed, warmUpMs: 0,
    })),
    limits: { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

/** Simulated admission queue: grants the listed slots one by one, then refuses; counts requests and records how they ended. */
interface ScriptedQueue {
    grants: (TargetId | "refused")[];
    ends: WorkEnd[];
    requestCount: number;
}

function createTestForwarder(
    targets: readonly ScriptedTarget[], queue: ScriptedQueue, overrides: Partial<ForwarderDependencies> = {},
    leavingTargets: readonly TargetId[] = [],
): Forwarder {
    const view = new ClusterView();
    view.applyConfig(config, 1 as Offset, 1 as Offset);
    view.applyTargets(targets.map(({ targetId, address }, index) => ({
        targetId, offset: index as Offset,
        entry: {
            targetId, address, serviceId: plain, dataCentreId, slots: 4, state: "ready" as const, bornWallMs: 1, sequence: 1, warmingUp: false,
        },
    })), 9 as Offset, 0);
    view.applyTargets(leavingTargets.map((targetId) => ({ targetId, offset: 10 as Offset, entry: undefined })), 11 as Offset, 0);
    const enter = (): Promise<SlotDecision> => {
        queue.requestCount += 1;
        const grant = queue.grants.shift() ?? "refused";
        return Promise.resolve(grant === "refused"
            ? { kind: "refused", reason: "overloaded", retryAfterMs: 100 }
            : { kind: "granted", targetId: grant, expectedMs: 20, isRateLimited: false, leave: (end) => {
                queue.ends.push(end);
            } });
    };
    return createForwarder({
        view,
        pool: createConnectionPool(systemClock, () => undefined),
        dialect: {
            reservedHeaders: new Set(), headersFor: () => [], isAnswerTo: () => true,
            classify: (head) => headerOf(head.rawHeaders, "not-run") === undefined ? "answer" : "not-run",
            noticeOf: (head) => {
                const pause = headerOf(head.rawHeaders, "pause");
                const limit = headerOf(head.rawHeaders, "limit");
                return {
                    isLeaving: headerOf(head.rawHeaders, "leaving") !== undefined, pauseMs: pause === undefined ? undefined : Number(pause),
                    rateLimit: limit === undefined ? { kind: "none" } : { kind: "stated", requestsPerSecond: Number(limit) },
                };
            },
        },
        clock: systemClock,
        owners: { changed: new Signal(), find: () => ({ kind: "owned", targetId: leaseOwner }) } as unknown as ForwarderDependencies["owners"],
        admission: { enter },
        splitter: new Splitter(() => 0),
        retries: { onRequest: () => undefined, take: () => true },
        loads: { count: () => undefined } as unknown as ForwarderDependencies["loads"],
        requestLog: { answered: () => undefined, refused: () => undefined, retried: () => undefined, clientLeft: () => undefined,
            targetLeaving: () => undefined, targetPauseRequested: () => undefined,
            attemptEnded: () => undefined, targetRateLimitChanged: () => undefined },
        crashObserver: {
            observed: new Signal(), takeUnreported: () => undefined,
            attemptLost: () => Promise.resolve(), attemptCompleted: () => undefined,
        },
        crashEvidence: new CrashEvidence(),
        requestTrial: () => Promise.resolve({ kind: "unavailable" }),
        isInContact: () => true,
        dataCentreId, drainMs: 100,
        random: () => 0.5,
        ...overrides,
    });
}

/** What the client received. */
interface Received {
    status?: number;
    refusal?: Refusal;
    bytes: number;
    brokenOff: boolean;
}

function createCall(serviceId: ServiceId, received: Received, clientLeft = new AbortController().signal): ClientCall {
    const begin = ({ status }: AnswerHead) => {
        received.status = status;
    };
    return {
        requestId: "r-1" as RequestId, method: "GET", path: `/${serviceId}/a`, hostName: "h", key: serviceId === keyed ? 7 as Key : undefined,
        budgetMs: 2_000, receivedAt: systemClock.now(), forwardHeaders: [],
        body: {
            collect: () => Promise.resolve(Buffer.alloc(0)), next: () => Promise.resolve(undefined),
            declaredBytes: 0, start: Buffer.alloc(0),
        },
        clientLeft,
        refuse: (refusal) => {
            received.refusal = refusal;
        },
        answer: (head, body) => {
            begin(head);
            received.bytes += body.length;
        },
        beginAnswer: begin,
        writeAnswer: (piece) => {
            received.bytes += piece.length;
            return Promise.resolve();
        },
        finishAnswer: () => undefined,
        abortAnswer: () => {
            received.brokenOff = true;
        },
    };
}

describe("forwarding", () => {
    const startedTargets: ScriptedTarget[] = [];
    const target = async (targetId: string, ...reactions: readonly Reaction[]): Promise<ScriptedTarget> => {
        const started = await startTarget(targetId, reactions);
        startedTargets.push(started);
        return started;
    };
    const serve = async (forwarder: Forwarder, serviceId: ServiceId): Promise<Received> => {
        const received: Received = { bytes: 0, brokenOff: false };
        await forwarder.serve(createCall(serviceId, received));
        return received;
    };

    afterEach(() => {
        startedTargets.splice(0).forEach(({ stop }) => {
            stop();
        });
    });

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
        const retries = { onRequest: () => undefined, take: () => false };
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
