/** Scenarios of load and faults, and the fleet that they run on. */
import type { Clock } from "../model/time.js";
import type { CoordinatorDump, Fleet, FleetOptions } from "./fleet.js";
import type { LoadPlan } from "./load.js";

/** Service time of every stand-in; 5 servers of 3 slots then serve 750 requests/s. */
export const serviceMs = 20;

const statusServers = 5;
const statusSlots = 3;
const readDeadlineMs = 1_000;

/** The probes' own reads are part of the load. */
const probesPerSecond = 28;

const orderDeadlineMs = 2_000;

/** Requests per second that the status servers can serve together. */
export const statusCapacity = statusServers * statusSlots * 1_000 / serviceMs;

/** Requests per second that the numbering servers can serve together: 5 servers of 2 slots. */
const numberingCapacity = 500;

/** Requests per second that the archives can serve together: 3 targets of 3 slots. */
const archiveCapacity = 450;

/** The fleet that scenarios run on. */
export const benchFleet: FleetOptions = {
    hosts: 4, status: statusServers, archive: 3, numbering: 5, gazetteer: 3, serviceMs, keepRecords: 10_000, snapshotEveryMs: 60_000,
};

/** One scenario. */
export interface Scenario {
    durationMs: number;
    plans: LoadPlan[];
    /** What happens besides the load, from its start. */
    happen?: (fleet: Fleet, clock: Clock) => Promise<void>;
    /** Keyed pool whose balance and churn are measured. */
    pool: string;
    /** Names of servers whose shards must move. */
    lostServers?: number;
    /** Differences of its fleet from the usual one. */
    fleet?: Partial<FleetOptions>;
}

const statusKeys = { prefix: "battery-", count: 2_000, hotCount: 0, hotShare: 0 };
const streetKeys = { prefix: "street-", count: 2_000, hotCount: 0, hotShare: 0 };

function statusLoad(share: number, durationMs: number, keys = statusKeys): LoadPlan[] {
    const perSecond = statusCapacity * share - probesPerSecond;
    const common = { pool: "hladvarmi/status", keys, fromMs: 0, untilMs: durationMs };
    return [
        { ...common, kind: "read", perSecond: perSecond * 0.9, deadlineMs: readDeadlineMs },
        { ...common, kind: "order", perSecond: perSecond * 0.1, deadlineMs: orderDeadlineMs },
    ];
}

function floodOf(kind: "meter-reads" | "list", pool: string, perSecond: number, durationMs: number): LoadPlan {
    return { kind, pool, perSecond, keys: streetKeys, deadlineMs: 10_000, fromMs: 0, untilMs: durationMs };
}

/** Finds the process that coordinates a pool, or a server that owns a shard of it. */
async function processOf(fleet: Fleet, pool: string, what: "coordinator" | "server"): Promise<string> {
    for (const { hostId } of fleet.hosts) {
        const dump = await fleet.dump<CoordinatorDump>(`coordinator-${hostId}`);
        const cell = dump?.cells.find((one) => one.acting && one.cell.startsWith(pool));
        if (cell !== undefined) {
            return what === "coordinator" ? `coordinator-${hostId}` : cell.grants?.shards[0]?.owner ?? "";
        }
    }
    return "";
}

async function restartHost(fleet: Fleet, clock: Clock, hostId: string): Promise<void> {
    for (const name of [`entry-${hostId}`, `coordinator-${hostId}`]) {
        fleet.signal(name, "SIGTERM");
        await fleet.whenEnded(name);
        await fleet.restart(name);
    }
    await clock.sleep(2_500);
}

/** All scenarios by name. */
export const scenarios: Record<string, Scenario> = {
    "steady": { pool: "hladvarmi/status", durationMs: 10_000, plans: statusLoad(0.8, 10_000) },
    "overload": { pool: "hladvarmi/status", durationMs: 10_000, plans: statusLoad(2, 10_000) },
    "cold-snap": {
        pool: "hladvarmi/status",
        durationMs: 20_000,
        plans: statusLoad(0.6, 20_000, { ...statusKeys, hotCount: 8, hotShare: 0.5 }),
    },
    "renumbering": {
        pool: "malanad/numbering",
        durationMs: 20_000,
        plans: [
            {
                kind: "order", pool: "malanad/numbering", perSecond: numberingCapacity * 0.4, deadlineMs: orderDeadlineMs,
                keys: { ...streetKeys, hotCount: 1, hotShare: 0.3 }, fromMs: 0, untilMs: 20_000,
            },
            {
                kind: "read", pool: "malanad/numbering", perSecond: numberingCapacity * 0.2, deadlineMs: readDeadlineMs,
                keys: streetKeys, fromMs: 0, untilMs: 20_000,
            },
        ],
    },
    "meter-flood": {
        pool: "hladvarmi/status",
        durationMs: 10_000,
        plans: [...statusLoad(0.5, 10_000), floodOf("meter-reads", "hladvarmi/archive", archiveCapacity * 2, 10_000)],
    },
    "slow-server": {
        pool: "hladvarmi/status",
        durationMs: 12_000,
        plans: statusLoad(0.5, 12_000),
        happen: async (fleet, clock) => {
            await clock.sleep(3_000);
            const server = await processOf(fleet, "hladvarmi/status", "server");
            await fleet.fault(server, { slowMs: 100 });
            await clock.sleep(6_000);
            await fleet.fault(server, {});
        },
    },
    "lying-health": {
        pool: "hladvarmi/status",
        durationMs: 10_000,
        plans: [floodOf("list", "malanad/gazetteer", 100, 10_000), ...statusLoad(0.4, 10_000)],
        happen: async (fleet, clock) => {
            await clock.sleep(2_000);
            await fleet.fault("gazetteer-1", { truncateAnswers: 1_000 });
            await fleet.fault("gazetteer-2", { shedding: true });
            await clock.sleep(5_000);
            await fleet.fault("gazetteer-1", {});
            await fleet.fault("gazetteer-2", {});
        },
    },
    "cold-start": {
        pool: "hladvarmi/status",
        durationMs: 12_000,
        plans: [floodOf("list", "malanad/gazetteer", 200, 12_000)],
        fleet: { targetFlags: ["--cold-factor=5", "--cold-requests=20"] },
        happen: async (fleet, clock) => {
            await clock.sleep(3_000);
            fleet.signal("gazetteer-1", "SIGKILL");
            await clock.sleep(1_000);
            await fleet.restart("gazetteer-1");
        },
    },
    "server-frozen": {
        pool: "hladvarmi/status",
        durationMs: 12_000,
        plans: statusLoad(0.5, 12_000),
        lostServers: 1,
        happen: async (fleet, clock) => {
            await clock.sleep(3_000);
            const server = await processOf(fleet, "hladvarmi/status", "server");
            fleet.signal(server, "SIGSTOP");
            await clock.sleep(3_000);
            fleet.signal(server, "SIGCONT");
        },
    },
    "host-killed": {
        pool: "hladvarmi/status",
        durationMs: 12_000,
        plans: statusLoad(0.5, 12_000),
        happen: async (fleet, clock) => {
            await clock.sleep(3_000);
            const name = await processOf(fleet, "hladvarmi/status", "coordinator");
            fleet.signal(name, "SIGKILL");
            await clock.sleep(4_000);
            await fleet.restart(name);
        },
    },
    "log-outage": {
        pool: "hladvarmi/status",
        durationMs: 10_000,
        plans: statusLoad(0.5, 10_000),
        happen: async (fleet, clock) => {
            await clock.sleep(2_000);
            await fleet.fault("log", { down: true });
            await clock.sleep(5_000);
            await fleet.fault("log", {});
        },
    },
    "rolling-restart": {
        pool: "hladvarmi/status",
        durationMs: 25_000,
        plans: statusLoad(0.4, 25_000),
        happen: async (fleet, clock) => {
            for (const { hostId } of fleet.hosts) {
                await restartHost(fleet, clock, hostId);
            }
        },
    },
};
