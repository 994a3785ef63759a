import { readFileSync } from "node:fs";
import http from "node:http";
import type net from "node:net";
import { expect } from "chai";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { isReady, paths, send, sleep } from "./fleet.js";
import { useScriptedFleet, writePath } from "./scriptedFleet.js";
import type { ScriptedTarget } from "./scriptedTarget.js";

/** Timeout of the route to the faulty target, and time by which a request without an answer must have one (CONFIG). */
const routeTimeoutMs = 3_000;
const lateAfterMs = 500;

/** Other requests run for 15 ms; a host that is kept busy answers them later than this. */
const promptMs = 1_000;
const periodMs = 50;

/** The faulty target is sent requests for this long. */
const faultyForMs = 2_000;

/** Memory limit that the settings of the host state. */
const memoryLimitMb = 350;

/** What a faulty target sends in place of a response, and then again and again until the host closes the connection. */
interface FaultyResponse {
    start: (id: string) => string;
    repeated: string;
    count: number;
}

const signedHead = (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`;
const chunkedHead = (id: string) => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n`;

const responses: Record<string, FaultyResponse> = {
    // Guards against a host that does nothing else while it reads: one step of its event loop for each chunk of one byte (review/3).
    "a body without end in chunks of one byte": { start: chunkedHead, repeated: "1\r\nx\r\n".repeat(4_096), count: 2 },
    // Guards against a host that stops for 16 s: time with the square of a run of blanks in a header line (review/2).
    "60,000 blanks in a line of the head": { start: (id) => `${signedHead(id)}X: y${" ".repeat(60_000)}\0\r\n\r\n`, repeated: "x", count: 2 },
    "a body without end in chunks of 16 bytes": { start: chunkedHead, repeated: "10\r\n0123456789abcdef\r\n".repeat(1_024), count: 2 },
    // Guards against a host that ends for want of memory: memory that grows with the rate at which bytes come, though few are kept.
    "a body of 10^15 - 1 bytes": { start: (id) => `${signedHead(id)}Content-Length: 999999999999999\r\n\r\n`, repeated: "x".repeat(65_536), count: 4 },
    "a body without end and without a length": { start: (id) => `${signedHead(id)}\r\n`, repeated: "x".repeat(65_536), count: 4 },
    "a body without end in large chunks": { start: chunkedHead, repeated: `10000\r\n${"x".repeat(65_536)}\r\n`, count: 4 },
    "a rejection without end": {
        start: (id) => `HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 999999999999999\r\n\r\n`,
        repeated: "x".repeat(65_536), count: 4,
    },
    "bytes that are no HTTP": { start: () => "", repeated: "x".repeat(65_536), count: 4 },
    "a head without end": { start: () => "HTTP/1.1 200 OK\r\n", repeated: "X: y\r\n".repeat(10_000), count: 4 },
    "a response to another request, without end": {
        start: () => `${signedHead("other")}Content-Length: 999999999999999\r\n\r\n`, repeated: "x".repeat(65_536), count: 4,
    },
};

/** Peak memory of a process so far. */
function peakMemoryMb({ child }: FleetHost): number {
    const status = readFileSync(`/proc/${String(child.pid)}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / 1_024;
}

/** Sends a request and drops the body of its response; returns the time until its end, complete or not. */
function sendAndDrop(host: FleetHost, id: string): Promise<number> {
    const startedMs = performance.now();
    return new Promise((resolve) => {
        const end = () => {
            resolve(performance.now() - startedMs);
        };
        http.request({
            host: "127.0.0.1", port: host.clientPort, path: `${writePath}x`, method: "POST", agent: false,
            headers: { "Host": "fleet.example", "Request-Id": id, "Deadline-Ms": "8000" },
        }, (response) => {
            response.on("error", () => undefined).on("close", end).resume();
        }).on("error", end).end();
    });
}

/** Sends requests to the faulty target one after the other for some time; returns how long the longest took. */
async function sendFaulty(host: FleetHost): Promise<number> {
    const startedMs = performance.now();
    let longestMs = 0;
    for (let number = 0; performance.now() - startedMs < faultyForMs; number++) {
        const tookMs = await sendAndDrop(host, `faulty-${String(startedMs)}-${String(number)}`);
        longestMs = Math.max(longestMs, tookMs);
    }
    return longestMs;
}

function sendWithoutEnd(socket: net.Socket, bytes: Buffer): void {
    const writeMore = () => {
        if (socket.destroyed) {
            return;
        }
        if (socket.write(bytes)) {
            setImmediate(writeMore);
        }
        else {
            socket.once("drain", writeMore);
        }
    };
    writeMore();
}

describe("a target that sends bytes without end", function () {
    this.timeout(30_000);
    let target: ScriptedTarget;
    let host: FleetHost;

    useScriptedFleet((started) => {
        ({ target, host } = started);
    });

    /** Sends requests to a sound target one after another until the faulty ones are answered; returns the answers. */
    const sendOthers = async (isOver: () => boolean): Promise<ClientAnswer[]> => {
        const pending: Promise<ClientAnswer>[] = [];
        for (let number = 0; !isOver(); number++) {
            const id = `other-${String(performance.now())}-${String(number)}`;
            pending.push(send(host, { id, path: `${paths.read}x`, key: 7 }));
            await sleep(periodMs);
        }
        return Promise.all(pending);
    };

    for (const [what, { start, repeated, count }] of Object.entries(responses)) {
        it(`delays no other request, and its own end at their timeout: ${what}`, async () => {
            target.react = (socket, { requestId }) => {
                socket.write(start(requestId), "latin1");
                sendWithoutEnd(socket, Buffer.from(repeated, "latin1"));
            };
            let isOver = false;
            const others = sendOthers(() => isOver);
            const tookMs = await Promise.all(Array.from({ length: count }, () => sendFaulty(host)));
            expect(await isReady(host), "ready").to.equal(true);
            isOver = true;
            const answers = await others;
            const lateOrFailed = answers.filter(({ status, tookMs }) => status !== 200 || tookMs > promptMs);
            expect(lateOrFailed.length, `${JSON.stringify(lateOrFailed[0])}; of ${String(answers.length)}`).to.equal(0);
            expect(Math.max(...tookMs)).to.be.below(routeTimeoutMs + lateAfterMs);
            expect(peakMemoryMb(host), "peak memory").to.be.below(memoryLimitMb);
        });
    }
});
