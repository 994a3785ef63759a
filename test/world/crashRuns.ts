/**
 * Plays requests that crash targets against many simulated hosts, with random faults. Usage: tsx test/world/crashRuns.ts RUNS SEED
 */
import { pathToFileURL } from "node:url";
import type { HostId } from "../../src/model/names.js";
import { SeededRandom } from "../support/seededRandom.js";
import type { RequestKind } from "./crashForwarder.js";
import { CrashLoad } from "./crashLoad.js";
import { World } from "./world.js";

const startUpMs = 4_000;
const faultsPerRun = 10;
const maxTimeBetweenFaultsMs = 2_500;

/** Time after the last fault; quarantines end within it. */
const settleMs = 30_000;
const allowedLateDeliveries = 3;
const innocentContents = 30;

/** Which requests crash targets in a run: any few, or many for a service without keys. */
export type DeadlyKind = "any" | "many without key";

/** Kinds of requests of a run: deadly ones of a type that is drawn, and innocent ones of which some are frequent. */
function requestKinds(random: SeededRandom, deadlyContents: readonly string[], deadlyKind: DeadlyKind): RequestKind[] {
    const deadly = deadlyContents.map((content): RequestKind => ({
        content, isDeadly: true, isIdempotent: random.chance(0.6), hasKey: random.chance(0.5) && deadlyKind === "any",
        perSecond: random.pick(deadlyKind === "any" ? [1, 3, 6] : [6, 15, 30]),
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
    steps: string[];
    logLines: string[];
}

/**
 * Plays one run.
 * @param seed seed of all random decisions
 * @param hostCount number of hosts at the start
 * @param targetCount number of targets
 * @param names names of the faults to select from
 * @param deadlyContents contents of the requests that crash targets
 * @param deadlyKind whether some of these have keys
 */
export async function playCrashRun(
    seed: number, hostCount: number, targetCount: number, names: readonly string[] = Object.keys(crashFaults),
    deadlyContents: readonly string[] = ["deadly-1", "deadly-2"], deadlyKind: DeadlyKind = "any",
): Promise<CrashRunResult> {
    const world = new World(seed, targetCount, hostCount);
    const random = new SeededRandom(seed + 1);
    await world.clock.advance(startUpMs);
    const load = new CrashLoad(world, requestKinds(random, deadlyContents, deadlyKind));
    const steps: string[] = [];
    for (let count = 0; count < faultsPerRun; count++) {
        await world.clock.advance(random.integerUpTo(maxTimeBetweenFaultsMs));
        if (names.length > 0) {
            const name = random.pick(names);
            steps.push(`${world.clock.now().monoMs.toFixed(0)} ${name}`);
            crashFaults[name]?.({ world, load, random });
        }
    }
    await world.clock.advance(settleMs);
    load.stop();
    const late = deadlyContents.map((content) => ({ content, count: load.countLateDeliveries(content) }));
    world.stop();
    return {
        seed, steps, logLines: world.hosts.logLines, answered: load.answeredCount, refused: load.refusedCount,
        innocentRefused: load.innocentRefusedCount, crashes: load.crashes.length,
        violations: [
            ...late.filter(({ count }) => count > allowedLateDeliveries).map(({ content, count }) => `${content}: ${String(count)} late deliveries`),
            ...[...load.wronglyRefused].map((content) => `${content} was refused`),
        ],
    };
}

async function main(runCount: number, firstSeed: number, withTrace: boolean): Promise<void> {
    let failedCount = 0;
    for (let seed = firstSeed; seed < firstSeed + runCount; seed++) {
        const result = await playCrashRun(seed, 3 + seed % 22, 8 + seed % 13);
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
    process.stdout.write(`${String(failedCount)} of ${String(runCount)} runs are bad\n`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    const [runCount, firstSeed, trace] = process.argv.slice(2);
    await main(Number(runCount), Number(firstSeed), trace === "trace");
    process.exit(0);
}
