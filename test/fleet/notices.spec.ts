import http from "node:http";
import { expect } from "chai";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import type { ClientAnswer } from "./fleet.js";
import { Fleet, paths, send, sleep } from "./fleet.js";

/** Time after which a leaving server must not receive new requests, as the platform states it. */
const drainBoundMs = 2_000;

/** Time within which others must hold the keys of a server that has announced that it is leaving. */
const keyMoveBoundMs = 1_000;

const keys = Array.from({ length: 64 }, (_, index) => index * 1_024);

/** Outcome of a read, with the key that was requested. */
interface ReadAnswer extends ClientAnswer {
    key: number;
}

/** Sends reads of some keys to every host in parallel for a given time, and returns all answers. */
async function sendReads(fleet: Fleet, durationMs: number, prefix: string, requestedKeys: readonly number[]): Promise<ReadAnswer[]> {
    const answers: ReadAnswer[] = [];
    const untilMs = performance.now() + durationMs;
    await Promise.all(fleet.hosts.map(async (host, client) => {
        const agent = new http.Agent({ keepAlive: true });
        for (let count = 0; performance.now() < untilMs; count++) {
            const key = requestedKeys[(client + count) % requestedKeys.length] as number;
            const id = `${prefix}-${String(client)}-${String(count)}`;
            answers.push({ key, ...await send(host, { id, path: `${paths.read}${String(key)}`, key, agent }) });
            await sleep(15);
        }
        agent.destroy();
    }));
    return answers;
}

describe("notices in the headers of servers' answers", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(3, 3, 1);
    });

    after(async () => {
        await fleet.stop();
    });

    it("move the keys of a server that announces leaving only in a header, and send it no request after the bound", async () => {
        const leaving = fleet.servers[0]!;
        const pendingAnswers = sendReads(fleet, drainBoundMs + 1_500, "leave", keys);
        await sleep(300);
        leaving.leaveByHeader();
        const announcedMs = performance.now();
        await fleet.waitUntil("others hold its keys", () =>
            Promise.resolve(!keys.some((key) => leaving.holds(key)) && keys.every((key) => fleet.holders(key).length === 1)),
        keyMoveBoundMs);
        const answers = await pendingAnswers;
        expect(answers.filter(({ status }) => status !== 200)).to.deep.equal([]);
        expect(leaving.runs.filter(({ startedMs }) => startedMs > announcedMs + drainBoundMs)).to.have.length(0);
    });

    it("keep each host from sending requests to a server during the pause it asked for, and refuse clients at once", async () => {
        const overloaded = fleet.servers[1]!;
        const heldKeys = keys.filter((key) => overloaded.holds(key));
        overloaded.faults = { ...noServerFaults, shedShare: 1, retryAfterSeconds: 1.2 };
        const answers = await sendReads(fleet, 1_100, "pause", heldKeys);
        overloaded.faults = noServerFaults;
        // The coordinator may move keys to another server during the load; that server is not paused and answers reads of them.
        const answersForHeldKeys = answers.filter(({ key }) => overloaded.holds(key));
        expect(answersForHeldKeys).not.to.have.length(0);
        expect(new Set(answersForHeldKeys.map(({ status }) => status))).to.deep.equal(new Set([503]));
        expect(answers.filter(({ status }) => status !== 503 && status !== 200)).to.deep.equal([]);
        const refusals = answers.filter(({ status }) => status === 503);
        expect(refusals.every(({ headers }) => headers["retry-after"] !== undefined)).to.equal(true);
        expect(Math.max(...answers.map(({ tookMs }) => tookMs))).to.be.below(500);
        // Requests in transit when a host received the notice may still arrive; the platform's rules tolerate two requests per host.
        expect(overloaded.retryAfterSentMs.length).to.be.within(1, fleet.hosts.length * 2);
        await sleep(1_300);
        // The server rejected every request until its faults were reset; only a request that a host sent later could have run.
        expect(overloaded.runs.filter(({ requestId }) => requestId.startsWith("pause-"))).to.deep.equal([]);
        const after = await sendReads(fleet, 300, "after", heldKeys);
        expect(after.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });
});
