import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { platformTargetDialect } from "../../platform/dialect.js";
import { createConnectionPool } from "../../src/forwarding/connectionPool.js";
import type { Forwarder } from "../../src/forwarding/forwarder.js";
import type { TargetConnector } from "../../src/forwarding/targetConnector.js";
import { failure } from "../../src/model/failure.js";
import type { Address, RequestId, TargetId } from "../../src/model/names.js";
import type { Received, ScriptedTarget } from "./forwarderUnderTest.js";
import { SeededRandom } from "../support/seededRandom.js";
import { createCall, createTestForwarder, keyed, silentRequestLog, systemClock } from "./forwarderUnderTest.js";
import { directConnector } from "./openPaths.js";
import type { AnswerScript } from "./orderedTarget.js";
import { answerOf, bodyOf, OrderedTarget, rejectionOf } from "./orderedTarget.js";
import { RelayUnderTest } from "./relayUnderTest.js";

/** Time for which a request that is rejected has been in the target's queue, and for which one that runs takes. */
const queueMs = 40;
const workMs = 5;

/** Load of the tests with random faults. */
const clientCount = 12;
const requestsPerSeed = 400;

/** Share of the requests before whose response one of the last few responses on the connection is written once more. */
const repeatShare = 0.4;
const maxRepeatedBack = 3;

/** Share of the requests that are rejected without their id: those that the connection has carried before, and others. */
const unnamedShareAgain = 0.5;
const unnamedShareFirst = 0.02;

const targetId = "t-1" as TargetId;

/** What the target answers to the first sending of a read. */
const firstAnswers: Record<string, (requestId: string) => string> = {
    "its own 500": (requestId) => answerOf(requestId, 500),
    "a rejection that names it": (requestId) => rejectionOf(requestId),
};

/** A host, and a target that it reaches directly or through another host. */
interface Scene {
    target: OrderedTarget;
    forwarder: Forwarder;
    stop(): void;
}

const sceneByHop: Record<string, (script: AnswerScript, takesRetry: () => boolean) => Promise<Scene>> = {
    "directly": async (script, takesRetry) => {
        const target = new OrderedTarget(script);
        const address = await target.listen();
        return {
            target, forwarder: createForwarder(address, directConnector, takesRetry),
            stop: () => {
                target.stop();
            },
        };
    },
    "through another host": async (script, takesRetry) => {
        const target = new OrderedTarget(script);
        const relay = new RelayUnderTest();
        await relay.start((socket) => {
            target.serve(socket);
        });
        const connector: TargetConnector = {
            connect: (address) => relay.connect().then(
                (connection) => ok(connection), (error: unknown) => err(failure("unreachable", "connect", address, String(error)))),
            mayReuse: () => true,
        };
        return {
            target, forwarder: createForwarder("127.0.0.1:1", connector, takesRetry),
            stop: () => {
                target.stop();
                relay.stop();
            },
        };
    },
};

function createForwarder(address: string, connector: TargetConnector, takesRetry: () => boolean): Forwarder {
    const target: ScriptedTarget = { targetId, address: address as Address, arrivedMs: [], abortedMs: [], stop: () => undefined };
    const queue = { grants: Array.from({ length: 5_000 }, () => targetId), ends: [], requestCount: 0 };
    return createTestForwarder([target], queue, {
        dialect: platformTargetDialect, requestLog: silentRequestLog,
        pool: createConnectionPool(systemClock, connector, () => undefined),
        retries: { onRequest: () => undefined, take: takesRetry, left: () => 1 },
    });
}

type Method = "GET" | "HEAD" | "POST";

/** Sends a request; returns the status, or the reason of the refusal, and the body. */
async function sendForBody(forwarder: Forwarder, method: Method, requestId: string): Promise<{ outcome: number | string; body: string }> {
    const received: Received = { bytes: 0, brokenOff: false };
    const path = method === "POST" ? "/keyed-order/a" : "/keyed/a";
    let body = "";
    const call = createCall(keyed, received);
    await forwarder.serve({ ...call, requestId: requestId as RequestId, method, path, answer: (head, bytes) => {
        body = bytes.toString();
        call.answer(head, bytes);
    } });
    return { outcome: received.refusal?.reason ?? received.status ?? "nothing", body };
}

async function send(forwarder: Forwarder, method: Method, requestId: string): Promise<number | string> {
    return (await sendForBody(forwarder, method, requestId)).outcome;
}

/** Fails, rejects, runs and repeats at random, after a random time. */
function createFaultyScript(random: SeededRandom): AnswerScript {
    return async (request) => {
        if (request.responses.length > 0 && random.chance(repeatShare)) {
            request.write(random.pick(request.responses.slice(-maxRepeatedBack)));
        }
        const unnamedShare = request.earlierOnConnection > 0 ? unnamedShareAgain : unnamedShareFirst;
        const fate = random.chance(unnamedShare) ? "reject without id" : random.pick(["run", "run", "run", "fail", "fail", "reject"]);
        if (fate === "run" || fate === "fail") {
            request.run();
        }
        await sleep(fate === "reject without id" ? queueMs : random.integerUpTo(workMs));
        switch (fate) {
            case "run":
            case "fail":
                request.write(answerOf(request.requestId, fate === "run" ? 200 : 500, request.method));
                return;
            default:
                request.write(rejectionOf(fate === "reject" ? request.requestId : undefined));
        }
    };
}

async function runRequest(request: Parameters<AnswerScript>[0]): Promise<void> {
    request.run();
    await sleep(workMs);
    request.write(answerOf(request.requestId));
}

/** Writes the first answer to a request on the connection once more, late; the request itself waits, and is rejected without its id. */
async function repeatAndReject(request: Parameters<AnswerScript>[0]): Promise<void> {
    if (request.earlierOnConnection > 0) {
        request.write(request.responses.at(-1) ?? "");
    }
    await sleep(queueMs);
    request.write(rejectionOf());
}

// Guards against orders that run twice: a copy taken for the answer to a second sending leaves the connection one answer behind
// (review/11).
describe("a late copy of an answer to a request that is sent again", () => {
    let scene: Scene;

    afterEach(() => {
        scene.stop();
    });

    for (const [hop, createScene] of Object.entries(sceneByHop)) {
        for (const [what, firstAnswer] of Object.entries(firstAnswers)) {
            it(`has no order run twice, or reported as not run if it ran, on a target reached ${hop} that first sent ${what}`, async () => {
                let sendings = 0;
                const script: AnswerScript = async (request) => {
                    if (!request.requestId.startsWith("read")) {
                        await runRequest(request);
                        return;
                    }
                    sendings += 1;
                    if (sendings === 1) {
                        request.write(firstAnswer(request.requestId));
                        return;
                    }
                    await repeatAndReject(request);
                };
                const retries = [true, false];
                scene = await createScene(script, () => retries.shift() ?? true);
                await send(scene.forwarder, "GET", "read-1");
                expect(await send(scene.forwarder, "POST", "order-1")).to.equal(200);
                expect(sendings).to.equal(2);
                await sleep(2 * queueMs);
                expect(scene.target.runs).to.deep.equal(["order-1"]);
            });
        }

        it(`has no order run twice if it is a client that uses an id again, on a target reached ${hop}`, async () => {
            let sendings = 0;
            const script: AnswerScript = async (request) => {
                sendings += request.requestId === "read-1" ? 1 : 0;
                await (request.requestId === "read-1" && sendings === 2 ? repeatAndReject(request) : runRequest(request));
            };
            const retries = [false];
            scene = await createScene(script, () => retries.shift() ?? true);
            expect(await send(scene.forwarder, "GET", "read-1")).to.equal(200);
            await send(scene.forwarder, "GET", "read-1");
            expect(await send(scene.forwarder, "POST", "order-1")).to.equal(200);
            await sleep(2 * queueMs);
            expect(scene.target.runs.filter((id) => id === "order-1")).to.have.length(1);
        });
    }

    for (const [hop, createScene] of Object.entries(sceneByHop)) {
        it(`and random faults have no order run twice, and no request get another's answer, on a target reached ${hop}`, async () => {
            for (const seed of [1, 2, 3]) {
                const random = new SeededRandom(seed);
                scene = await createScene(createFaultyScript(random), () => true);
                let count = 0;
                await Promise.all(Array.from({ length: clientCount }, async () => {
                    while (count < requestsPerSeed) {
                        const requestId = `r${String(count += 1)}`;
                        const method = random.pick(["GET", "GET", "HEAD", "POST", "POST"] as const);
                        const { outcome, body } = await sendForBody(scene.forwarder, method, requestId);
                        const runs = scene.target.runs.filter((id) => id === requestId).length;
                        if (method === "POST") {
                            expect(runs, `${requestId}, seed ${String(seed)}`).to.be.at.most(1);
                            expect(outcome === "rejected" ? runs : 0, `${requestId}, seed ${String(seed)}`).to.equal(0);
                        }
                        if (outcome === 200) {
                            expect(body, `${requestId}, seed ${String(seed)}`).to.equal(method === "HEAD" ? "" : bodyOf(requestId));
                        }
                    }
                }));
                scene.stop();
            }
        });
    }
});
