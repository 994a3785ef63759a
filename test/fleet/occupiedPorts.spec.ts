/** Starts of daemons whose ports are held by another process. */
import { execFileSync } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, writeSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import type { FleetHost, HostPorts } from "./fleet.js";
import { Fleet, graceMs, hasEnded, isReady, paths, send, sleep } from "./fleet.js";

/** Ports by the purpose that the daemon states. */
const portByPurpose: Record<string, keyof HostPorts> = {
    clients: "clientPort", ready: "readyPort", peers: "peerPort", admin: "adminPort",
};

/** Exit code of a start that failed because a listener's address cannot be used, see docs/OPERATIONS.md. */
const cannotListenExitCode = 3;

/** Time allowed for the start of a process and for its end, besides the time for which it waits for its ports. */
const processTimeMs = 4_000;

/** Bytes that a pipe takes before its writer has to wait. */
const pipeBytes = 65_536;

/** Listens on a port; returns a function that stops it. */
async function occupy(port: number): Promise<() => Promise<void>> {
    const holder = net.createServer((socket) => socket.destroy());
    holder.listen(port, "127.0.0.1");
    await once(holder, "listening");
    return async () => {
        holder.close();
        await once(holder, "close");
    };
}

function logLines(host: FleetHost): { msg: string; purpose?: string; address?: string; why?: string }[] {
    return readFileSync(host.logFile, "utf8").split("\n").filter((line) => line !== "")
        .map((line) => JSON.parse(line) as { msg: string });
}

describe("a host that starts while a port is in use", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(1, 1, 0);
    });

    after(async () => {
        await fleet.stop();
    });

    it("ends with exit code 3 and one line that names purpose, address and cause, for each listener", async () => {
        const starts = await Promise.all(Object.entries(portByPurpose).map(async ([purpose, portName]) => {
            let release = () => Promise.resolve();
            const startedMs = performance.now();
            const host = await fleet.startHost(`occupied-${purpose}`, undefined, {
                beforeStart: async (ports) => {
                    release = await occupy(ports[portName]);
                },
            });
            return { purpose, host, startedMs, port: host[portName], release: () => release() };
        }));
        const outcomes = await Promise.all(starts.map(async ({ purpose, host, startedMs, port, release }) => {
            const ended = hasEnded(host)
                ? Promise.resolve(host.child.exitCode)
                : once(host.child, "exit").then(([code]) => code as number);
            const exitCode = await Promise.race([ended, sleep(graceMs + processTimeMs).then(() => "still running")]);
            await release();
            const lines = logLines(host).filter(({ msg }) => msg === "host: cannot listen");
            return {
                purpose, exitCode, isInTime: performance.now() - startedMs < graceMs + processTimeMs,
                lines: lines.map((line) => ({ purpose: line.purpose, address: line.address, isCauseNamed: line.why?.includes("EADDRINUSE") })),
                expectedAddress: `127.0.0.1:${String(port)}`,
                rejections: logLines(host).filter(({ msg }) => msg.includes("unhandled rejection")).length,
            };
        }));
        expect(outcomes).to.deep.equal(outcomes.map(({ purpose, expectedAddress }) => ({
            purpose, exitCode: cannotListenExitCode, isInTime: true,
            lines: [{ purpose, address: expectedAddress, isCauseNamed: true }], expectedAddress, rejections: 0,
        })));
    });

    it("ends also if nobody reads its log any more", async () => {
        const fifo = join(mkdtempSync(join(tmpdir(), "hornbeam-")), "log");
        execFileSync("mkfifo", [fifo]);
        const output = openSync(fifo, "r+");
        writeSync(output, Buffer.alloc(pipeBytes));
        let release = () => Promise.resolve();
        const host = await fleet.startHost("unread", undefined, {
            output,
            beforeStart: async ({ clientPort }) => {
                release = await occupy(clientPort);
            },
        });
        await fleet.waitUntil("the host has ended", () => Promise.resolve(hasEnded(host)), graceMs + processTimeMs);
        expect(host.child.exitCode).not.to.equal(0);
        await release();
        closeSync(output);
    });

    it("serves as soon as the previous process has left the port within the grace period, for each listener", async () => {
        const hosts = await Promise.all(Object.entries(portByPurpose).map(async ([purpose, portName]) =>
            fleet.startHost(`freed-${purpose}`, undefined, {
                beforeStart: async (ports) => {
                    const release = await occupy(ports[portName]);
                    setTimeout(() => void release(), graceMs / 2);
                },
            })));
        for (const host of hosts) {
            await fleet.waitUntil(`${host.name} is ready`, () => isReady(host));
            const answer = await send(host, { id: `on-${host.name}`, path: `${paths.read}x`, key: 1 });
            expect([host.name, answer.status]).to.deep.equal([host.name, 200]);
        }
    });
});
