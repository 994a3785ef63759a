/**
 * Prints the table of faults and steps.
 * `npm run matrix -- [--pairs] [--seed=N] [--shard=I/N] [--fault=NAME] [--step=NAME] [--guards-out=NAME]`
 */
import Table from "cli-table3";
import yargs from "yargs";
import type { Fault, MatrixCase } from "../support/matrix.js";
import { faults, notApplicable, runCase, steps } from "../support/matrix.js";

const options = yargs(process.argv.slice(2))
    .option("pairs", { type: "boolean", default: false })
    .option("seed", { type: "number", default: 1 })
    .option("shard", { type: "string", default: "1/1" })
    .option("fault", { type: "string" })
    .option("step", { type: "string" })
    .option("second", { type: "string" })
    .option("trace", { type: "boolean", default: false })
    .option("guards-out", { type: "string" })
    .option("unchecked", { type: "boolean", default: false, describe: "servers do not check fences" })
    .strict().parseSync();

const [shard = 1, shards = 1] = options.shard.split("/").map(Number);
const guardsOut = options.guardsOut === undefined ? {} : { [options.guardsOut]: true };
const seconds: (Fault | undefined)[] = options.pairs ? [...faults] : [options.second as Fault | undefined];
const table = new Table({ head: ["", ...steps], style: { head: [], border: [] } });
let cases = 0;
let failed = 0;
let number = 0;

for (const fault of faults) {
    if (options.fault !== undefined && fault !== options.fault) {
        continue;
    }
    const cells: string[] = [];
    for (const step of steps) {
        if (options.step !== undefined && step !== options.step) {
            cells.push("-");
            continue;
        }
        const reason = notApplicable(fault, step);
        cells.push(reason === undefined ? await runCell(fault, step) : "n/a");
    }
    table.push([fault, ...cells]);
}

async function runCell(fault: Fault, step: MatrixCase["step"]): Promise<string> {
    let passed = 0;
    let run = 0;
    let longestGapMs = 0;
    for (const second of seconds) {
        for (const phase of ["before", "after"] as const) {
            number += 1;
            if (number % shards !== shard - 1 || (second !== undefined && notApplicable(second, step) !== undefined)) {
                continue;
            }
            const { seed, trace } = options;
            const result = await runCase({ fault, step, phase, second, seed, trace, guardsOut, fenceChecked: !options.unchecked });
            const late = result.longestGapMs > result.boundMs;
            const good = result.reached && !late && result.violations.length === 0;
            run += 1;
            passed += good ? 1 : 0;
            longestGapMs = Math.max(longestGapMs, result.longestGapMs);
            if (!good) {
                const what = result.reached ? result.violations[0] ?? `gap ${String(result.longestGapMs)} ms over ${String(result.boundMs)} ms` : "not reached";
                process.stdout.write(`RED ${fault} x ${step} (${phase})${second === undefined ? "" : ` then ${second}`}: ${what}\n`);
            }
        }
    }
    cases += run;
    failed += run - passed;
    return run === 0 ? "-" : `${passed === run ? "pass" : "FAIL"} ${String(longestGapMs)}`;
}

process.stdout.write(`${table.toString()}\n`);
process.stdout.write("Cells: verdict, and the longest time in ms that a key was not served; n/a: the fault has no meaning at the step.\n");
process.stdout.write(`${String(cases)} cases, ${String(failed)} failed, seed ${String(options.seed)}\n`);
process.exit(failed > 0 ? 1 : 0);
