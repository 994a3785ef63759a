import { once } from "node:events";
import http from "node:http";
import net from "node:net";
import { expect } from "chai";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { ClientDialect } from "../../src/entry/clientDialect.js";
import { createClientHttp } from "../../src/entry/clientHttp.js";
import type { ConnectionPool } from "../../src/forwarding/connectionPool.js";
import { createConnectionPool } from "../../src/forwarding/connectionPool.js";
import type { ForwarderDependencies } from "../../src/forwarding/forwarder.js";
import { createForwarder } from "../../src/forwarding/forwarder.js";
import { probeTarget } from "../../src/forwarding/targetProbe.js";
import { connectToTarget } from "../../src/forwarding/targetConnection.js";
import type { Address, DataCentreId, Offset, RequestId, RouteId, ServiceId, TargetId } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { Signal } from "../../src/model/signal.js";
import { Splitter } from "../../src/routing/splitter.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { holdingLimits, ignoredEvents } from "../entry/listenerUnderTest.js";
import { directConnector, openPaths } from "./openPaths.js";

const clock = createSystemClock();
const serviceId = "plain" as ServiceId;
const dataCentreId = "dc-1" as DataCentreId;
const oddPortTarget = "t-odd" as TargetId;
const soundTarget = "t-sound" as TargetId;

const config: RoutingConfig = {
    version: 1,
    routes: [["/safe/", true], ["/order/", false]].map(([pathPrefix, idempotent]) => ({
        routeId: pathPrefix as RouteId, hostName: "h", pathPrefix: pathPrefix as string, idempotent: idempotent as boolean, timeoutMs: 2_500,
        targetLatencyMs: 100, priority: 1, maxAttempts: 2, backends: [{ serviceId, weight: 1 }],
    })),
    services: [{ serviceId, healthPath: "/", maxConnections: 10, sharded: false, warmUpMs: 0 }],
    limits: { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

const dialect: ClientDialect = {
    unforwardedHeaders: new Set(), matches: () => true,
    termsOf: (_path, headers) => ({ requestId: headers["request-id"] as RequestId, budgetMs: 1_500, key: undefined }),
    headersOfRefusal: () => [], headersOfAnswer: () => [],
};

/** Answer of the sound target; by default a whole one. */
type Respond = (socket: net.Socket) => void;

const answerWhole: Respond = (socket) => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

/** A host with a listener for clients, a forwarder, and a queue that grants the listed slots one by one, then refuses. */
class TestHost {
    readonly errors: unknown[] = [];
    /** Names of the targets whose slots were granted, and how the slots were given back. */
    readonly granted: TargetId[] = [];
    readonly ends: string[] = [];
    readonly attemptEnds: string[] = [];
    runCount = 0;
    private readonly sockets = new Set<net.Socket>();
    private readonly stops: (() => void)[] = [];
    private port = 0;

    async start(grants: TargetId[], respond: Respond, override: (dependencies: ForwarderDependencies) => Partial<ForwarderDependencies>) {
        const target = net.createServer((socket) => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => {
                this.runCount += 1;
                respond(socket);
            });
        }).listen(0, "127.0.0.1");
        await once(target, "listening");
        const view = new ClusterView();
        view.applyConfig(config, 1 as Offset, 1 as Offset);
        const addresses = { [oddPortTarget]: "127.0.0.1:99999", [soundTarget]: `127.0.0.1:${String((target.address() as net.AddressInfo).port)}` };
        view.applyTargets(Object.entries(addresses).map(([targetId, address], index) => ({
            targetId: targetId as TargetId, offset: index as Offset,
            entry: {
                targetId: targetId as TargetId, address: address as Address, serviceId, dataCentreId, slots: 4, state: "ready" as const, bornWallMs: 1,
                sequence: 1, warmingUp: false,
            },
        })), 9 as Offset, 0);
        const dependencies = this.createDependencies(view, grants);
        const forwarder = createForwarder({ ...dependencies, ...override(dependencies) });
        const listener = createClientHttp({
            areLimitsConfirmed: () => true, holdingLimits, ...ignoredEvents,
            dialects: [dialect], clock,
            serve: (call) => forwarder.serve(call),
            onDenied: () => undefined,
            onUnexpectedError: (error) => this.errors.push(error),
        });
        this.port = await freePort();
        (await listener.listen(`127.0.0.1:${String(this.port)}`, 0))._unsafeUnwrap();
        this.stops.push(() => target.close(), () => {
            listener.close();
        });
    }

    /** Sends a request and returns the status of its answer; 0 if the connection was closed without a whole one. */
    request(path: string): Promise<number> {
        return new Promise((resolve) => {
            const headers = { "Host": "h", "Request-Id": "r-1" };
            const outgoing = http.request({ host: "127.0.0.1", port: this.port, path, headers }, (response) => {
                response.resume();
                response.on("error", () => undefined);
                response.on("close", () => {
                    resolve(response.complete ? response.statusCode ?? 0 : 0);
                });
            });
            outgoing.on("error", () => {
                resolve(0);
            });
            outgoing.end();
        });
    }

    stop() {
        this.stops.forEach((stop) => {
            stop();
        });
        this.sockets.forEach((socket) => socket.destroy());
    }

    private createDependencies(view: ClusterView, grants: TargetId[]): ForwarderDependencies {
        const enter: ForwarderDependencies["admission"]["enter"] = () => {
            const targetId = grants.shift();
            if (targetId === undefined) {
                return Promise.resolve({ kind: "refused", reason: "overloaded", retryAfterMs: 100 });
            }
            this.granted.push(targetId);
            return Promise.resolve({ kind: "granted", targetId, expectedMs: 20, isRateLimited: false, leave: ({ kind }) => {
                this.ends.push(kind);
            } });
        };
        return {
            requestTrial: () => Promise.resolve({ kind: "unavailable" }), returnTrial: () => undefined, isInContact: () => true,
            view, clock, dataCentreId, drainMs: 100, configAgeMs: () => 0, usesDataCentreQueues: () => false,
            pool: createConnectionPool(clock, directConnector, () => undefined),
            paths: openPaths,
            dialect: {
                reservedHeaders: new Set(), headersFor: () => [], matchOf: () => "named",
                classify: () => "answer",
                noticeOf: () => ({ isLeaving: false, pauseMs: undefined, rateLimit: { kind: "none" } }),
            },
            owners: {} as unknown as ForwarderDependencies["owners"],
            admission: { enter },
            splitter: new Splitter(() => 0),
            retries: { onRequest: () => undefined, take: () => true, left: () => 1 },
            loads: { count: () => undefined } as unknown as ForwarderDependencies["loads"],
            requestLog: {
                answered: () => undefined, refused: () => undefined, retried: () => undefined, clientLeft: () => undefined,
                targetLeaving: () => undefined, targetPauseRequested: () => undefined, targetRateLimitChanged: () => undefined,
                responseUnproven: () => undefined, responsesSkipped: () => undefined, brokenOff: () => undefined, pathLost: () => undefined,
                attemptEnded: (_targetId, end) => {
                    this.attemptEnds.push("why" in end ? `${end.kind}: ${end.why}` : end.kind);
                },
            },
            crashObserver: {
                observed: new Signal(), takeUnreported: () => undefined,
                attemptLost: () => Promise.resolve(), attemptCompleted: () => undefined,
            },
            crashEvidence: new CrashEvidence(),
            random: () => 0.5,
        };
    }
}

async function freePort(): Promise<number> {
    const probe = net.createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as net.AddressInfo;
    probe.close();
    await once(probe, "close");
    return port;
}

function raise(): never {
    throw new Error("unexpected");
}

function poolOf(base: ConnectionPool, overrides: Partial<ConnectionPool>): ConnectionPool {
    return { ...base, ...overrides };
}

interface Case {
    grants: TargetId[];
    path: string;
    respond?: Respond;
    override?: (dependencies: ForwarderDependencies) => Partial<ForwarderDependencies>;
    /** Status that the client gets, how the slots are given back, and how often the request runs. */
    expected: { status: number; ends: string[]; runCount: number };
}

const cases: Record<string, Case> = {
    "an idempotent request goes to another target if the address of the first has a port out of range": {
        grants: [oddPortTarget, soundTarget], path: "/safe/a", expected: { status: 200, ends: ["unreachable", "answered"], runCount: 1 },
    },
    "a request that may not be repeated goes to another target if the address of the first has a port out of range": {
        grants: [oddPortTarget, soundTarget], path: "/order/a", expected: { status: 200, ends: ["unreachable", "answered"], runCount: 1 },
    },
    "a request gets 503 if the only target's address has a port out of range": {
        grants: [oddPortTarget], path: "/order/a", expected: { status: 503, ends: ["unreachable"], runCount: 0 },
    },
    "an error while the request's head is written is an attempt that sent nothing": {
        grants: [soundTarget], path: "/order/a", override: ({ dialect: base }) => ({ dialect: { ...base, headersFor: raise } }),
        expected: { status: 503, ends: ["unreachable"], runCount: 0 },
    },
    "an error while a connection is taken from the pool is an attempt that sent nothing": {
        grants: [soundTarget], path: "/order/a", override: ({ pool }) => ({ pool: poolOf(pool, { acquire: raise }) }),
        expected: { status: 503, ends: ["unreachable"], runCount: 0 },
    },
    "an error after the request was sent is a lost attempt, and an order is not repeated": {
        grants: [soundTarget, soundTarget], path: "/order/a", override: ({ dialect: base }) => ({ dialect: { ...base, classify: raise } }),
        expected: { status: 502, ends: ["lost"], runCount: 1 },
    },
    "an error while a target's notice is read is a lost attempt": {
        grants: [soundTarget], path: "/order/a", override: ({ dialect: base }) => ({ dialect: { ...base, noticeOf: raise } }),
        expected: { status: 502, ends: ["lost"], runCount: 1 },
    },
    "an error while an attempt's connection goes back to the pool is a lost attempt": {
        grants: [soundTarget], path: "/order/a", override: ({ pool }) => ({ pool: poolOf(pool, { release: raise }) }),
        expected: { status: 502, ends: ["lost"], runCount: 1 },
    },
    "an answer with a header that can't be passed on becomes 502": {
        grants: [soundTarget], path: "/order/a",
        respond: (socket) => socket.write("HTTP/1.1 200 OK\r\nOdd: \u0001\r\nContent-Length: 2\r\n\r\nok"),
        expected: { status: 502, ends: ["lost"], runCount: 1 },
    },
    "an answer that is streamed, with a header that can't be passed on, becomes 502": {
        grants: [soundTarget], path: "/order/a",
        respond: (socket) => socket.write(`HTTP/1.1 200 OK\r\nOdd: \u0001\r\nContent-Length: 300000\r\n\r\n${"x".repeat(300_000)}`),
        expected: { status: 502, ends: ["lost"], runCount: 1 },
    },
    "an error before any slot is asked for gets 503": {
        grants: [soundTarget], path: "/order/a", override: () => ({ retries: { onRequest: raise, take: () => true, left: () => 1 } }),
        expected: { status: 503, ends: [], runCount: 0 },
    },
    "an error while a slot is granted gives the slot back and gets 503": {
        grants: [soundTarget], path: "/order/a", override: () => ({ crashEvidence: raiseOnStanding(3) }),
        expected: { status: 503, ends: ["dropped"], runCount: 0 },
    },
    "an error in the log of an attempt that may have run gives the slot back and gets 502": {
        grants: [soundTarget], path: "/order/a", override: ({ requestLog }) => ({ requestLog: { ...requestLog, attemptEnded: raise } }),
        expected: { status: 502, ends: ["answered"], runCount: 1 },
    },
    "an error in the log of an attempt that was rejected gives the slot back and gets 503": {
        grants: [soundTarget], path: "/order/a",
        override: ({ requestLog, dialect: base }) => ({
            requestLog: { ...requestLog, attemptEnded: raise }, dialect: { ...base, classify: () => "not-run" },
        }),
        expected: { status: 503, ends: ["turned-away"], runCount: 1 },
    },
};

/** Evidence of crashes that can be looked up so many times, and then raises an error. */
function raiseOnStanding(lookupCount: number): CrashEvidence {
    let remaining = lookupCount;
    const evidence = new CrashEvidence();
    return new Proxy(evidence, {
        get: (_target, name) => {
            if (name === "isEmpty") {
                remaining -= 1;
                return remaining > 0 ? true : raise();
            }
            const value: unknown = Reflect.get(evidence, name);
            return typeof value === "function" ? value.bind(evidence) as unknown : value;
        },
    });
}

describe("an unexpected error while a request is forwarded", () => {
    let host: TestHost;

    beforeEach(() => {
        host = new TestHost();
    });

    afterEach(() => {
        host.stop();
    });

    for (const [title, { grants, path, respond, override, expected }] of Object.entries(cases)) {
        it(title, async () => {
            await host.start([...grants], respond ?? answerWhole, override ?? (() => ({})));
            const status = await host.request(path);
            expect({ status, ends: host.ends, runCount: host.runCount }).to.deep.equal(expected);
            expect(host.granted).to.have.length(host.ends.length);
        });
    }

    it("is named with step, address and value where an attempt ends by it", async () => {
        await host.start([oddPortTarget], answerWhole, () => ({}));
        await host.request("/safe/a");
        expect(host.attemptEnds).to.have.length(1);
        expect(host.attemptEnds[0]).to.match(/^unreachable: .*127\.0\.0\.1:99999/);
    });

    it("closes the client's connection only if a part of an answer was written", async () => {
        let pieceCount = 0;
        const respond: Respond = (socket) => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n${"x".repeat(900_000)}`);
        await host.start([soundTarget], respond, ({ pool }) => ({ pool: poolOf(pool, {
            acquire: async (address, reuse) => (await pool.acquire(address, reuse)).map((connection) => ({
                ...connection, get reusable() {
                    return connection.reusable;
                }, get keepAliveMs() {
                    return connection.keepAliveMs;
                },
                start: (request) => {
                    const exchange = connection.start(request);
                    return { head: () => exchange.head(), skippedResponses: 0, finishBody: () => undefined, write: () => Promise.resolve(),
                        read: async () => {
                            pieceCount += 1;
                            const piece = await exchange.read();
                            return pieceCount > 8 && piece.isOk() ? raise() : piece;
                        } };
                },
            })),
        }) }));
        expect(await host.request("/order/a")).to.equal(0);
        expect(host.ends).to.deep.equal(["lost"]);
    });
});

describe("an address that can't be connected to", () => {
    const addresses = ["127.0.0.1:99999", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", "", ":80", "127.0.0.1:1e3"];
    for (const address of addresses) {
        it(`is unreachable, and never raises an error: ${JSON.stringify(address)}`, async () => {
            const connected = await connectToTarget(address as Address, 300);
            expect(connected._unsafeUnwrapErr()).to.include({ kind: "unreachable", step: "connect", peer: address, refused: false });
            const pool = createConnectionPool(clock, directConnector, () => undefined);
            expect(await probeTarget(pool, directConnector, address as Address)).to.equal("no-answer");
            expect((await pool.acquire(address as Address, { method: "GET", requestId: undefined, idempotent: true })).isErr()).to.equal(true);
        });
    }
});
