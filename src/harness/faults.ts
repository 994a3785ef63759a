/** Faults on real processes, one after the other, with the time that keys were not served. */
import Table from "cli-table3";
import { createSystemClock } from "../adapters/systemClock.js";
import { Caller } from "./caller.js";
import type { CoordinatorDump } from "./fleet.js";
import { Fleet } from "./fleet.js";
import type { ProbeVerdict } from "./probe.js";
import { Probe } from "./probe.js";

const clock = createSystemClock();
const caller = new Caller();
const pool = "hladvarmi/status";
const keys = Array.from({ length: 12 }, (_, index) => `battery-${String(index + 1)}`);
const beforeMs = 1_500;
const afterMs = 3_000;
const freezeMs = 2_500;
const quietMs = 4_000;
const ordersPerSecond = 40;

/** One fault: strikes, and undoes itself before it resolves. */
type FaultRun = (fleet: Fleet) => Promise<void>;

/** Server that owns one of the keys that are read. */
async function ownerName(fleet: Fleet): Promise<string> {
    const answer = await caller.read(fleet.entryUrls[0] as string, pool, keys[0] as string);
    return answer.server ?? "";
}

async function coordinatorName(fleet: Fleet): Promise<string> {
    for (const { hostId } of fleet.hosts) {
        const dump = await fleet.dump<CoordinatorDump>(`coordinator-${hostId}`);
        if (dump?.cells.some((cell) => cell.acting && cell.cell.startsWith(pool)) === true) {
            return `coordinator-${hostId}`;
        }
    }
    return "";
}

async function killAndRestart(fleet: Fleet, name: string): Promise<void> {
    fleet.signal(name, "SIGKILL");
    await clock.sleep(afterMs);
    await fleet.restart(name);
}

async function freeze(fleet: Fleet, name: string): Promise<void> {
    fleet.signal(name, "SIGSTOP");
    await clock.sleep(freezeMs);
    fleet.signal(name, "SIGCONT");
}

const faultRuns: Record<string, FaultRun> = {
    "no fault": () => clock.sleep(afterMs),
    "server killed": async (fleet) => killAndRestart(fleet, await ownerName(fleet)),
    "coordinator killed": async (fleet) => killAndRestart(fleet, await coordinatorName(fleet)),
    "server frozen and back": async (fleet) => freeze(fleet, await ownerName(fleet)),
    "coordinator frozen and back": async (fleet) => freeze(fleet, await coordinatorName(fleet)),
    "connections to a server silent": async (fleet) => {
        fleet.relays.get(await ownerName(fleet))?.silenceOpen();
        await clock.sleep(afterMs);
    },
    "log down": async (fleet) => {
        await fleet.fault("log", { down: true });
        await clock.sleep(afterMs);
        await fleet.fault("log", {});
    },
    "log down, server killed": async (fleet) => {
        await fleet.fault("log", { down: true });
        await killAndRestart(fleet, await ownerName(fleet));
        await fleet.fault("log", {});
    },
    "log down, coordinator killed": async (fleet) => {
        await fleet.fault("log", { down: true });
        await killAndRestart(fleet, await coordinatorName(fleet));
        await fleet.fault("log", {});
    },
    "coordinator restarted as planned": async (fleet) => {
        const name = await coordinatorName(fleet);
        fleet.signal(name, "SIGTERM");
        await fleet.whenEnded(name);
        await fleet.restart(name);
        await clock.sleep(afterMs);
    },
};

/**
 * Runs every fault on one fleet.
 * @param hosts number of hosts
 * @returns the verdict of each fault, by its name
 */
export async function runFaults(hosts: number): Promise<Map<string, ProbeVerdict>> {
    const fleet = new Fleet({
        hosts, status: 5, archive: 1, numbering: 5, gazetteer: 1, serviceMs: 2, keepRecords: 10_000, snapshotEveryMs: 60_000, relayed: true,
    });
    const verdicts = new Map<string, ProbeVerdict>();
    try {
        await fleet.start();
        for (const [name, strike] of Object.entries(faultRuns)) {
            const probe = new Probe(fleet, caller, clock, { pool, keys, ordersPerSecond });
            probe.start();
            await clock.sleep(beforeMs);
            await strike(fleet);
            await clock.sleep(beforeMs);
            verdicts.set(name, await probe.finish());
            await fleet.whenServed();
            await clock.sleep(quietMs);
        }
    }
    finally {
        caller.close();
        await fleet.stop();
    }
    return verdicts;
}

/**
 * Renders verdicts.
 * @param verdicts by the fault's name
 * @returns a table
 */
export function renderVerdicts(verdicts: ReadonlyMap<string, ProbeVerdict>): string {
    const head = ["fault", "longest gap ms", "unavailable ms", "orders", "done", "not-run", "unknown", "lost", "doubled", "false not-run", "false done"];
    const table = new Table({ head, style: { head: [], border: [] } });
    for (const [name, of] of verdicts) {
        table.push([
            name, of.longestGapMs, of.unavailableMs, of.orders, of.done, of.notRun, of.unknown, of.lost,
            of.doubled, of.falseNotRun, of.falseDone,
        ]);
    }
    return table.toString();
}
