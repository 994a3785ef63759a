/**
 * Compares the processor time that builds of the daemon spend on a request, and the connections to targets that they open. Each build has a
 * fleet of its own in which one daemon gets the same load at the same time as the others, since the speed of a shared machine changes from
 * second to second: only the ratio counts.
 * Usage: runs.ts served|posted|opened|refused|shed COUNT BUNDLE BUNDLE...
 */
import { readFileSync } from "node:fs";
import http from "node:http";
import { topics } from "../../platform/names.js";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import type { FleetHost } from "../fleet/fleet.js";
import { buildRoutingConfig, fetchAdminPage, Fleet, keyedService, paths, send } from "../fleet/fleet.js";

const roundCount = 4;
const warmUpCount = 2_000;
const keyedCount = 3;

/** Unit of the times in `/proc/PID/stat`. */
const tickMs = 10;

/** Steps from one key to the next; a prime, so that all keys get their turn. */
const keyStep = 7_919;
const keyCount = 65_536;

interface Load {
    method: string;
    body?: string;
    clientCount: number;
    slots: number;
    workMs: number;
    budgetMs: number;
    /** False to open a connection for each request. */
    keepsConnections: boolean;
    /** Share of the requests that targets reject; their rejections name no request. */
    shedShare?: number;
}

const served: Load = { method: "GET", clientCount: 12, slots: 40, workMs: 2, budgetMs: 4_000, keepsConnections: true };

const loads: Record<string, Load> = {
    served,
    posted: { ...served, method: "POST", body: "{}" },
    opened: { ...served, keepsConnections: false },
    shed: { ...served, method: "POST", body: "{}", shedShare: 0.1 },
    refused: { ...served, clientCount: 40, slots: 1, workMs: 400, budgetMs: 300 },
};

interface Build {
    bundle: string;
    fleet: Fleet;
    host: FleetHost;
}

async function start(bundle: string, { slots, workMs, shedShare = 0 }: Load): Promise<Build> {
    const fleet = await Fleet.start(0, 0, 0, false);
    for (let index = 0; index < keyedCount; index++) {
        await fleet.addServer({ id: `k${String(index)}`, service: keyedService, sharded: true, slots, workMs });
    }
    fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
    const host = await fleet.startHost("h0", undefined, { program: [bundle] });
    await fleet.waitUntilServing();
    fleet.servers.forEach((server) => {
        server.faults = { ...noServerFaults, shedShare, namesRejections: false };
    });
    return { bundle, fleet, host };
}

/** Processor time that a process has used so far, in its own code and in the kernel. */
function processorMs({ child }: FleetHost): number {
    const fields = readFileSync(`/proc/${String(child.pid)}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) * tickMs;
}

/** Number of connections that a host has opened to targets for requests. */
async function connectionCount(host: FleetHost): Promise<number> {
    const metrics = await fetchAdminPage(host, "/metrics");
    return Number(/^hornbeam_connections_total\{kind="request"\} (\d+)/m.exec(metrics)?.[1] ?? 0);
}

/** Sends requests; each client sends its next one when the last one has been answered. Returns how many had each status. */
async function sendAll({ host }: Build, load: Load, count: number, round: string): Promise<Map<number, number>> {
    const counts = new Map<number, number>();
    let sentCount = 0;
    await Promise.all(Array.from({ length: load.clientCount }, async () => {
        const kept = new http.Agent({ keepAlive: true, maxSockets: 1 });
        while (sentCount < count) {
            const index = sentCount++;
            const { status } = await send(host, {
                id: `${round}-${String(index)}`, path: `${paths.read}x`, method: load.method, body: load.body, budgetMs: load.budgetMs,
                key: (index * keyStep) % keyCount, agent: load.keepsConnections ? kept : new http.Agent({ maxSockets: 1 }),
            });
            counts.set(status, (counts.get(status) ?? 0) + 1);
        }
        kept.destroy();
    }));
    return counts;
}

const [loadName = "", count = "", ...bundles] = process.argv.slice(2);
const load = loads[loadName];
if (load === undefined || !(Number(count) > 0) || bundles.length === 0) {
    process.stderr.write(`usage: runs.ts ${Object.keys(loads).join("|")} COUNT BUNDLE BUNDLE...\n`);
    process.exit(2);
}
const builds = await Promise.all(bundles.map((bundle) => start(bundle, load)));
await Promise.all(builds.map((build) => sendAll(build, load, warmUpCount, "warm")));
for (let round = 0; round < roundCount; round++) {
    const openedBefore = await Promise.all(builds.map(({ host }) => connectionCount(host)));
    const before = builds.map(({ host }) => processorMs(host));
    const counts = await Promise.all(builds.map((build) => sendAll(build, load, Number(count), `round-${String(round)}`)));
    const usPerRequest = builds.map(({ host }, index) => (processorMs(host) - (before[index] ?? 0)) * 1_000 / Number(count));
    const opened = await Promise.all(builds.map(({ host }) => connectionCount(host)));
    for (const [index, { bundle }] of builds.entries()) {
        const us = usPerRequest[index] ?? 0;
        const newConnections = (opened[index] ?? 0) - (openedBefore[index] ?? 0);
        process.stdout.write(`${loadName} round ${String(round)} ${bundle}: ${us.toFixed(0)} us a request, `
            + `ratio ${(us / (usPerRequest[0] ?? us)).toFixed(3)}, ${String(newConnections)} connections opened, ${JSON.stringify(Object.fromEntries(counts[index] ?? []))}\n`);
    }
}
await Promise.all(builds.map(({ fleet }) => fleet.stop()));
process.exit(0);
