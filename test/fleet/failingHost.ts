/**
 * Runs a host as the daemon does, in which one task fails a while after the start, or, for `leases`, whenever one of the first connections
 * to a target is opened. Usage: failingHost.ts TASK FLAGS...
 */
import "reflect-metadata";
import { createPlatformHost } from "../../platform/host.js";
import { settingsPathVariable } from "../../platform/names.js";
import { readSettingsFile } from "../../platform/settingsFile.js";
import { readDaemonSettings } from "../../src/host/daemonSettings.js";
import { runHostProcess } from "../../src/host/hostProcess.js";
import { tokens } from "../../src/host/tokens.js";
import type { LeasePort } from "../../src/ownership/leasePort.js";
import { failingConnectionCount, failureMessage, failsAfterMs } from "./failingHostSettings.js";

const tokenByTask = { node: tokens.node, queues: tokens.admissionServer, pool: tokens.pool };

const [taskName, ...flags] = process.argv.slice(2);
const settingsPath = process.env[settingsPathVariable] ?? "";
const host = createPlatformHost(readSettingsFile(settingsPath)._unsafeUnwrap(), readDaemonSettings(flags, process.env)._unsafeUnwrap());
if (taskName === "leases") {
    failFirstConnections(host.resolve(tokens.leases));
}
else {
    failLater(host.resolve(tokenByTask[taskName as keyof typeof tokenByTask] as never));
}
void runHostProcess(host, () => readSettingsFile(settingsPath));

function failFirstConnections(leases: LeasePort): void {
    const open = leases.open.bind(leases);
    let openedCount = 0;
    leases.open = (targetId, address) => {
        openedCount += 1;
        return openedCount <= failingConnectionCount ? Promise.reject(new Error(failureMessage)) : open(targetId, address);
    };
}

function failLater(task: { run: (signal: AbortSignal) => Promise<void> }): void {
    const { run } = task;
    let hasFailed = false;
    task.run = async (signal) => Promise.race([run(signal), new Promise<void>((_resolve, reject) => {
        setTimeout(() => {
            if (!hasFailed) {
                hasFailed = true;
                reject(new Error(failureMessage));
            }
        }, failsAfterMs);
    })]);
}
