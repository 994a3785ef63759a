import { readdirSync, readFileSync } from "node:fs";
import net from "node:net";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, hasEnded, paths, plainService, send } from "./fleet.js";
import { startScriptedTarget } from "./scriptedTarget.js";

/** A machine on which a small crowd does what a large one does on a usual machine. */
const memoryMb = 220;
const maxHeapMb = 64;

/** File descriptors, above those before the crowd came, that may be open once it has left: connections to targets and the like. */
const maxOpenFilesAdded = 15;

/** Long enough for a host with little processor time; nothing is measured by it. */
const timeoutMs = 90_000;
const maxActingMs = 10_000;
const responseBytes = 200_000;

const head = (method: string, path: string, fields = "") => `${method} ${path}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: crowd\r\nShard-Key: 7\r\n${fields}\r\n`;
const chunkedHead = head("POST", paths.order, "Transfer-Encoding: chunked\r\n");

/** What each client of a crowd does. */
interface Crowd {
    count: number;
    start: string;
    /** Sent again and again, the given number of times. */
    repeated: string;
    times: number;
    /** False if the clients never read; the host must then close their connections. */
    reads?: boolean;
    /** True if the host must close each of the connections while the clients go on. */
    mustBeClosed?: boolean;
}

const endless = Number.POSITIVE_INFINITY;

const crowds: Record<string, Crowd> = {
    // Guards against a host that parses everything a client has pipelined, which ended the process (SIGABRT).
    "pipeline 2,000 requests": { count: 15, start: "", repeated: head("GET", paths.read), times: 2_000 },
    // Guards against a host that keeps every response that its client does not read, which ended the process.
    "do not read their responses": { count: 40, start: "", repeated: head("GET", paths.list), times: 2_000, reads: false },
    // Guards against a buffer and a step of the event loop for each byte: no more responses, even after the clients had left.
    "send bodies in chunks of one byte": { count: 10, start: chunkedHead, repeated: "1\r\nx\r\n".repeat(1_000), times: 1_000 },
    // Guards against input that costs work and is bounded by no limit: nothing was served while it lasted.
    "send empty lines without end": { count: 20, start: head("GET", paths.read), repeated: "\r\n".repeat(10_000), times: endless, mustBeClosed: true },
    "send zeros before a chunk size without end": { count: 20, start: chunkedHead, repeated: "0".repeat(20_000), times: endless, mustBeClosed: true },
    // Guards against bodies that are held for as long as their connection is open.
    "stop within a short body": {
        count: 60, start: head("POST", paths.order, "Content-Length: 60000\r\n"), repeated: "x".repeat(30_000), times: 1, mustBeClosed: true,
    },
    "stop within a long body": {
        count: 60, start: head("POST", paths.order, "Content-Length: 1000000\r\n"), repeated: "x".repeat(300_000), times: 1, mustBeClosed: true,
    },
};

/** Sends what a client of the crowd sends; resolves when it has sent all, or its connection is closed. */
async function act(socket: net.Socket, { start, repeated, times }: Crowd): Promise<void> {
    const write = (text: string) => new Promise<void>((resolve) => {
        socket.once("close", resolve);
        socket.write(text, "latin1", () => {
            socket.off("close", resolve);
            resolve();
        });
    });
    await write(start);
    for (let count = 0; count < times && !socket.destroyed; count++) {
        await write(repeated);
    }
}

/** Peak memory of a process so far. */
function peakMemoryMb({ child }: FleetHost): number {
    const status = readFileSync(`/proc/${String(child.pid)}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / 1_024;
}

function openFiles({ child }: FleetHost): number {
    return readdirSync(`/proc/${String(child.pid)}/fd`).length;
}

describe("clients that ignore limits", function () {
    this.timeout(2 * timeoutMs);
    let fleet: Fleet;
    let stopTarget: () => void;
    let sockets: net.Socket[] = [];

    beforeEach(async () => {
        fleet = await Fleet.start(0, 2, 0, false);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        const target = await startScriptedTarget(fleet.store, "scripted", plainService);
        target.react = (socket, { requestId }) => {
            socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\nContent-Length: ${String(responseBytes)}\r\n\r\n`);
            socket.write("x".repeat(responseBytes));
        };
        stopTarget = () => {
            target.stop();
        };
        await fleet.startHost("h0", fleet.store.address, {
            memoryMb, program: [`--max-old-space-size=${String(maxHeapMb)}`, "target/hornbeam-host.cjs"],
        });
        await fleet.waitUntilServing();
    });

    afterEach(async () => {
        for (const socket of sockets) {
            socket.destroy();
        }
        stopTarget();
        await fleet.stop();
    });

    for (const [what, crowd] of Object.entries(crowds)) {
        it(`end no process and take no more than its memory: clients that ${what}`, async () => {
            const [host] = fleet.hosts as [FleetHost];
            const maxOpenFiles = openFiles(host) + maxOpenFilesAdded;
            sockets = Array.from({ length: crowd.count }, () => {
                const socket = net.connect(host.clientPort, "127.0.0.1").on("error", () => undefined);
                return crowd.reads === false ? socket.pause() : socket.resume();
            });
            const acting = Promise.all(sockets.map((socket) => act(socket, crowd)));
            await Promise.race([acting, new Promise((resolve) => setTimeout(resolve, maxActingMs))]);
            if (crowd.reads === false) {
                // A client that does not read does not see that its connection is closed.
                await fleet.waitUntil("the host has accepted the connections", () => Promise.resolve(openFiles(host) > maxOpenFiles));
                await fleet.waitUntil("the host has closed the connections", () => Promise.resolve(openFiles(host) <= maxOpenFiles), timeoutMs);
            }
            else if (crowd.mustBeClosed === true) {
                await fleet.waitUntil("every connection is closed", () => Promise.resolve(sockets.every(({ destroyed }) => destroyed)), timeoutMs);
            }
            expect(hasEnded(host), "process ended").to.equal(false);
            const peakMb = peakMemoryMb(host);
            for (const socket of sockets) {
                socket.destroy();
            }
            await fleet.waitUntil("an ordinary request is answered and the descriptors are closed", async () => {
                const answer = await send(host, { id: `ordinary-${String(performance.now())}`, path: paths.read, key: 30_000 });
                return answer.status === 200 && openFiles(host) <= maxOpenFiles;
            });
            expect(peakMb, "peak memory").to.be.below(memoryMb);
        });
    }
});
