/** Stateful fuzzing: `npm run fuzz -- --seed=N --runs=N [--max-commands=N] [--guards-out=NAME] [--path=P]`. */
import yargs from "yargs";
import { fuzzWorld } from "../support/fuzzCommands.js";

const options = yargs(process.argv.slice(2))
    .option("seed", { type: "number", default: 1 })
    .option("runs", { type: "number", default: 20 })
    .option("max-commands", { type: "number", default: 120 })
    .option("guards-out", { type: "string" })
    .option("fence-checked", { type: "boolean" })
    .option("shrink", { type: "boolean", default: true })
    .option("path", { type: "string" })
    .strict().parseSync();

const { text, ...figures } = await fuzzWorld({
    ...options,
    guardsOut: options.guardsOut === undefined ? {} : { [options.guardsOut]: true },
});
process.stdout.write(`${text}\nseed ${String(options.seed)}, runs ${String(options.runs)}: ${JSON.stringify(figures)}\n`);
process.exit(figures.failed ? 1 : 0);
