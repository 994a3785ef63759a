import { spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { limits, startListener } from "./listenerUnderTest.js";

const headerTimeoutMs = 300;
const idleTimeoutMs = 2_000;

/** Longer than `headerTimeoutMs` and the period at which it is checked. */
const pastHeaderTimeoutMs = 1_000;

const request = Buffer.from("GET /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-1\r\n\r\n");

/** A client in its own process: it connects, sends what it reads from stdin, and prints the status line of the answer. */
const clientScript = `
    const socket = require("node:net").connect(Number(process.argv[1]), "127.0.0.1", () => process.stdout.write("connected"));
    process.stdin.on("data", (bytes) => socket.write(bytes));
    socket.on("data", (bytes) => process.stdout.write(bytes.toString().split("\\r\\n")[0]));
`;

/** Blocks the event loop, as on a host without processor time. */
function blockEventLoop(durationMs: number): void {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
        // Busy wait.
    }
}

describe("time limit for a header section", function () {
    let listener: ListenerUnderTest;

    beforeEach(async () => {
        listener = await startListener({ ...limits, headerTimeoutMs, idleTimeoutMs });
    });

    afterEach(() => {
        listener.clients.close();
    });

    it("does not begin before the first byte: until then the connection is idle", async () => {
        const client = await RawClient.connect(listener.port);
        await sleep(pastHeaderTimeoutMs);
        await client.write(request);
        expect((await client.readAnswer()).status).to.equal(200);
        client.socket.destroy();
        expect(listener.denials).to.deep.equal([]);
    });

    it("does not hold against a request what the host has received and not read yet", async () => {
        const client = spawn(process.execPath, ["-e", clientScript, String(listener.port)]);
        await once(client.stdout, "data");
        await sleep(50);
        client.stdin.write(request);
        await new Promise((resolve) => {
            setImmediate(resolve);
        });
        blockEventLoop(pastHeaderTimeoutMs);
        const [statusLine] = await once(client.stdout, "data") as [Buffer];
        expect(statusLine.toString()).to.equal("HTTP/1.1 200 OK");
        client.kill();
    });

    it("ends an idle connection, without an answer, when the idle time is over", async () => {
        const client = await RawClient.connect(listener.port);
        expect((await client.readAnswer("GET", 2 * idleTimeoutMs)).status).to.equal(0);
        expect(client.unread).to.equal("");
    });

    it("ends a connection whose header section does not arrive in time, also one that sends a little all the while", async () => {
        const client = await RawClient.connect(listener.port);
        const timer = setInterval(() => {
            client.socket.write("x");
        }, 1);
        await client.write(Buffer.from("GET /a/"));
        const { status } = await client.readAnswer("GET", 3_000);
        clearInterval(timer);
        expect(status).to.equal(408);
    });
});
