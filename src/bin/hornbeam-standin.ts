#!/usr/bin/env node
/** Stand-ins for the platform and the targets, one process each; for the demo, the tests and the benchmarks. */
import { readFileSync } from "node:fs";
import yargs from "yargs";
import type { ListedHost } from "../platform/logPort.js";
import { createSystemClock } from "../adapters/systemClock.js";
import { stopOnSignal } from "../adapters/process.js";
import type { StandIn } from "../standins/platform.js";
import { startHostList, startLog } from "../standins/platform.js";
import { startKeyedServer } from "../standins/keyedServer.js";
import { startUnkeyedTarget } from "../standins/unkeyedTarget.js";

const stopTimeoutMs = 1_000;
const clock = createSystemClock();

const options = yargs(process.argv.slice(2))
    .option("address", { type: "string", demandOption: true, describe: "IP number and port to listen on" })
    .option("keep-records", { type: "number", default: 100_000 })
    .option("appends-per-second", { type: "number", default: 300 })
    .option("hosts-file", { type: "string", default: "" })
    .option("lag-ms", { type: "number", default: 1_000 })
    .option("slots", { type: "number", default: 3 })
    .option("service-ms", { type: "number", default: 3 })
    .option("max-queued", { type: "number", default: 100 })
    .option("cold-factor", { type: "number", default: 1 })
    .option("cold-requests", { type: "number", default: 0 })
    .option("fence-checked", { type: "boolean", default: true })
    .option("record-file", { type: "string", default: "" })
    .option("list-entries", { type: "number", default: 1_000 })
    .strict()
    .demandCommand(1, 1)
    .parseSync();

type Options = typeof options;

const startByKind: Record<string, (of: Options) => Promise<StandIn>> = {
    log: (of) => startLog({ ...of, clock }),
    hosts: (of) => startHostList({ ...of, hosts: JSON.parse(readFileSync(of.hostsFile, "utf8")) as ListedHost[], clock }),
    server: (of) => startKeyedServer({ ...of, clock }),
    target: (of) => startUnkeyedTarget({ ...of, clock }),
};

const kind = String(options._[0]);
const start = startByKind[kind];
if (start === undefined) {
    process.stderr.write(`${kind} is no stand-in; allowed: ${Object.keys(startByKind).join(", ")}\n`);
    process.exit(2);
}
const standIn = await start(options);
process.stdout.write(`${kind} listens on ${standIn.address}\n`);
stopOnSignal(() => standIn.stop(), stopTimeoutMs);
