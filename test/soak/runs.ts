/** Soak runs by hand. Usage: tsx test/soak/runs.ts RUNS SEED [SECONDS] */
import { runSoak } from "./soak.js";

const defaultSeconds = 15;

const [runs, firstSeed, seconds] = process.argv.slice(2).map(Number);
let bad = 0;
for (let seed = firstSeed ?? 1; seed < (firstSeed ?? 1) + (runs ?? 1); seed++) {
    const result = await runSoak(seed, (seconds ?? defaultSeconds) * 1_000);
    console.log(`seed ${String(seed)}: ${JSON.stringify(result.answers)}`);
    if (result.violations.length > 0) {
        bad += 1;
        console.log([...result.violations.slice(0, 20), ...result.steps, ...result.logFiles].map((line) => `    ${line}`).join("\n"));
    }
}
console.log(`${String(bad)} of ${String(runs ?? 1)} runs are bad`);
process.exit(bad > 0 ? 1 : 0);
