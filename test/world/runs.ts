/** Random runs of the world. Usage: tsx test/world/runs.ts RUNS SEED [trace] */
import { pathToFileURL } from "node:url";
import { troubleNames, troubles, World } from "./world.js";

const settleMs = 4_000;
const troublesPerRun = 14;
const longestPauseMs = 1_500;

/** Time after the last trouble within which every key is held again; a lost coordinator's longest lease may have to end first. */
const recoverMs = 22_000;

/** What a run showed. */
export interface RunResult {
    seed: number;
    violations: string[];
    /** Share of the keys held before the troubles, and after they were healed. */
    heldBefore: number;
    heldAfter: number;
    /** Hosts that in the end know other owners, targets or hosts than the first host. */
    disagreeing: string[];
    steps: string[];
    lines: string[];
}

/**
 * Plays a run.
 * @param seed fixes it
 */
export async function playRun(seed: number): Promise<RunResult> {
    const world = new World(seed);
    const steps: string[] = [];
    await world.clock.advance(settleMs);
    const heldBefore = world.targets.heldKeys();
    for (let count = 0; count < troublesPerRun; count++) {
        const name = world.random.pick(troubleNames);
        steps.push(`${world.clock.now().monoMs.toFixed(0)} ${name}`);
        troubles[name]?.(world);
        world.addLoad();
        await world.clock.advance(world.random.upTo(longestPauseMs));
    }
    world.heal();
    await world.clock.advance(recoverMs);
    const result = {
        seed, steps, heldBefore, heldAfter: world.targets.heldKeys(), disagreeing: disagreeingHosts(world),
        violations: world.targets.violations, lines: world.hosts.lines,
    };
    world.stop();
    return result;
}

function disagreeingHosts(world: World): string[] {
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

/** True for a run that showed a fault. */
export function isBad(result: RunResult): boolean {
    return result.violations.length > 0 || result.disagreeing.length > 0 || result.heldBefore < 1 || result.heldAfter < 1;
}

async function main(runs: number, seed: number, trace: boolean): Promise<void> {
    let bad = 0;
    for (let index = 0; index < runs; index++) {
        const result = await playRun(seed + index);
        if (isBad(result)) {
            bad += 1;
            process.stdout.write(`seed ${String(result.seed)}: held ${String(result.heldBefore)} then ${String(result.heldAfter)}; disagree ${result.disagreeing.join()}; ${result.violations.slice(0, 2).join("; ")}\n`);
        }
        if (trace) {
            process.stdout.write(`${[...result.steps.map((step) => `STEP ${step}`), ...result.lines].sort((left, right) => timeOf(left) - timeOf(right)).join("\n")}\n`);
        }
    }
    process.stdout.write(`${String(bad)} of ${String(runs)} runs are bad\n`);
}

function timeOf(line: string): number {
    return Number(line.replace("STEP ", "").split(" ", 1)[0]);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    const [runs, seed, trace] = process.argv.slice(2);
    await main(Number(runs), Number(seed), trace === "trace");
    process.exit(0);
}
