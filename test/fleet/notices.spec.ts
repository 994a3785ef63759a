import http from "node:http";
import { expect } from "chai";
import { noServerFaults } from "../../platform/standins/serverStandIn.js";
import type { ClientAnswer } from "./fleet.js";
import { Fleet, paths, send, sleep } from "./fleet.js";

/** Bound of a drain, as the platform states it. */
const boundMs = 2_000;

/** Time within which the keys of a server that leaves in order are to be served elsewhere. */
const movedMs = 1_000;

const keys = Array.from({ length: 64 }, (_, index) => index * 1_024);

/** Sends a read to every host in turn, for some keys, until a time is over. */
async function load(fleet: Fleet, durationMs: number, prefix: string, of: readonly number[]): Promise<ClientAnswer[]> {
    const answers: ClientAnswer[] = [];
    const untilMs = performance.now() + durationMs;
    await Promise.all(fleet.hosts.map(async (to, client) => {
        const agent = new http.Agent({ keepAlive: true });
        for (let count = 0; performance.now() < untilMs; count++) {
            const key = of[(client + count) % of.length] as number;
            const id = `${prefix}-${String(client)}-${String(count)}`;
            answers.push(await send(to, { id, path: `${paths.read}${String(key)}`, key, agent }));
            await sleep(15);
        }
        agent.destroy();
    }));
    return answers;
}

describe("what servers say of themselves in their answers", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(3, 3, 1);
    });

    after(async () => {
        await fleet.stop();
    });

    it("takes the keys of a server that says only there that it leaves to others, and sends it nothing after the bound", async () => {
        const leaving = fleet.servers[0]!;
        const loading = load(fleet, boundMs + 1_500, "leave", keys);
        await sleep(300);
        leaving.leaveByHeader();
        const leftMs = performance.now();
        await fleet.until("others hold its keys", () =>
            Promise.resolve(!keys.some((key) => leaving.holds(key)) && keys.every((key) => fleet.holders(key).length === 1)), movedMs);
        const answers = await loading;
        expect(answers.filter(({ status }) => status !== 200)).to.deep.equal([]);
        expect(leaving.runs.filter(({ beganMs }) => beganMs > leftMs + boundMs)).to.have.length(0);
    });

    it("keeps each host away from a server for the time that it asked that host for, and turns its clients away at once", async () => {
        const full = fleet.servers[1]!;
        const held = keys.filter((key) => full.holds(key));
        full.faults = { ...noServerFaults, shedShare: 1, retryAfterSeconds: 1.2 };
        const answers = await load(fleet, 1_100, "pause", held);
        full.faults = noServerFaults;
        expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([503]));
        expect(answers.every(({ headers }) => headers["retry-after"] !== undefined)).to.equal(true);
        expect(Math.max(...answers.map(({ tookMs }) => tookMs))).to.be.below(500);
        // What was under way when a host was asked may still arrive; the rules allow for two requests.
        expect(full.pausedMs.length).to.be.within(1, fleet.hosts.length * 2);
        await sleep(1_300);
        const after = await load(fleet, 300, "after", held);
        expect(after.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });
});
