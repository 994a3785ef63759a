import http from "node:http";
import net from "node:net";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, paths, plainService, send, sleep } from "./fleet.js";

/** Routes to the service without keys whose requests must not run twice, by their timeout. */
const timeoutMsByPath = { "/brief/": 1_500, "/usual/": 3_000, "/long/": 4_500 };

const workMs = 4_300;
const sendIntervalMs = 60;

/** Connections of each kind that are opened before the stop; more than can be used in the grace period. */
const connectionCount = 110;
const budgetMs = 7_000;

function buildConfig(): object {
    const config = buildRoutingConfig(1) as { routes: { rows: unknown[][] } };
    for (const [path, timeoutMs] of Object.entries(timeoutMsByPath)) {
        config.routes.rows.push([`r-${path}`, "fleet.example", path, "unsafe", timeoutMs, 500, 1, plainService, 1, undefined]);
    }
    return config;
}

/** Opens a connection to a host and sends nothing. */
function openSilently(host: FleetHost): Promise<http.Agent> {
    return new Promise((resolve, reject) => {
        const socket = net.connect(host.clientPort, "127.0.0.1", () => {
            const agent = new http.Agent({ maxSockets: 1 });
            (agent as unknown as { createConnection: () => net.Socket }).createConnection = () => socket;
            resolve(agent);
        });
        socket.once("error", reject);
    });
}

/** A request that was sent after the stop had begun. */
interface SentRequest extends ClientAnswer {
    id: string;
    connection: string;
    sentAfterMs: number;
}

describe("a host that is stopped as planned", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(2, 1, 0);
        for (const id of ["slow-0", "slow-1"]) {
            await fleet.addServer({ id, service: plainService, sharded: false, slots: 200, workMs });
        }
        fleet.store.put(topics.configuration, "config", buildConfig());
        await fleet.waitUntil("the new routes are served", async () => (await Promise.all(fleet.hosts.map((host) =>
            send(host, { id: `first-${host.name}`, path: "/long/x", method: "POST", budgetMs: 5_000 })))).every(({ status }) => status === 200));
    });

    after(async () => {
        await fleet.stop();
    });

    it("cuts no request that it passed on after the stop had begun, and refuses what it cannot finish", async () => {
        const leaving = fleet.hosts[1]!;
        const kept = await Promise.all(Array.from({ length: connectionCount }, async (_, index) => {
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            await send(leaving, { id: `warm-${String(index)}`, path: `${paths.read}x`, key: 1, agent });
            return agent;
        }));
        const silent = await Promise.all(Array.from({ length: connectionCount }, () => openSilently(leaving)));
        const sources: Record<string, () => http.Agent | undefined> = {
            "kept": () => kept.pop(), "opened before": () => silent.pop(), "new": () => new http.Agent({ maxSockets: 1 }),
        };
        const stoppedMs = performance.now();
        let hasExited = false;
        const ended = fleet.endHost(leaving, "SIGTERM").then(() => {
            hasExited = true;
        });
        const answers: Promise<SentRequest>[] = [];
        for (let round = 0; !hasExited; round++) {
            for (const [connection, takeAgent] of Object.entries(sources)) {
                const path = Object.keys(timeoutMsByPath)[round % 3] as string;
                const id = `${connection.replace(" ", "-")}-${path.replaceAll("/", "")}-${String(round)}`;
                const sentAfterMs = Math.round(performance.now() - stoppedMs);
                answers.push(send(leaving, { id, path: `${path}x`, method: "POST", agent: takeAgent(), body: "{}", budgetMs })
                    .then((answer) => ({ ...answer, id, connection, sentAfterMs })));
            }
            await sleep(sendIntervalMs);
        }
        await ended;
        const outcomes = await Promise.all(answers);
        const passedOn = outcomes.filter(({ id }) => fleet.countRuns(id) > 0);
        const refused = outcomes.filter(({ status }) => status === 503);
        const cut = passedOn.filter(({ status }) => status === 0);
        expect(cut.map(({ id, sentAfterMs, tookMs }) => ({ id, sentAfterMs, tookMs }))).to.deep.equal([]);
        expect(refused.filter(({ id }) => fleet.countRuns(id) > 0)).to.deep.equal([]);
        expect(refused.filter(({ headers }) => headers["retry-after"] === undefined || headers.connection !== "close")).to.deep.equal([]);
        const passedOnEarly = passedOn.filter(({ sentAfterMs }) => sentAfterMs < 600);
        expect(passedOnEarly.map(({ connection }) => connection)).to.include.members(Object.keys(sources));
        expect(refused).not.to.have.length(0);
    });
});
