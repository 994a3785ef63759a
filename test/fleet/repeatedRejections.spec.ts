import http from "node:http";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import type { ClientAnswer } from "./fleet.js";
import { buildRoutingConfig, Fleet, paths, plainService, send, sleep } from "./fleet.js";

const writePath = "/write/";
const durationMs = 2_500;
const clientsPerHost = 3;

/** Statuses that promise that the request did not run. */
const promisingStatuses = [408, 421, 429, 503];

/** A configuration with a route to the service without keys whose requests must not run twice. */
function buildConfig(): object {
    const config = buildRoutingConfig(1) as { routes: { rows: unknown[][] } };
    config.routes.rows.push(["r-write", "fleet.example", writePath, "unsafe", 3_000, 500, 3, plainService, 3, undefined]);
    return config;
}

describe("a rejection that a server writes once more", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(2, 2, 2);
        fleet.store.put(topics.configuration, "config", buildConfig());
        await fleet.waitUntil("the new route is served", async () => (await Promise.all(fleet.hosts.map((host) =>
            send(host, { id: `first-${host.name}`, path: `${writePath}x`, method: "POST" })))).every(({ status }) => status === 200));
    });

    after(async () => {
        await fleet.stop();
    });

    /** Sends orders, writes and reads; returns the answers to the first two, whose requests must not run twice. */
    const sendLoad = async (prefix: string): Promise<(ClientAnswer & { id: string })[]> => {
        const answers: (ClientAnswer & { id: string })[] = [];
        const untilMs = performance.now() + durationMs;
        const clients = fleet.hosts.flatMap((host) => Array.from({ length: clientsPerHost }, (_, index) => ({ host, index })));
        await Promise.all(clients.map(async ({ host, index }) => {
            const agent = new http.Agent({ keepAlive: true });
            for (let count = 0; performance.now() < untilMs; count++) {
                const id = `${prefix}-${host.name}-${String(index)}-${String(count)}`;
                const key = (index * 7_919 + count * 4_099) % 65_536;
                await send(host, { id: `${id}-read`, path: `${paths.read}x`, key, agent });
                await send(host, { id: `${id}-list`, path: `${paths.list}x`, agent });
                for (const path of [paths.order, writePath]) {
                    const requestId = `${id}${path}`;
                    const request = { id: requestId, path: `${path}x`, method: "POST", key, body: "{}", agent };
                    answers.push({ id: requestId, ...await send(host, request) });
                }
            }
            agent.destroy();
        }));
        return answers;
    };

    for (const namesRejections of [true, false]) {
        for (const repeatRejectionShare of [0, 1]) {
            const what = `${namesRejections ? "with" : "without"} an id, repeated for ${String(repeatRejectionShare * 100)} % of requests`;
            it(`never has a request run twice, or reported as not run if it ran: ${what}`, async () => {
                fleet.servers.forEach((server) => {
                    server.faults = { ...noServerFaults, shedShare: 0.25, namesRejections, repeatRejectionShare };
                });
                const answers = await sendLoad(`${String(namesRejections)}-${String(repeatRejectionShare)}`);
                fleet.servers.forEach((server) => {
                    server.faults = noServerFaults;
                });
                await sleep(200);
                expect(answers.filter(({ status }) => status === 200).length).to.be.above(answers.length / 2);
                expect(answers.filter(({ id }) => fleet.countRuns(id) > 1).map(({ id }) => id)).to.deep.equal([]);
                const reportedAsNotRun = answers.filter(({ status }) => promisingStatuses.includes(status));
                expect(reportedAsNotRun.filter(({ id }) => fleet.countRuns(id) > 0).map(({ id }) => id)).to.deep.equal([]);
            });
        }
    }
});
