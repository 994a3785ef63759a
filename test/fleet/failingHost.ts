/** Runs a host as the daemon does, in which one task fails a while after the start. Usage: failingHost.ts TASK FLAGS... */
import "reflect-metadata";
import { createPlatformHost } from "../../platform/host.js";
import { settingsPathVariable } from "../../platform/names.js";
import { readSettingsFile } from "../../platform/settingsFile.js";
import { readDaemonSettings } from "../../src/host/daemonSettings.js";
import { runHostProcess } from "../../src/host/hostProcess.js";
import { tokens } from "../../src/host/tokens.js";
import { failureMessage, failsAfterMs } from "./failingHostSettings.js";

const tokenByTask = { node: tokens.node, queues: tokens.admissionServer, pool: tokens.pool };

const [taskName, ...flags] = process.argv.slice(2);
const settingsPath = process.env[settingsPathVariable] ?? "";
const host = createPlatformHost(readSettingsFile(settingsPath)._unsafeUnwrap(), readDaemonSettings(flags, process.env)._unsafeUnwrap());
const failing: { run: (signal: AbortSignal) => Promise<void> } = host.resolve(tokenByTask[taskName as keyof typeof tokenByTask] as never);
const { run } = failing;
let hasFailed = false;
failing.run = async (signal) => Promise.race([run(signal), new Promise<void>((_resolve, reject) => {
    setTimeout(() => {
        if (!hasFailed) {
            hasFailed = true;
            reject(new Error(failureMessage));
        }
    }, failsAfterMs);
})]);
void runHostProcess(host, () => readSettingsFile(settingsPath));
