/** Prints the table of docs/design/cost-aware-placement.md: `npx tsx test/admission/placementReplayRuns.ts`. */
import type { Method, Replay } from "./placementReplay.js";
import { replay } from "./placementReplay.js";

const seeds = [5, 6, 7, 8];
const methods: Method[] = ["today", "shortest queue", "two choices", "cost, no reports", "cost"];

const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Many targets with one queue, and the queue of one target that owns keys, where there is nothing to choose. */
const fleets = [
    { targetCount: 20, seconds: 30, methods },
    { targetCount: 1, seconds: 300, methods: ["today", "cost, no reports", "cost"] as Method[] },
];

console.log("| targets | work | load | method | in time | mean ms | p99 ms | answered | worst backlog ms |\n|---|---|---|---|---|---|---|---|---|");
for (const { targetCount, seconds, methods: compared } of fleets) {
    for (const work of ["uniform", "heavy tail"] as Replay["work"][]) {
        for (const load of [0.7, 0.9, 1.1]) {
            for (const method of compared) {
                const results = seeds.map((seed) => replay({ method, load, work, seed, targetCount, seconds }));
                const fields = [
                    targetCount, work, load.toFixed(1), method, mean(results.map((one) => one.inTimeShare)).toFixed(3),
                    mean(results.map((one) => one.meanMs)).toFixed(0), mean(results.map((one) => one.p99Ms)).toFixed(0),
                    mean(results.map((one) => one.answeredShare)).toFixed(3),
                    Math.max(...results.map((one) => one.worstBacklogMs)).toFixed(0),
                ];
                console.log(`| ${fields.join(" | ")} |`);
            }
        }
    }
}
