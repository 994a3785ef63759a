/** Long random runs of one cell: `tsx test/proof/cellRuns.ts RUNS SEED [guards to leave out]`. */
import { runCellModel } from "../support/cellModel.js";

const [runs = "1000", seed = "1", ...guards] = process.argv.slice(2);
const guardsOut = Object.fromEntries(guards.map((guard) => [guard, true]));
const totals = { grants: 0, moves: 0, elections: 0 };
const violations: string[] = [];
for (let run = 0; run < Number(runs); run += 1) {
    const result = runCellModel(Number(seed) + run, guardsOut);
    totals.grants += result.grants;
    totals.moves += result.moves;
    totals.elections += result.elections;
    violations.push(...result.violation === undefined ? [] : [result.violation]);
}
process.stdout.write(`out: ${guards.join(" ") || "none"}; runs ${runs} from seed ${seed}; violations ${String(violations.length)}; `
    + `first: ${violations[0] ?? "-"}; ${JSON.stringify(totals)}\n`);
process.exit(violations.length > 0 ? 1 : 0);
