/** Daemons in which a task ends unexpectedly. */
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { failsAfterMs, failureMessage } from "./failingHostSettings.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, graceMs, hasEnded, isReady, paths, send, sleep } from "./fleet.js";

/** Exit code of a host that cannot go on without a task that has ended, see docs/OPERATIONS.md. */
const taskEndedExitCode = 4;

const sendIntervalMs = 100;

function endedTaskLines(host: FleetHost): { task: string; outcome: string; why: string }[] {
    return readFileSync(host.logFile, "utf8").split("\n").filter((line) => line.includes("host: task ended unexpectedly"))
        .map((line) => JSON.parse(line) as { task: string; outcome: string; why: string });
}

function programOf(task: string): string[] {
    return ["--import", "tsx", "test/fleet/failingHost.ts", task];
}

describe("a host in which a task ends unexpectedly", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    beforeEach(async () => {
        fleet = await Fleet.start(1, 1, 0);
    });

    afterEach(async () => {
        await fleet.stop();
    });

    const startFailing = (task: string): Promise<FleetHost> =>
        fleet.startHost(`failing-${task}`, undefined, { program: programOf(task) });

    for (const [task, name] of [["node", "cluster node"], ["queues", "admission queues"]] as const) {
        it(`does not seem alive without its ${name}: it stops in order, cuts no request and ends with exit code 4`, async () => {
            const host = await startFailing(task);
            await fleet.waitUntil("the host is ready", () => isReady(host));
            const ended = once(host.child, "exit");
            const answers: Promise<number>[] = [];
            const startedMs = performance.now();
            for (let round = 0; !hasEnded(host) && performance.now() - startedMs < failsAfterMs + graceMs; round++) {
                if (await isReady(host)) {
                    answers.push(send(host, { id: `${task}-${String(round)}`, path: `${paths.read}x`, key: 1 }).then(({ status }) => status));
                }
                await sleep(sendIntervalMs);
            }
            expect(hasEnded(host)).to.equal(true);
            expect((await ended)[0]).to.equal(taskEndedExitCode);
            const lines = endedTaskLines(host);
            expect(lines.map((line) => [line.task, line.outcome])).to.deep.equal([[name, "not continued"]]);
            expect(lines[0]?.why).to.include(failureMessage);
            const statuses = await Promise.all(answers);
            expect(statuses.filter((status) => status === 0)).to.deep.equal([]);
        });
    }

    it("starts the leases of a target again, and serves its keys", async () => {
        const alone = await Fleet.start(0, 1, 0, false);
        alone.store.put(topics.configuration, "config", buildRoutingConfig(1));
        const host = await alone.startHost("failing-leases", undefined, { program: programOf("leases") });
        try {
            await alone.waitUntilServing();
            expect((await send(host, { id: "kept", path: `${paths.read}x`, key: 1 })).status).to.equal(200);
            const lines = readFileSync(host.logFile, "utf8").split("\n").filter((line) => line.includes("cluster: task ended unexpectedly"))
                .map((line) => JSON.parse(line) as { task: string; outcome: string });
            expect(lines[0]).to.include({ task: "leases of k0", outcome: "started again" });
        }
        finally {
            await alone.stop();
        }
    });

    it("starts a task again that holds no state, and goes on", async () => {
        const host = await startFailing("pool");
        await fleet.waitUntil("the task has failed", () => Promise.resolve(endedTaskLines(host).length > 0));
        await sleep(graceMs);
        expect(hasEnded(host)).to.equal(false);
        expect(endedTaskLines(host).map((line) => [line.task, line.outcome])).to.deep.equal([["connection pool", "started again"]]);
        expect((await send(host, { id: "after", path: `${paths.read}x`, key: 1 })).status).to.equal(200);
    });
});
