/** Runs scenarios: `npm run bench -- --scenario=NAME [--seed=N] [--compare=plain] [--json]`. */
import Table from "cli-table3";
import yargs from "yargs";
import { createSystemClock } from "../adapters/systemClock.js";
import type { KindFigures } from "./load.js";
import type { RunOptions, ScenarioFigures } from "./scenarioRun.js";
import { runScenario } from "./scenarioRun.js";
import { scenarios } from "./scenarios.js";

const clock = createSystemClock();

const options = yargs(process.argv.slice(2))
    .option("scenario", { type: "string", default: "steady", choices: [...Object.keys(scenarios), "all"] })
    .option("seed", { type: "number", default: 1 })
    .option("compare", { type: "string", choices: ["plain"], describe: "runs the baseline in the same run" })
    .option("set", { type: "string", array: true, default: [], describe: "NAME=NUMBER, changes a default of the configuration" })
    .option("json", { type: "boolean", default: false })
    .strict().parseSync();

interface Row {
    scenario: string;
    policy: RunOptions["policy"];
    figures: ScenarioFigures;
}

function renderKinds(rows: readonly Row[]): string {
    const table = new Table({
        head: ["scenario", "policy", "kind", "asked", "right in time", "p50 ms", "p99 ms", "p99.9 ms", "not-run", "unknown", "lost"],
        style: { head: [], border: [] },
    });
    for (const { scenario, policy, figures } of rows) {
        for (const [kind, of] of Object.entries<KindFigures>(figures.byKind)) {
            const share = `${(of.rightInTimeShare * 100).toFixed(2)} %`;
            table.push([scenario, policy, kind, of.asked, share, of.p50Ms, of.p99Ms, of.p999Ms, of.notRun, of.unknown, of.lost]);
        }
    }
    return table.toString();
}

function renderMeasures(rows: readonly Row[]): string {
    const table = new Table({
        head: ["scenario", "policy", "imbalance", "moves", "beyond need", "longest gap ms", "sum ms", "doubled", "false not-run", "p99 / ideal"],
        style: { head: [], border: [] },
    });
    for (const { scenario, policy, figures: of } of rows) {
        table.push([
            scenario, policy, of.imbalance, of.moves, of.movesBeyondNeed, of.longestUnavailableMs, of.sumUnavailableMs,
            of.doubledOrders, of.falseNotRun, of.p99OverIdeal,
        ]);
    }
    return table.toString();
}

const names = options.scenario === "all" ? Object.keys(scenarios) : [options.scenario];
const policies: RunOptions["policy"][] = options.compare === undefined ? ["queue"] : ["queue", "plain"];
const set = Object.fromEntries(options.set.map((text) => [text.split("=")[0], Number(text.split("=")[1])]));
const rows: Row[] = [];
for (const name of names) {
    const scenario = scenarios[name];
    for (const policy of scenario === undefined ? [] : policies) {
        rows.push({ scenario: name, policy, figures: await runScenario(scenario as never, { seed: options.seed, policy, set }, clock) });
    }
}
process.stdout.write(options.json ? `${JSON.stringify(rows, undefined, 2)}\n` : `${renderKinds(rows)}\n${renderMeasures(rows)}\n`);
process.exit(0);
