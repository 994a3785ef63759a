/** Runs the simulation with random faults for a number of seeds. Usage: tsx test/world/runs.ts RUNS SEED [trace] */
import { pathToFileURL } from "node:url";
import { faultNames, faults, World } from "./world.js";

const startUpMs = 4_000;
const faultsPerRun = 14;
const maxPauseMs = 1_500;

/** Time after the last fault within which every key must be held again; a lost coordinator's longest lease may have to expire first. */
const recoveryMs = 22_000;

/** Result of a run. */
export interface RunResult {
    seed: number;
    violations: string[];
    /** Shares of the keys that were held before the faults, and after they were healed. */
    heldShareBefore: number;
    heldShareAfter: number;
    /** Hosts whose view of term, owners, targets or members differs from the first host's at the end. */
    disagreeingHosts: string[];
    /** Injected faults, each with its time. */
    steps: string[];
    logLines: string[];
}

/**
 * Runs the simulation once.
 * @param seed seed of all random decisions
 */
export async function playRun(seed: number): Promise<RunResult> {
    const world = new World(seed);
    const steps: string[] = [];
    await world.clock.advance(startUpMs);
    const heldShareBefore = world.targets.heldShare();
    for (let count = 0; count < faultsPerRun; count++) {
        const name = world.random.pick(faultNames);
        steps.push(`${world.clock.now().monoMs.toFixed(0)} ${name}`);
        faults[name]?.(world);
        world.addLoad();
        await world.clock.advance(world.random.integerUpTo(maxPauseMs));
    }
    world.heal();
    await world.clock.advance(recoveryMs);
    const result = {
        seed, steps, heldShareBefore, heldShareAfter: world.targets.heldShare(), disagreeingHosts: findDisagreeingHosts(world),
        violations: world.targets.violations, logLines: world.hosts.logLines,
    };
    world.stop();
    return result;
}

function findDisagreeingHosts(world: World): string[] {
    const knowledge = [...world.hosts.runs].map(([hostId, { view, membership }]) => ({
        hostId,
        text: JSON.stringify([
            view.ledger.term,
            view.ledger.ownerships().sort((left, right) => left.targetId < right.targetId ? -1 : 1),
            world.targets.all().map(({ targetId }) => view.targets.get(targetId)?.state),
            membership.members().map(({ runId }) => runId),
        ]),
    }));
    return knowledge.filter(({ text }) => text !== knowledge[0]?.text).map(({ hostId }) => hostId);
}

/** Tells whether a run violated exclusive ownership, left hosts disagreeing, or left keys without an owner. */
export function hasFailed(result: RunResult): boolean {
    return result.violations.length > 0 || result.disagreeingHosts.length > 0 || result.heldShareBefore < 1 || result.heldShareAfter < 1;
}

async function main(runs: number, seed: number, trace: boolean): Promise<void> {
    let failedCount = 0;
    for (let index = 0; index < runs; index++) {
        const result = await playRun(seed + index);
        if (hasFailed(result)) {
            failedCount += 1;
            process.stdout.write(`seed ${String(result.seed)}: held ${String(result.heldShareBefore)} then ${String(result.heldShareAfter)}; disagree ${result.disagreeingHosts.join()}; ${result.violations.slice(0, 2).join("; ")}\n`);
        }
        if (trace) {
            process.stdout.write(`${[...result.steps.map((step) => `STEP ${step}`), ...result.logLines].sort((left, right) => parseTime(left) - parseTime(right)).join("\n")}\n`);
        }
    }
    process.stdout.write(`${String(failedCount)} of ${String(runs)} runs are bad\n`);
}

function parseTime(line: string): number {
    return Number(line.replace("STEP ", "").split(" ", 1)[0]);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    const [runs, seed, trace] = process.argv.slice(2);
    await main(Number(runs), Number(seed), trace === "trace");
    process.exit(0);
}
