/** Prints the table of faults on real processes. */
import { renderVerdicts, runFaults } from "./faults.js";

const hosts = 4;

process.stdout.write(`${renderVerdicts(await runFaults(hosts))}\n`);
process.exit(0);
