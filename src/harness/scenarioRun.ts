/** Runs one scenario on a fresh fleet, and sums it up as the brief's measures. */
import type { ConfigDocument, TermsOfService } from "../config/document.js";
import type { Clock } from "../model/time.js";
import { Caller } from "./caller.js";
import type { CoordinatorDump } from "./fleet.js";
import { Fleet } from "./fleet.js";
import type { KindFigures, LoadSample } from "./load.js";
import { figuresOf, round, sendLoad } from "./load.js";
import { Probe } from "./probe.js";
import type { Scenario } from "./scenarios.js";
import { benchFleet, serviceMs } from "./scenarios.js";

const probeKeys = ["battery-1", "battery-2"];
const probeEveryMs = 50;
const churnPollMs = 500;
const ownerSlots = 3;

/** Figures of one run. */
export interface ScenarioFigures {
    byKind: Record<string, KindFigures>;
    /** Work of the busiest server over the mean. */
    imbalance: number;
    /** Shards that changed their server. */
    moves: number;
    /** Moves beyond those of lost servers' shards. */
    movesBeyondNeed: number;
    longestUnavailableMs: number;
    sumUnavailableMs: number;
    doubledOrders: number;
    falseNotRun: number;
    /** p99 of reads over that of ideal queues, one for each server, computed from the same times. */
    p99OverIdeal: number;
}

/** How one run differs from the next. */
export interface RunOptions {
    seed: number;
    policy: "queue" | "plain";
    /** Settings of the configuration's defaults that differ from the sample's. */
    set: Partial<TermsOfService>;
}

/**
 * Runs a scenario.
 * @param scenario the scenario
 * @param options seed and policy
 * @param clock clocks of this process
 * @returns its figures
 */
export async function runScenario(scenario: Scenario, options: RunOptions, clock: Clock): Promise<ScenarioFigures> {
    const fleet = new Fleet({ ...benchFleet, ...scenario.fleet, adjust: (document) => withOptions(document, options) });
    const caller = new Caller();
    try {
        await fleet.start();
        const probe = new Probe(fleet, caller, clock, {
            pool: "hladvarmi/status", keys: probeKeys, ordersPerSecond: 0, readEveryMs: probeEveryMs,
        });
        const watching = { done: false };
        void fleet.watchReadiness(watching);
        const owners = watchOwners(fleet, scenario.pool, clock, watching);
        probe.start();
        const happening = scenario.happen?.(fleet, clock);
        const samples = await sendLoad(scenario.plans, () => fleet.readyEntryUrls, caller, clock, options.seed);
        await happening;
        const probed = await probe.finish();
        watching.done = true;
        return sumUp(samples, await owners, scenario, probed, fleet);
    }
    finally {
        caller.close();
        await fleet.stop();
    }
}

function withOptions(document: ConfigDocument, { policy, set }: RunOptions): ConfigDocument {
    Object.assign(document.defaults, set, { policy });
    if (policy === "plain") {
        document.defaults.movesPerHour = 0;
        document.exceptions = [];
    }
    return document;
}

interface OwnerHistory {
    moves: number;
    movedFrom: Set<string>;
}

/** Counts the changes of shards' owners, by asking the acting coordinators again and again. */
async function watchOwners(fleet: Fleet, pool: string, clock: Clock, watching: { done: boolean }): Promise<OwnerHistory> {
    const owners = new Map<string, string>();
    const history: OwnerHistory = { moves: 0, movedFrom: new Set() };
    while (!watching.done) {
        const dumps = await Promise.all(fleet.hosts.map(({ hostId }) => fleet.dump<CoordinatorDump>(`coordinator-${hostId}`)));
        const cells = dumps.flatMap((dump) => dump?.cells ?? []).filter((cell) => cell.acting && cell.cell.startsWith(pool));
        for (const { shard, owner, serving } of cells.flatMap((cell) => cell.grants?.shards ?? [])) {
            const before = owners.get(String(shard));
            if (owner === undefined || !serving) {
                continue;
            }
            if (before !== undefined && before !== owner) {
                history.moves += 1;
                history.movedFrom.add(`${String(shard)}@${before}`);
            }
            owners.set(String(shard), owner);
        }
        await clock.sleep(churnPollMs);
    }
    return history;
}

function sumUp(
    samples: readonly LoadSample[],
    owners: OwnerHistory,
    scenario: Scenario,
    probed: { longestGapMs: number; unavailableMs: number },
    fleet: Fleet,
): ScenarioFigures {
    const runs = fleet.runsByOrderId();
    const kinds = [...new Set(samples.map((sample) => sample.kind))];
    const keyed = samples.filter((sample) => sample.kind === "read" || sample.kind === "order");
    const orders = samples.filter((sample) => sample.orderId !== undefined);
    const shardsOfOne = (fleet.document?.institutions["hladvarmi"]?.pools["status"]?.shards ?? 0) / benchFleet.status;
    return {
        byKind: Object.fromEntries(kinds.map((kind) => [kind, figuresOf(samples.filter((sample) => sample.kind === kind))])),
        imbalance: imbalanceOf(keyed),
        moves: owners.moves,
        movesBeyondNeed: Math.max(0, owners.moves - (scenario.lostServers ?? 0) * shardsOfOne),
        longestUnavailableMs: probed.longestGapMs,
        sumUnavailableMs: probed.unavailableMs,
        doubledOrders: [...runs.values()].filter((count) => count > 1).length,
        falseNotRun: orders.filter((order) => order.answer.outcome === "not-run" && runs.has(order.orderId ?? "")).length,
        p99OverIdeal: idealRatio(keyed),
    };
}

/** Counted in the second half, when moves for balance have had their time. */
function imbalanceOf(samples: readonly LoadSample[]): number {
    const lastMs = Math.max(...samples.map((sample) => sample.intendedMs));
    const counts = new Map<string, number>();
    for (const { answer, intendedMs } of samples) {
        if (answer.server !== undefined && intendedMs > lastMs / 2) {
            counts.set(answer.server, (counts.get(answer.server) ?? 0) + 1);
        }
    }
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    return round(Math.max(...counts.values()) * counts.size / Math.max(1, total));
}

/** Serves the same requests in an ideal queue for each server: no network, no queueing but for its slots. */
function idealRatio(samples: readonly LoadSample[]): number {
    const freeAtMs = new Map<string, number[]>();
    const idealMs: number[] = [];
    const served = samples.filter((sample) => sample.answer.server !== undefined);
    for (const { answer, intendedMs } of [...served].sort((left, right) => left.intendedMs - right.intendedMs)) {
        const slots = freeAtMs.get(answer.server ?? "") ?? Array.from({ length: ownerSlots }, () => 0);
        slots.sort((left, right) => left - right);
        const endMs = Math.max(slots[0] ?? 0, intendedMs) + serviceMs;
        slots[0] = endMs;
        freeAtMs.set(answer.server ?? "", slots);
        idealMs.push(endMs - intendedMs);
    }
    const at99 = (values: number[]) => values.sort((left, right) => left - right)[Math.floor(values.length * 0.99)] ?? 0;
    return round(at99(served.map((sample) => sample.tookMs)) / Math.max(1, at99(idealMs)));
}
