import net from "node:net";
import http from "node:http";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import { noStoreFaults } from "../../platform/standins/storeStandIn.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { Fleet, isReady, buildRoutingConfig, fetchAdminPage, paths, send, sleep } from "./fleet.js";

/** Maximum time for a configuration to come into force and for a server to drain, as the platform states them. */
const boundMs = 2_000;

/** Time within which others must hold the keys of a server that has announced that it is leaving. */
const keyMoveBoundMs = 1_000;

/** Sends requests from two clients per host in parallel, each one request at a time, and returns all answers. */
async function sendRequests(
    hosts: readonly FleetHost[], durationMs: number, prefix: string, path = paths.read, method = "GET",
): Promise<(ClientAnswer & { id: string })[]> {
    const answers: (ClientAnswer & { id: string })[] = [];
    const untilMs = performance.now() + durationMs;
    await Promise.all([...hosts, ...hosts].map(async (host, client) => {
        const agent = new http.Agent({ keepAlive: true });
        for (let count = 0; performance.now() < untilMs; count++) {
            const id = `${prefix}-${String(client)}-${String(count)}`;
            const key = (client * 7_919 + count * 4_099) % 65_536;
            answers.push({ ...await send(host, { id, path: `${path}${String(key)}`, method, key, agent, body: method === "POST" ? "{}" : undefined }), id });
            await sleep(10);
        }
        agent.destroy();
    }));
    return answers;
}

function countStatuses(answers: readonly ClientAnswer[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { status } of answers) {
        counts[status] = (counts[status] ?? 0) + 1;
    }
    return counts;
}

describe("routing through daemons in separate processes", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(3, 4, 2);
    });

    after(async () => {
        await fleet.stop();
    });

    afterEach(() => {
        fleet.store.faults = noStoreFaults;
        fleet.servers.forEach((server) => {
            server.faults = noServerFaults;
        });
    });

    it("answers a read through any host with the unmodified, signed answer of the key's only owner", async () => {
        const answers = await Promise.all(fleet.hosts.map((host) => send(host, { id: `one-${host.name}`, path: `${paths.read}a`, key: 4_711 })));
        expect(countStatuses(answers)).to.deep.equal({ 200: 3 });
        expect(answers.map(({ headers }) => headers["response-signature"])).to.deep.equal(fleet.hosts.map(({ name }) => `signed-one-${name}`));
        expect(answers[0]?.body).to.equal("answer to one-h0 ".repeat(8));
        expect(fleet.holders(4_711)).to.have.length(1);
    });

    it("serves lists and orders, and refuses unknown routes, missing keys and bodies that are too large", async () => {
        const [host] = fleet.hosts as [FleetHost];
        expect((await send(host, { id: "list", path: `${paths.list}x` })).status).to.equal(200);
        expect((await send(host, { id: "order", path: `${paths.order}x`, method: "POST", key: 9, body: "{}" })).status).to.equal(200);
        expect((await send(host, { id: "no-route", path: "/nowhere/" })).status).to.equal(404);
        expect((await send(host, { id: "no-key", path: `${paths.read}x` })).status).to.equal(400);
        const tooLong = await send(host, { id: "long", path: `${paths.list}x`, method: "POST", headers: { "Content-Length": "2000000" } });
        expect(tooLong.status).to.equal(413);
    });

    it("refuses malformed and ambiguous requests without forwarding them", async () => {
        const [host] = fleet.hosts as [FleetHost];
        const requestStart = `POST ${paths.list}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: smuggled\r\n`;
        const requests = [
            `${requestStart}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
            `${requestStart}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
            `${requestStart}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`,
            `${requestStart}Content-Length: +4\r\n\r\nabcd`,
            `${requestStart}Content-Length : 4\r\n\r\nabcd`,
            `${requestStart}X: a\r\n b\r\nContent-Length: 0\r\n\r\n`,
            `${requestStart}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`,
        ];
        for (const request of requests) {
            const answer = await sendBytes(host, request);
            expect(answer.slice(0, 12), request).to.match(/^HTTP\/1.1 4[0-9]{2}$|^$/);
        }
        await sleep(100);
        expect(fleet.countRuns("smuggled")).to.equal(0);
    });

    it("retries reads that are rejected or whose answer is lost or truncated, and never runs an order twice", async () => {
        const faults = [{ loseAnswerShare: 0.12 }, { cutAnswerShare: 0.12 }, { extraAnswerShare: 0.5 }, { shedShare: 0.12 }];
        for (const fault of faults) {
            fleet.servers.forEach((server) => {
                server.faults = { ...noServerFaults, ...fault };
            });
            const name = Object.keys(fault).join();
            const reads = await sendRequests(fleet.hosts, 700, `read-${name}`);
            expect(reads.filter(({ status }) => status === 200).length / reads.length, name).to.be.above(0.95);
            const orders = await sendRequests(fleet.hosts, 700, `order-${name}`, paths.order, "POST");
            for (const { id, status } of orders) {
                expect(fleet.countRuns(id), `${name} ${id}`).to.be.at.most(1);
                if (status === 503) {
                    expect(fleet.countRuns(id), `${name} ${id} was reported as not run`).to.equal(0);
                }
            }
            for (const { id, status, body } of [...reads, ...orders].filter((answer) => answer.status === 200)) {
                expect(body, `${name} ${id} ${String(status)}`).to.equal(`answer to ${id} `.repeat(8));
            }
        }
    });

    it("puts a configuration into force on every host within the bound, and never an older one", async () => {
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(3, { extraPrefix: "/extra/" }));
        const isServedEverywhere = async () => (await Promise.all(fleet.hosts.map((host) => send(host, { id: `extra-${host.name}`, path: "/extra/x" }))))
            .every(({ status }) => status === 200);
        expect(await fleet.waitUntil("the new route is served", isServedEverywhere)).to.be.below(boundMs);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(2));
        await sleep(1_000);
        expect(await isServedEverywhere()).to.equal(true);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(4));
        await fleet.waitUntil("the route is gone", async () => !await isServedEverywhere(), boundMs);
    });

    it("moves the keys of a draining server with a handover, and sends it no request after the bound", async () => {
        const leaving = fleet.servers[0]!;
        const pendingAnswers = sendRequests(fleet.hosts, boundMs + 1_500, "drain");
        await sleep(300);
        leaving.drain();
        const drainStartedMs = performance.now();
        const keys = Array.from({ length: 64 }, (_, index) => index * 1_024);
        await fleet.waitUntil("others hold its keys", () =>
            Promise.resolve(!keys.some((key) => leaving.holds(key)) && keys.every((key) => fleet.holders(key).length === 1)),
        keyMoveBoundMs);
        const answers = await pendingAnswers;
        expect(countStatuses(answers)).to.deep.equal({ 200: answers.length });
        expect(leaving.runs.filter(({ startedMs }) => startedMs > drainStartedMs + boundMs)).to.have.length(0);
        expect(leaving.holds(4_711) || fleet.holders(4_711).length === 1).to.equal(true);
        leaving.removeEntry();
        await leaving.crash();
        fleet.servers.splice(0, 1);
    });

    it("moves the keys of a crashed server after its lease has expired, and never gives a key two owners", async () => {
        const crashed = fleet.servers[0]!;
        const keys = Array.from({ length: 64 }, (_, index) => index * 1_024);
        const lostKeys = keys.filter((key) => crashed.holds(key));
        await crashed.crash();
        fleet.servers.splice(0, 1);
        const areLostKeysHeld = () => Promise.resolve(lostKeys.every((key) => fleet.holders(key).length === 1));
        expect(await fleet.waitUntil("its keys are held again", areLostKeysHeld)).to.be.below(5_000);
        expect(keys.every((key) => fleet.holders(key).length <= 1)).to.equal(true);
        crashed.removeEntry();
    });

    it("continues to serve while the store is down", async () => {
        fleet.store.faults = { ...noStoreFaults, busy: true };
        const answers = await sendRequests(fleet.hosts, 3_500, "down");
        expect(countStatuses(answers)).to.deep.equal({ 200: answers.length });
    });

    it("replaces a coordinator that is killed, without moving a key", async () => {
        // After an outage of the store, the first host that reads it may take over, so there may be no coordinator for a moment.
        await fleet.waitUntil("a host coordinates", async () => (await Promise.all(fleet.hosts.map(isCoordinator))).some(Boolean), 3_000);
        const coordinator = await findCoordinator(fleet);
        const ownersBefore = fleet.holders(30_000).map(({ id }) => id);
        const others = fleet.hosts.filter((host) => host !== coordinator);
        const pendingAnswers = sendRequests(others, 3_500, "takeover");
        await sleep(200);
        await fleet.endHost(coordinator, "SIGKILL");
        await fleet.waitUntil("another host coordinates", async () => (await Promise.all(others.map(isCoordinator))).some(Boolean), 3_000);
        const answers = await pendingAnswers;
        expect(answers.filter(({ status }) => status !== 200).length / answers.length).to.be.below(0.02);
        expect(fleet.holders(30_000).map(({ id }) => id)).to.deep.equal(ownersBefore);
        await fleet.startHost(coordinator.name);
        await fleet.waitUntil("the host is back", async () => isReady(fleet.hosts.at(-1)!));
    });

    it("aborts no request when a host is stopped under load", async () => {
        const leaving = await findCoordinator(fleet);
        const agent = new http.Agent({ keepAlive: true, maxSockets: 4 });
        const answers: Promise<ClientAnswer>[] = [];
        let hasExited = false;
        const ended = fleet.endHost(leaving, "SIGTERM").then(() => {
            hasExited = true;
        });
        for (let count = 0; !hasExited; count++) {
            answers.push(send(leaving, { id: `stop-${String(count)}`, path: `${paths.read}x`, key: count * 97 % 65_536, agent }));
            await sleep(15);
        }
        await ended;
        const outcomes = await Promise.all(answers);
        const aborted = outcomes.filter(({ status }, index) => status === 0 && fleet.countRuns(`stop-${String(index)}`) > 0);
        expect(aborted).to.have.length(0);
        expect(outcomes.filter(({ status }) => status === 200).length).to.be.above(50);
        await fleet.startHost(leaving.name);
        await fleet.waitUntil("the host is back", async () => isReady(fleet.hosts.at(-1)!));
    });

    it("recovers after all hosts were killed at once", async () => {
        await Promise.all([...fleet.hosts].map((host) => fleet.endHost(host, "SIGKILL")));
        await Promise.all(["h0", "h1", "h2"].map((name) => fleet.startHost(name)));
        await fleet.waitUntil("every host is ready", async () => (await Promise.all(fleet.hosts.map(isReady))).every(Boolean));
        const answers = await sendRequests(fleet.hosts, 1_000, "after");
        expect(answers.filter(({ status }) => status === 200).length / answers.length).to.be.above(0.95);
    });

    it("exposes its metrics and its state, and logs every refusal", async () => {
        const [host] = fleet.hosts as [FleetHost];
        await send(host, { id: "to-be-found", path: "/nowhere/" });
        expect(await fetchAdminPage(host, "/metrics")).to.match(/hornbeam_requests_total\{.*outcome="refused",reason="no-route"\} [1-9]/);
        expect(JSON.parse(await fetchAdminPage(host, "/dump"))).to.include.keys("self", "members", "term", "configVersion", "targets");
        await fleet.waitUntil("the refusal is logged", () => Promise.resolve(fleet.logs().join("").includes("\"to-be-found\"")), 2_000);
        const line = fleet.logs().join("").split("\n").find((one) => one.includes("\"to-be-found\"")) ?? "{}";
        expect(JSON.parse(line)).to.include({ reason: "no-route", hostName: "fleet.example", path: "/nowhere/", method: "GET" })
            .and.include.keys("config", "knownAgoMs", "clientAddress", "earlierRequestCount");
        expect(await send(host, { id: "key-not-found", path: `${paths.read}x`, headers: { "Shard-Key": "65536" } })).to.include({ status: 400 });
        await fleet.waitUntil("the key is logged", () => Promise.resolve(fleet.logs().join("").includes("\"statedKey\":\"65536\"")), 2_000);
    });
});

async function isCoordinator(host: FleetHost): Promise<boolean> {
    return (JSON.parse(await fetchAdminPage(host, "/dump")) as { coordinator?: object }).coordinator !== undefined;
}

async function findCoordinator(fleet: Fleet): Promise<FleetHost> {
    for (const host of fleet.hosts) {
        if (await isCoordinator(host)) {
            return host;
        }
    }
    throw new Error("no host coordinates");
}

/** Sends bytes and returns what is received until the connection closes, at most for 400 ms. */
function sendBytes(host: FleetHost, bytes: string): Promise<string> {
    return new Promise((resolve) => {
        let text = "";
        const socket = net.connect(host.clientPort, "127.0.0.1", () => socket.write(bytes));
        socket.on("data", (chunk) => {
            text += chunk.toString();
        });
        socket.on("error", () => undefined);
        const timer = setTimeout(() => socket.destroy(), 400);
        socket.on("close", () => {
            clearTimeout(timer);
            resolve(text);
        });
    });
}
