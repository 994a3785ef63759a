/**
 * Measures the processor time that builds of the daemon spend on a request in each second of a cold process's life. In each round every
 * build starts a fleet of its own and gets the same load at the same time, since the speed of a shared machine changes from second to
 * second: only the ratio to the first build counts.
 * Usage: requestRuns.ts RATE SECONDS ROUNDS PEERS "[RUNTIME-FLAGS] BUNDLE"...
 * A build without runtime flags gets those of deploy/system.toml.
 */
import { readdirSync, readFileSync } from "node:fs";
import http from "node:http";
import { topics } from "../../platform/names.js";
import type { FleetHost } from "../fleet/fleet.js";
import { buildRoutingConfig, Fleet, keyedService, paths, plainService, send, sleep } from "../fleet/fleet.js";

const keyedCount = 4;
const plainCount = 2;
const slots = 8;
const workMs = 15;
const budgetMs = 3_000;
const bodyBytes = 4_000;
const clientCount = 12;
const secondMs = 1_000;
const nsPerMs = 1e6;

/** Steps from one key to the next; a prime, so that all keys get their turn. */
const keyStep = 7_919;
const keyCount = 65_536;

interface Measurement {
    /** Processor time until the host served, in milliseconds. */
    startMs: number;
    /** Processor time of each second from then on, in milliseconds. */
    secondsMs: number[];
    statuses: Map<number, number>;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** Runtime flags with which the platform starts the daemon. */
function deployedFlags(): string[] {
    const run = /^run = "node (.*?) \S+\.cjs/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    if (run === undefined) {
        throw new Error("deploy/system.toml does not state how the daemon is run");
    }
    return run.split(" ");
}

/** Splits a build into the arguments of Node.js that run it. */
function programOf(build: string): string[] {
    const words = build.split(" ").filter((word) => word !== "");
    return words.length > 1 ? words : [...deployedFlags(), ...words];
}

/** Processor time that the threads of a process have used so far. `/proc/PID/stat` counts in units of 10 ms, too coarse for a second. */
function processorMs({ child }: FleetHost): number {
    const folder = `/proc/${String(child.pid)}/task`;
    const usedNs = readdirSync(folder).map((task) => Number(readFileSync(`${folder}/${task}/schedstat`, "utf8").split(" ")[0]));
    return sum(usedNs) / nsPerMs;
}

/** Sends the requests of one second to a host at even distances: lookups and orders by key, and a list with a body. */
async function sendSecond(host: FleetHost, agents: http.Agent[], rate: number, second: number, statuses: Map<number, number>) {
    const startedMs = performance.now();
    for (let index = 0; index < rate; index++) {
        const number = second * rate + index;
        const remainingMs = startedMs + index * secondMs / rate - performance.now();
        if (remainingMs > 0) {
            await sleep(remainingMs);
        }
        const key = (number * keyStep) % keyCount;
        const kinds = [
            { path: `${paths.read}x`, key }, { path: `${paths.order}x`, method: "POST", body: "{}", key },
            { path: `${paths.list}x`, method: "POST", body: "x".repeat(bodyBytes) },
        ];
        const request = { ...kinds[number % kinds.length] ?? { path: `${paths.read}x` }, id: `n-${String(number)}`, budgetMs };
        void send(host, { ...request, agent: agents[number % agents.length] }).then(({ status }) => {
            statuses.set(status, (statuses.get(status) ?? 0) + 1);
        });
    }
    await sleep(Math.max(0, startedMs + secondMs - performance.now()));
}

/** Starts a fleet with the build, sends the load and measures its first host. */
async function measure(
    build: string, rate: number, seconds: number, peerCount: number, whenReady: () => Promise<void>,
): Promise<Measurement> {
    const fleet = await Fleet.start(0, 0, 0, false);
    for (let index = 0; index < keyedCount; index++) {
        await fleet.addServer({ id: `k${String(index)}`, service: keyedService, sharded: true, slots, workMs });
    }
    for (let index = 0; index < plainCount; index++) {
        await fleet.addServer({ id: `p${String(index)}`, service: plainService, sharded: false, slots, workMs });
    }
    fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
    const program = programOf(build);
    const host = await fleet.startHost("h0", undefined, { program });
    await fleet.waitUntilServing();
    for (let index = 1; index <= peerCount; index++) {
        await fleet.startHost(`h${String(index)}`, undefined, { program });
    }
    await fleet.waitUntilServing();
    const startMs = processorMs(host);
    await whenReady();
    const agents = Array.from({ length: clientCount }, () => new http.Agent({ keepAlive: true, maxSockets: 4 }));
    const statuses = new Map<number, number>();
    const secondsMs: number[] = [];
    let beforeMs = processorMs(host);
    for (let second = 0; second < seconds; second++) {
        await sendSecond(host, agents, rate, second, statuses);
        const nowMs = processorMs(host);
        secondsMs.push(nowMs - beforeMs);
        beforeMs = nowMs;
    }
    for (const agent of agents) {
        agent.destroy();
    }
    await fleet.stop();
    return { startMs, secondsMs, statuses };
}

/** Returns a function whose promises resolve when it has been called a number of times. */
function createBarrier(count: number): () => Promise<void> {
    let open = () => undefined as void;
    const opened = new Promise<void>((resolve) => {
        open = resolve;
    });
    let arrivedCount = 0;
    return () => {
        arrivedCount += 1;
        if (arrivedCount === count) {
            open();
        }
        return opened;
    };
}

const [rate = NaN, seconds = NaN, rounds = NaN, peerCount = NaN] = process.argv.slice(2, 6).map(Number);
const builds = process.argv.slice(6);
if (!(rate >= 0 && seconds > 0 && rounds > 0 && peerCount >= 0) || builds.length === 0) {
    process.stderr.write("usage: requestRuns.ts RATE SECONDS ROUNDS PEERS BUNDLE...\n");
    process.exit(2);
}
const totals = builds.map(() => ({ startMs: 0, runMs: 0 }));
for (let round = 0; round < rounds; round++) {
    const whenReady = createBarrier(builds.length);
    const results = await Promise.all(builds.map((build) => measure(build, rate, seconds, peerCount, whenReady)));
    for (const [index, { startMs, secondsMs, statuses }] of results.entries()) {
        const total = totals[index];
        if (total !== undefined) {
            total.startMs += startMs;
            total.runMs += sum(secondsMs);
        }
        process.stdout.write(`round ${String(round)} ${builds[index] ?? ""}: start ${startMs.toFixed(0)} ms, by second `
            + `${secondsMs.map((ms) => (rate > 0 ? ms / rate : ms).toFixed(2)).join(" ")} ms${rate > 0 ? " a request" : ""}, `
            + `${JSON.stringify(Object.fromEntries(statuses))}\n`);
    }
}
for (const [index, { startMs, runMs }] of totals.entries()) {
    const first = totals[0] ?? { startMs, runMs };
    const wholeMs = (startMs + runMs) / rounds / Math.max(1, rate * seconds);
    process.stdout.write(`${builds[index] ?? ""}: start ${(startMs / rounds).toFixed(0)} ms, ratio ${(startMs / first.startMs).toFixed(3)}; `
        + `${rate > 0 ? "load" : "idle"} ${(runMs / rounds / seconds).toFixed(1)} ms a second, ratio ${(runMs / first.runMs).toFixed(3)}; `
        + `all ${wholeMs.toFixed(2)} ms${rate > 0 ? " a request" : ""}\n`);
}
process.exit(0);
