/** The forwarder on real connections, with targets that answer as scripted and a simulated admission queue. */
import { once } from "node:events";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { SlotDecision } from "../../src/admission/admissionClient.js";
import type { WorkEnd } from "../../src/admission/workEnd.js";
import type { AnswerHead, ClientCall, Refusal } from "../../src/entry/clientCall.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import { createConnectionPool } from "../../src/forwarding/connectionPool.js";
import type { Forwarder, ForwarderDependencies } from "../../src/forwarding/forwarder.js";
import { createForwarder } from "../../src/forwarding/forwarder.js";
import { headerOf } from "../../src/forwarding/responseHead.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { Address, DataCentreId, Key, Offset, RequestId, RouteId, ServiceId, TargetId } from "../../src/model/names.js";
import { Signal } from "../../src/model/signal.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import type { RequestLog } from "../../src/observe/requestLog.js";
import { Splitter } from "../../src/routing/splitter.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { directConnector, openPaths } from "./openPaths.js";

export const systemClock = createSystemClock();
const dataCentreId = "dc-1" as DataCentreId;
/** A service whose targets own keys, and one without keys. */
export const keyed = "keyed" as ServiceId;
export const plain = "plain" as ServiceId;
const leaseOwner = "t-1" as TargetId;

/** How a target responds to a request. Reactions are used in order; the last one also applies to all further requests. */
export type Reaction = { afterMs: number; status?: number; headers?: string; pieces?: readonly { afterMs: number; bytes: number }[] };

/** A target that answers as scripted. */
export interface ScriptedTarget {
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

/** Records nothing. */
export const silentRequestLog: RequestLog = {
    answered: () => undefined, refused: () => undefined, retried: () => undefined, brokenOff: () => undefined, clientLeft: () => undefined,
    targetLeaving: () => undefined, targetPauseRequested: () => undefined,
    attemptEnded: () => undefined, pathLost: () => undefined, responseUnproven: () => undefined, responsesSkipped: () => undefined,
    targetRateLimitChanged: () => undefined,
};

/** Each service has a route for requests that may run again, and one, `-order`, for those that may not. */
const config: RoutingConfig = {
    version: 1,
    routes: [keyed, plain].flatMap((serviceId) => [true, false].map((idempotent) => ({
        routeId: `${serviceId}${idempotent ? "" : "-order"}` as RouteId, hostName: "h",
        pathPrefix: `/${serviceId}${idempotent ? "" : "-order"}/`, idempotent, timeoutMs: 2_500,
        targetLatencyMs: 100, priority: 1, maxAttempts: 2, backends: [{ serviceId, weight: 1 }],
    }))),
    services: [keyed, plain].map((serviceId) => ({
        serviceId, healthPath: "/", maxConnections: 10, sharded: serviceId === keyed, warmUpMs: 0,
    })),
    limits: { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

/** Simulated admission queue: grants the listed slots one by one, then refuses; counts requests and records how they ended. */
export interface ScriptedQueue {
    grants: (TargetId | "refused")[];
    ends: WorkEnd[];
    requestCount: number;
}

/** Creates a forwarder to targets, which a simulated queue grants; other dependencies do nothing unless they are overridden. */
export function createTestForwarder(
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
    view.targets.confirm(systemClock.now().monoMs);
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
        view, usesDataCentreQueues: () => false,
        pool: createConnectionPool(systemClock, directConnector, () => undefined),
        paths: openPaths,
        dialect: {
            reservedHeaders: new Set(), headersFor: () => [], matchOf: () => "named",
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
        retries: { onRequest: () => undefined, take: () => true, left: () => 1 },
        loads: { count: () => undefined } as unknown as ForwarderDependencies["loads"],
        requestLog: silentRequestLog,
        crashObserver: {
            observed: new Signal(), takeUnreported: () => undefined,
            attemptLost: () => Promise.resolve(), attemptCompleted: () => undefined,
        },
        crashEvidence: new CrashEvidence(),
        requestTrial: () => Promise.resolve({ kind: "unavailable" }),
        returnTrial: () => undefined,
        isInContact: () => true,
        dataCentreId, drainMs: 100, configAgeMs: () => 0,
        random: () => 0.5,
        ...overrides,
    });
}

/** What a client received. */
export interface Received {
    status?: number;
    refusal?: Refusal;
    bytes: number;
    brokenOff: boolean;
}

/** Creates the call of a client. */
export function createCall(serviceId: ServiceId, received: Received, clientLeft = new AbortController().signal): ClientCall {
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
        awaitTurn: () => Promise.resolve(),
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

/** Returns a function that starts targets for the tests of a suite; they are stopped after each test. */
export function useScriptedTargets(): (targetId: string, ...reactions: readonly Reaction[]) => Promise<ScriptedTarget> {
    const startedTargets: ScriptedTarget[] = [];
    afterEach(() => {
        startedTargets.splice(0).forEach(({ stop }) => {
            stop();
        });
    });
    return async (targetId, ...reactions) => {
        const started = await startTarget(targetId, reactions);
        startedTargets.push(started);
        return started;
    };
}

/** Serves one call, and returns what its client received. */
export async function serve(forwarder: Forwarder, serviceId: ServiceId): Promise<Received> {
    const received: Received = { bytes: 0, brokenOff: false };
    await forwarder.serve(createCall(serviceId, received));
    return received;
}
