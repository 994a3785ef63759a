/** Runs the simulation with random faults for a number of seeds. Usage: tsx test/world/runs.ts RUNS SEED [trace] */
import { pathToFileURL } from "node:url";
import { allFaultNames, faultNames, faults, World } from "./world.js";

const startUpMs = 4_000;
const faultsPerRun = 14;
const maxTimeBetweenFaultsMs = 1_500;

/**
 * Time after the end of all faults within which every key must be held again. The longest lease that a lost coordinator granted may
 * have to expire first.
 */
const recoveryMs = 22_000;

/** Result of a run. */
export interface RunResult {
    seed: number;
    violations: string[];
    /** Shares of the keys that were held before the faults, and after the recovery time. */
    heldShareBefore: number;
    heldShareAfter: number;
    /** Hosts whose view of term, owners, targets or members differs from the first host's at the end. */
    disagreeingHosts: string[];
    /** Number of times that the store came back from an older copy. */
    returnCount: number;
    /** Injected faults, each with its virtual time in milliseconds. */
    steps: string[];
    /** Log lines of all hosts, each with its virtual time in milliseconds. */
    logLines: string[];
}

/**
 * Runs the simulation once.
 * @param seed seed of all random decisions
 * @param names names of the faults to select from
 */
export async function playRun(seed: number, names: readonly string[] = faultNames): Promise<RunResult> {
    const world = new World(seed);
    const steps: string[] = [];
    await world.clock.advance(startUpMs);
    const heldShareBefore = world.targets.heldShare();
    for (let count = 0; count < faultsPerRun; count++) {
        const name = world.random.pick(names);
        steps.push(`${world.clock.now().monoMs.toFixed(0)} ${name}`);
        faults[name]?.(world);
        world.addLoad();
        await world.clock.advance(world.random.integerUpTo(maxTimeBetweenFaultsMs));
    }
    world.heal();
    await world.clock.advance(recoveryMs);
    const result = {
        seed, steps, heldShareBefore, heldShareAfter: world.targets.heldShare(), disagreeingHosts: findDisagreeingHosts(world),
        violations: world.targets.violations, logLines: world.hosts.logLines, returnCount: world.returnCount,
    };
    world.stop();
    return result;
}

function findDisagreeingHosts(world: World): string[] {
    const knowledge = [...world.hosts.runs].map(([hostId, { view, membership }]) => ({
        hostId,
        text: JSON.stringify([
            view.ledger.term,
            view.ledger.ownerships().slice().sort((left, right) => left.targetId < right.targetId ? -1 : 1),
            world.targets.all().map(({ targetId }) => view.targets.get(targetId)?.state),
            membership.members().map(({ runId }) => runId),
        ]),
    }));
    return knowledge.filter(({ text }) => text !== knowledge[0]?.text).map(({ hostId }) => hostId);
}

/** Tells whether a run violated exclusive ownership, left hosts disagreeing, or had keys without an owner before or after the faults. */
export function hasFailed(result: RunResult): boolean {
    return result.violations.length > 0 || result.disagreeingHosts.length > 0 || result.heldShareBefore < 1 || result.heldShareAfter < 1;
}

async function main(runCount: number, firstSeed: number, withTrace: boolean): Promise<void> {
    let failedCount = 0;
    let returnedCount = 0;
    for (let index = 0; index < runCount; index++) {
        const result = await playRun(firstSeed + index, allFaultNames);
        returnedCount += result.returnCount > 0 ? 1 : 0;
        if (hasFailed(result)) {
            failedCount += 1;
            process.stdout.write(`seed ${String(result.seed)}: share of keys held ${String(result.heldShareBefore)} before the faults, ${String(result.heldShareAfter)} after; disagreeing hosts: ${result.disagreeingHosts.join()}; ${result.violations.slice(0, 2).join("; ")}\n`);
        }
        if (withTrace) {
            process.stdout.write(`${[...result.steps.map((step) => `STEP ${step}`), ...result.logLines].sort((left, right) => parseTime(left) - parseTime(right)).join("\n")}\n`);
        }
    }
    process.stdout.write(`${String(failedCount)} of ${String(runCount)} runs are bad; the store came back from an older copy in ${String(returnedCount)}\n`);
}

function parseTime(line: string): number {
    return Number(line.replace("STEP ", "").split(" ", 1)[0]);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    const [runCount, firstSeed, trace] = process.argv.slice(2);
    await main(Number(runCount), Number(firstSeed), trace === "trace");
    process.exit(0);
}
