import { spawn } from "node:child_process";
import { once } from "node:events";
import { expect } from "chai";
import { platformClientDialect } from "../../platform/dialect.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { createClientHttp } from "../../src/entry/clientHttp.js";
import { freePort } from "./listenerClient.js";
import { holdingLimits, ignoredEvents } from "./listenerUnderTest.js";

const clock = createSystemClock();

/** Blocks the event loop, as on a host without processor time. */
function blockEventLoop(durationMs: number): void {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
        // Busy wait.
    }
}

/** Runs a client in its own process: it connects, then sends the request received on stdin and closes its connection. */
const clientScript = `
    const socket = require("node:net").connect(Number(process.argv[1]), "127.0.0.1", () => process.stdout.write("connected"));
    process.stdin.once("data", (request) => socket.end(request));
`;

/** Lets a client send a request and leave while the host's event loop is blocked; returns the number of requests that were served. */
async function countServedAfterLeaving(request: string): Promise<number> {
    let served = 0;
    const clients = createClientHttp({
        areLimitsConfirmed: () => true, holdingLimits, ...ignoredEvents,
        dialects: [platformClientDialect], clock,
        serve: async (call) => {
            await call.body.collect();
            if (!call.clientLeft.aborted) {
                served += 1;
            }
        },
        onDenied: () => undefined, onUnexpectedError: () => undefined,
    });
    const port = await freePort();
    (await clients.listen(`127.0.0.1:${String(port)}`, 0))._unsafeUnwrap();
    const client = spawn(process.execPath, ["-e", clientScript, String(port)]);
    await once(client.stdout, "data");
    client.stdin.write(request);
    await new Promise((resolve) => {
        setImmediate(resolve);
    });
    blockEventLoop(200);
    await clock.sleep(100);
    clients.close();
    client.kill();
    return served;
}

describe("listener for clients", () => {
    it("does not serve a request if its client left before the request was read", async () => {
        expect(await countServedAfterLeaving("GET /a/ HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n\r\n")).to.equal(0);
    });

    it("does not serve a request with a body if its client left before the request was read", async () => {
        expect(await countServedAfterLeaving("POST /a/ HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nab")).to.equal(0);
    });
});
