/**
 * Plays requests that crash targets against many simulated hosts, with random faults. Usage: tsx test/world/crashRuns.ts RUNS SEED, and
 * `trace` for the hosts' logs, `ends` for runs in which several requests wait for the end of their quarantines, `fault=NAME` for runs with
 * this fault only, or `gap=MS` for the longest time between two faults
 */
import { pathToFileURL } from "node:url";
import type { HostId } from "../../src/model/names.js";
import { SeededRandom } from "../support/seededRandom.js";
import type { RequestKind } from "./crashForwarder.js";
import { CrashLoad } from "./crashLoad.js";
import { World } from "./world.js";

const startUpMs = 4_000;
const faultsPerRun = 10;

/** Time after the last fault; quarantines end within it. */
const settleMs = 30_000;
const allowedLateDeliveries = 3;

/** The shortest quarantine is 15 s; hosts send a granted trial within a second. */
const minTimeBetweenTrialsMs = 14_000;
const innocentContents = 30;

/** Which requests crash targets in a run: any few, or many for a service without keys. */
export type DeadlyKind = "any" | "many without key";

/** Kinds of requests of a run: deadly ones of a type that is drawn, and innocent ones of which some are frequent. */
function requestKinds(random: SeededRandom, { deadlyContents, deadlyKind, healsAfterMs }: CrashPlan): RequestKind[] {
    const deadly = deadlyContents.map((content): RequestKind => ({
        content, isDeadly: true, isIdempotent: random.chance(0.6), hasKey: random.chance(0.5) && deadlyKind === "any",
        perSecond: random.pick(deadlyKind === "any" ? [1, 3, 6] : [6, 15, 30]),
        ...healsAfterMs === undefined ? {} : { crashesForMs: healsAfterMs },
    }));
    const innocent = Array.from({ length: innocentContents }, (_, index): RequestKind => ({
        content: `innocent-${String(index)}`, isDeadly: false, isIdempotent: random.chance(0.7), hasKey: random.chance(0.5),
        perSecond: index < 4 ? 8 : 1,
    }));
    return [...deadly, ...innocent];
}

/** A run in progress. */
interface CrashRun {
    world: World;
    load: CrashLoad;
    random: SeededRandom;
}

/** Faults by name. Each ends by itself. */
export const crashFaults: Record<string, (run: CrashRun) => void> = {
    killHost: (run) => {
        restart(run, run.random.pick(run.world.hostIds), 300 + run.random.integerUpTo(3_000));
    },
    killMostHosts: (run) => {
        run.world.hostIds.filter(() => run.random.chance(0.7)).forEach((hostId) => {
            restart(run, hostId, 300 + run.random.integerUpTo(1_500));
        });
    },
    killAllHosts: (run) => {
        run.world.hostIds.forEach((hostId) => {
            restart(run, hostId, 500 + run.random.integerUpTo(500));
        });
    },
    killCoordinator: (run) => {
        run.world.hosts.coordinators().forEach((hostId) => {
            restart(run, hostId, 2_000);
        });
    },
    joinHost: (run) => {
        const hostId = `joined-${String(run.world.hostIds.length)}` as HostId;
        run.world.hostIds.push(hostId);
        run.world.hosts.start(hostId);
        run.load.disturb(hostId);
    },
    suspendHost: (run) => {
        suspend(run, run.random.pick(run.world.hostIds));
    },
    suspendCoordinator: (run) => {
        run.world.hosts.coordinators().forEach((hostId) => {
            suspend(run, hostId);
        });
    },
    cutHostFromAllOthers: (run) => {
        const hostId = run.random.pick(run.world.hostIds);
        cut(run, [hostId], run.world.hostIds.filter((other) => other !== hostId));
    },
    cutHalves: (run) => {
        const half = run.world.hostIds.filter(() => run.random.chance(0.5));
        cut(run, half, run.world.hostIds.filter((hostId) => !half.includes(hostId)));
    },
    cutAllFromEachOther: (run) => {
        run.world.hostIds.forEach((hostId) => {
            cut(run, [hostId], run.world.hostIds.filter((other) => other !== hostId));
        });
    },
    stopStore: ({ world, random, load }) => {
        world.store.isDown = true;
        const durationMs = 1_000 + random.integerUpTo(5_000);
        for (let atMs = 0; atMs <= durationMs; atMs += 500) {
            void world.clock.sleep(atMs).then(() => {
                world.hostIds.forEach((hostId) => {
                    load.disturb(hostId);
                });
            });
        }
        void world.clock.sleep(durationMs).then(() => {
            world.store.isDown = false;
        });
    },
    crashTarget: ({ world, random, load }) => {
        load.crashTarget(random.pick(world.targets.all()));
    },
    crashAllTargets: ({ world, random, load }) => {
        world.targets.all().forEach((target) => {
            void world.clock.sleep(random.integerUpTo(200)).then(() => {
                load.crashTarget(target);
            });
        });
    },
};

function restart({ world, load }: CrashRun, hostId: HostId, afterMs: number): void {
    world.hosts.kill(hostId);
    load.disturb(hostId);
    void world.clock.sleep(afterMs).then(() => {
        if (!world.hosts.runs.has(hostId)) {
            world.hosts.start(hostId);
            load.disturb(hostId);
        }
    });
}

function suspend({ world, load, random }: CrashRun, hostId: HostId): void {
    const process = world.hosts.runs.get(hostId)?.process;
    process?.pause();
    load.disturb(hostId);
    void world.clock.sleep(300 + random.integerUpTo(4_000)).then(() => {
        process?.resume();
        load.disturb(hostId);
    });
}

function cut({ world, random }: CrashRun, some: readonly HostId[], others: readonly HostId[]): void {
    const links = some.flatMap((from) => others.flatMap((to) => [`${from}>${to}`, `${to}>${from}`]));
    links.forEach((link) => world.hosts.blockedLinks.add(link));
    void world.clock.sleep(1_000 + random.integerUpTo(5_000)).then(() => {
        links.forEach((link) => world.hosts.blockedLinks.delete(link));
    });
}

/** Result of a run. */
export interface CrashRunResult {
    seed: number;
    /** Broken promises, one text each. */
    violations: string[];
    answered: number;
    refused: number;
    innocentRefused: number;
    crashes: number;
    /** Number of runs after a quarantine. */
    trials: number;
    /** Deliveries of each deadly request that the platform's rule counts. */
    lateDeliveries: number[];
    /** Longest time from the last crash with one of the deadly requests to its first completion. */
    completedAfterMs: number;
    steps: string[];
    logLines: string[];
}

/** What happens in a run. */
export interface CrashPlan {
    /** Number of hosts at the start. */
    hostCount: number;
    targetCount: number;
    /** Names of the faults to select from. */
    faultNames: readonly string[];
    /** Time from the start of the load from which faults occur. */
    faultsFromMs: number;
    maxTimeBetweenFaultsMs: number;
    /** Contents of the requests that crash targets. */
    deadlyContents: readonly string[];
    deadlyKind: DeadlyKind;
    /** Time after which they crash none any more; undefined for never. */
    healsAfterMs?: number;
}

/** Returns the plan that is drawn for a seed: 3 to 24 hosts with all faults. */
export function planOf(seed: number, changes: Partial<CrashPlan> = {}): CrashPlan {
    return {
        hostCount: 3 + seed % 22, targetCount: 8 + seed % 13,
        faultNames: Object.keys(crashFaults), faultsFromMs: 0, maxTimeBetweenFaultsMs: 2_500,
        deadlyContents: ["deadly-1", "deadly-2"], deadlyKind: "any", ...changes,
    };
}

/** Several requests at a time, each of which comes so often that all hosts have one when a quarantine ends. */
export const quarantineEnds: Partial<CrashPlan> = {
    deadlyContents: ["deadly-1", "deadly-2", "deadly-3"], deadlyKind: "many without key",
};

/** Time between faults with which some happen when quarantines end. */
export const faultsDuringQuarantinesMs = 6_000;

/**
 * Plays one run.
 * @param seed seed of all random decisions
 * @param plan what happens
 */
export async function playCrashRun(seed: number, plan: CrashPlan = planOf(seed)): Promise<CrashRunResult> {
    const { hostCount, targetCount, faultNames, maxTimeBetweenFaultsMs, deadlyContents } = plan;
    const world = new World(seed, targetCount, hostCount);
    const random = new SeededRandom(seed + 1);
    await world.clock.advance(startUpMs);
    const load = new CrashLoad(world, requestKinds(random, plan));
    const steps: string[] = [];
    await world.clock.advance(plan.faultsFromMs);
    for (let count = 0; count < faultsPerRun; count++) {
        await world.clock.advance(random.integerUpTo(maxTimeBetweenFaultsMs));
        if (faultNames.length > 0) {
            const name = random.pick(faultNames);
            steps.push(`${world.clock.now().monoMs.toFixed(0)} ${name}`);
            crashFaults[name]?.({ world, load, random });
        }
    }
    await world.clock.advance(settleMs);
    load.stop();
    world.stop();
    const late = deadlyContents.map((content) => ({ content, count: load.countLateDeliveries(content) }));
    return {
        seed, steps, logLines: world.hosts.logLines, answered: load.answeredCount, refused: load.refusedCount,
        innocentRefused: load.innocentRefusedCount, crashes: load.crashes.length,
        lateDeliveries: late.map(({ count }) => count),
        completedAfterMs: Math.max(...deadlyContents.map((content) => load.timeToCompletionMs(content))),
        trials: load.deliveries.filter(({ isTrial }) => isTrial).length,
        violations: [
            ...late.filter(({ count }) => count > allowedLateDeliveries).map(({ content, count }) => `${content}: ${String(count)} late deliveries`),
            ...deadlyContents.filter((content) => load.hasTrialsWithin(content, minTimeBetweenTrialsMs))
                .map((content) => `${content}: two trials after one quarantine`),
            ...[...load.wronglyRefused].map((content) => `${content} was refused`),
        ],
    };
}

async function main(runCount: number, firstSeed: number, options: readonly string[]): Promise<void> {
    const withTrace = options.includes("trace");
    const valueOf = (name: string) => options.find((option) => option.startsWith(`${name}=`))?.slice(name.length + 1);
    const [fault, gapMs] = [valueOf("fault"), valueOf("gap")];
    const changes: Partial<CrashPlan> = {
        ...options.includes("ends") ? { ...quarantineEnds, maxTimeBetweenFaultsMs: faultsDuringQuarantinesMs } : {},
        ...fault === undefined ? {} : { faultNames: [fault] },
        ...gapMs === undefined ? {} : { maxTimeBetweenFaultsMs: Number(gapMs) },
    };
    let failedCount = 0;
    let trialCount = 0;
    for (let seed = firstSeed; seed < firstSeed + runCount; seed++) {
        const result = await playCrashRun(seed, planOf(seed, changes));
        trialCount += result.trials;
        failedCount += result.violations.length > 0 ? 1 : 0;
        if (result.violations.length > 0 || withTrace) {
            const { answered, refused, innocentRefused, crashes, violations, steps } = result;
            const counts = `${String(answered)} answered, ${String(refused)} refused, ${String(innocentRefused)} of these innocent, ${String(crashes)} crashes`;
            process.stdout.write(`seed ${String(seed)}: ${violations.join("; ")} (${counts}) ${steps.join(", ")}\n`);
        }
        if (withTrace) {
            process.stdout.write(`${result.logLines.join("\n")}\n`);
        }
    }
    process.stdout.write(`${String(failedCount)} of ${String(runCount)} runs are bad; ${String(trialCount)} trials\n`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    const [runCount, firstSeed, ...options] = process.argv.slice(2);
    await main(Number(runCount), Number(firstSeed), options);
    process.exit(0);
}
