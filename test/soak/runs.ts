/** Runs the soak test for a number of seeds. Usage: tsx test/soak/runs.ts RUNS SEED [SECONDS] */
import { runSoak } from "./soak.js";

const defaultDurationSeconds = 15;

const [runCount, firstSeed, durationSeconds] = process.argv.slice(2).map(Number);
let failedCount = 0;
for (let seed = firstSeed ?? 1; seed < (firstSeed ?? 1) + (runCount ?? 1); seed++) {
    const result = await runSoak(seed, (durationSeconds ?? defaultDurationSeconds) * 1_000);
    console.log(`seed ${String(seed)}: ${JSON.stringify(result.answers)}`);
    if (result.violations.length > 0) {
        failedCount += 1;
        console.log([...result.violations.slice(0, 20), ...result.steps, ...result.logFiles].map((line) => `    ${line}`).join("\n"));
    }
}
console.log(`${String(failedCount)} of ${String(runCount ?? 1)} runs are bad`);
process.exit(failedCount > 0 ? 1 : 0);
