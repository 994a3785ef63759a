/** What control costs at rest at three sizes: processor time, memory and bytes, by role: `npm run control-cost`. */
import Table from "cli-table3";
import { createSystemClock } from "../adapters/systemClock.js";
import { Fleet } from "./fleet.js";
import { round } from "./load.js";
import { cpuMsOf, loopbackBytes, residentBytesOf } from "./usage.js";

const clock = createSystemClock();
const restMs = 10_000;
const settleMs = 15_000;
const bytesPerMb = 1_048_576;

interface RoleCost {
    coreShare: number;
    residentMb: number;
}

function pidsOf(fleet: Fleet, prefix: string): number[] {
    return [...fleet.processes.values()]
        .filter((one) => one.name.startsWith(prefix))
        .flatMap((one) => one.child.pid === undefined ? [] : [one.child.pid]);
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

async function costAtRest(hosts: number, servers: number): Promise<(string | number)[]> {
    const fleet = new Fleet({
        hosts, status: servers, archive: 1, numbering: servers, gazetteer: 1, serviceMs: 1, keepRecords: 10_000, snapshotEveryMs: 600_000,
    });
    try {
        await fleet.start();
        await clock.sleep(settleMs);
        const roles = ["coordinator-", "entry-", "status-"];
        const before = roles.map((role) => pidsOf(fleet, role).map(cpuMsOf));
        const bytesBefore = loopbackBytes();
        await clock.sleep(restMs);
        const bytesPerSecond = (loopbackBytes() - bytesBefore) * 1_000 / restMs;
        const costs = roles.map((role, index): RoleCost => {
            const pids = pidsOf(fleet, role);
            const usedMs = pids.map((pid, place) => cpuMsOf(pid) - (before[index]?.[place] ?? 0));
            return { coreShare: mean(usedMs) / restMs, residentMb: mean(pids.map(residentBytesOf)) / bytesPerMb };
        });
        const cells = [`${String(hosts)} hosts, ${String(servers * 2)} servers`, round(bytesPerSecond / 1_024, 0)];
        const perNode = round(bytesPerSecond / 1_024 / (hosts + servers * 2), 1);
        return [...cells, perNode, ...costs.flatMap((cost) => [`${String(round(cost.coreShare * 100, 2))} %`, `${String(Math.round(cost.residentMb))} MB`])];
    }
    finally {
        await fleet.stop();
    }
}

const table = new Table({
    head: ["fleet", "KiB/s on loopback", "a node", "coordinator core", "memory", "entry core", "memory", "server core", "memory"],
    style: { head: [], border: [] },
});
for (const [hosts, servers] of [[4, 5], [8, 10], [10, 15]] as const) {
    table.push(await costAtRest(hosts, servers));
}
process.stdout.write(`${table.toString()}\n`);
process.exit(0);
