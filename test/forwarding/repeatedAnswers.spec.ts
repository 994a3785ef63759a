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
import { createCall, createTestForwarder, keyed, silentRequestLog, systemClock } from "./forwarderUnderTest.js";
import { directConnector } from "./openPaths.js";
import type { AnswerScript } from "./orderedTarget.js";
import { answerOf, OrderedTarget, rejectionOf } from "./orderedTarget.js";
import { RelayUnderTest } from "./relayUnderTest.js";

/** Time for which a request that is rejected has been in the target's queue, and for which one that runs takes. */
const queueMs = 40;
const workMs = 5;
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
    const queue = { grants: Array.from({ length: 20 }, () => targetId), ends: [], requestCount: 0 };
    return createTestForwarder([target], queue, {
        dialect: platformTargetDialect, requestLog: silentRequestLog,
        pool: createConnectionPool(systemClock, connector, () => undefined),
        retries: { onRequest: () => undefined, take: takesRetry, left: () => 1 },
    });
}

async function send(forwarder: Forwarder, method: "GET" | "POST", requestId: string): Promise<number | string> {
    const received: Received = { bytes: 0, brokenOff: false };
    const path = method === "GET" ? "/keyed/a" : "/keyed-order/a";
    await forwarder.serve({ ...createCall(keyed, received), requestId: requestId as RequestId, method, path });
    return received.refusal?.reason ?? received.status ?? "nothing";
}

async function runRequest(request: Parameters<AnswerScript>[0]): Promise<void> {
    request.run();
    await sleep(workMs);
    request.write(answerOf(request.requestId));
}

/** Writes the first answer to a request on the connection once more, late; the request itself waits, and is rejected without its id. */
async function repeatAndReject(request: Parameters<AnswerScript>[0]): Promise<void> {
    if (request.earlierOnConnection > 0) {
        request.write(request.lastResponse ?? "");
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
});
