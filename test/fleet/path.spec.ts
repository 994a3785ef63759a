import net from "node:net";
import http from "node:http";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { noServerFaults } from "../../platform/standins/serverStandIn.js";
import { noStoreFaults } from "../../platform/standins/storeStandIn.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { Fleet, isReady, operatorConfig, page, paths, send, sleep } from "./fleet.js";

/** Bound of a configuration's taking hold and of a drain, as the platform states them. */
const boundMs = 2_000;

/** Time within which the keys of a server that leaves in order are to be served elsewhere. */
const movedMs = 1_000;

/** Sends requests one after the other for a while, from several clients at once, and gives every answer. */
async function load(
    hosts: readonly FleetHost[], durationMs: number, prefix: string, path = paths.read, method = "GET",
): Promise<(ClientAnswer & { id: string })[]> {
    const answers: (ClientAnswer & { id: string })[] = [];
    const untilMs = performance.now() + durationMs;
    await Promise.all([...hosts, ...hosts].map(async (to, client) => {
        const agent = new http.Agent({ keepAlive: true });
        for (let count = 0; performance.now() < untilMs; count++) {
            const id = `${prefix}-${String(client)}-${String(count)}`;
            const key = (client * 7_919 + count * 4_099) % 65_536;
            answers.push({ ...await send(to, { id, path: `${path}${String(key)}`, method, key, agent, body: method === "POST" ? "{}" : undefined }), id });
            await sleep(10);
        }
        agent.destroy();
    }));
    return answers;
}

function statuses(answers: readonly ClientAnswer[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { status } of answers) {
        counts[status] = (counts[status] ?? 0) + 1;
    }
    return counts;
}

describe("whole path as separate processes", function () {
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

    it("answers a read of one key through every host from its one owner, unchanged and signed", async () => {
        const answers = await Promise.all(fleet.hosts.map((to) => send(to, { id: `one-${to.name}`, path: `${paths.read}a`, key: 4_711 })));
        expect(statuses(answers)).to.deep.equal({ 200: 3 });
        expect(answers.map(({ headers }) => headers["response-signature"])).to.deep.equal(fleet.hosts.map(({ name }) => `signed-one-${name}`));
        expect(answers[0]?.body).to.equal("answer to one-h0 ".repeat(8));
        expect(fleet.holders(4_711)).to.have.length(1);
    });

    it("serves lists and orders, and says what it does not serve", async () => {
        const [to] = fleet.hosts as [FleetHost];
        expect((await send(to, { id: "list", path: `${paths.list}x` })).status).to.equal(200);
        expect((await send(to, { id: "order", path: `${paths.order}x`, method: "POST", key: 9, body: "{}" })).status).to.equal(200);
        expect((await send(to, { id: "no-route", path: "/nowhere/" })).status).to.equal(404);
        expect((await send(to, { id: "no-key", path: `${paths.read}x` })).status).to.equal(400);
        const tooLong = await send(to, { id: "long", path: `${paths.list}x`, method: "POST", headers: { "Content-Length": "2000000" } });
        expect(tooLong.status).to.equal(413);
    });

    it("refuses malformed and ambiguous requests and forwards none of them", async () => {
        const [to] = fleet.hosts as [FleetHost];
        const start = `POST ${paths.list}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: smuggled\r\n`;
        const requests = [
            `${start}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
            `${start}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
            `${start}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`,
            `${start}Content-Length: +4\r\n\r\nabcd`,
            `${start}Content-Length : 4\r\n\r\nabcd`,
            `${start}X: a\r\n b\r\nContent-Length: 0\r\n\r\n`,
            `${start}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`,
        ];
        for (const request of requests) {
            const answer = await raw(to, request);
            expect(answer.slice(0, 12), request).to.match(/^HTTP\/1.1 4[0-9]{2}$|^$/);
        }
        await sleep(100);
        expect(fleet.runsOf("smuggled")).to.equal(0);
    });

    it("asks again for a read whose answer is lost, cut or turned away, but not for an order", async () => {
        const faults = [{ loseAnswerShare: 0.12 }, { cutAnswerShare: 0.12 }, { extraAnswerShare: 0.5 }, { shedShare: 0.12 }];
        for (const fault of faults) {
            fleet.servers.forEach((server) => {
                server.faults = { ...noServerFaults, ...fault };
            });
            const name = Object.keys(fault).join();
            const reads = await load(fleet.hosts, 700, `read-${name}`);
            expect(reads.filter(({ status }) => status === 200).length / reads.length, name).to.be.above(0.95);
            const orders = await load(fleet.hosts, 700, `order-${name}`, paths.order, "POST");
            for (const { id, status } of orders) {
                expect(fleet.runsOf(id), `${name} ${id}`).to.be.at.most(1);
                if (status === 503) {
                    expect(fleet.runsOf(id), `${name} ${id} was said not to have run`).to.equal(0);
                }
            }
            for (const { id, status, body } of [...reads, ...orders].filter((answer) => answer.status === 200)) {
                expect(body, `${name} ${id} ${String(status)}`).to.equal(`answer to ${id} `.repeat(8));
            }
        }
    });

    it("puts a configuration into force on every host within its bound, and never an older one", async () => {
        fleet.store.put(topics.configuration, "config", operatorConfig(3, { extraPrefix: "/extra/" }));
        const everywhere = async () => (await Promise.all(fleet.hosts.map((to) => send(to, { id: `extra-${to.name}`, path: "/extra/x" }))))
            .every(({ status }) => status === 200);
        expect(await fleet.until("the new route is served", everywhere)).to.be.below(boundMs);
        fleet.store.put(topics.configuration, "config", operatorConfig(2));
        await sleep(1_000);
        expect(await everywhere()).to.equal(true);
        fleet.store.put(topics.configuration, "config", operatorConfig(4));
        await fleet.until("the route is gone", async () => !await everywhere(), boundMs);
    });

    it("moves the keys of a draining server with a handover, and sends it nothing after the bound", async () => {
        const leaving = fleet.servers[0]!;
        const loading = load(fleet.hosts, boundMs + 1_500, "drain");
        await sleep(300);
        leaving.drain();
        const drainedMs = performance.now();
        const keys = Array.from({ length: 64 }, (_, index) => index * 1_024);
        await fleet.until("others hold its keys", () =>
            Promise.resolve(!keys.some((key) => leaving.holds(key)) && keys.every((key) => fleet.holders(key).length === 1)), movedMs);
        const answers = await loading;
        expect(statuses(answers)).to.deep.equal({ 200: answers.length });
        expect(leaving.runs.filter(({ beganMs }) => beganMs > drainedMs + boundMs)).to.have.length(0);
        expect(leaving.holds(4_711) || fleet.holders(4_711).length === 1).to.equal(true);
        leaving.lapse();
        await leaving.crash();
        fleet.servers.splice(0, 1);
    });

    it("gives the keys of a server that is lost to others once its lease has ended, and no key two owners", async () => {
        const lost = fleet.servers[0]!;
        const keys = Array.from({ length: 64 }, (_, index) => index * 1_024);
        const lostKeys = keys.filter((key) => lost.holds(key));
        await lost.crash();
        fleet.servers.splice(0, 1);
        const allHeld = () => Promise.resolve(lostKeys.every((key) => fleet.holders(key).length === 1));
        expect(await fleet.until("its keys are held again", allHeld)).to.be.below(5_000);
        expect(keys.every((key) => fleet.holders(key).length <= 1)).to.equal(true);
        lost.lapse();
    });

    it("goes on serving while the store is down", async () => {
        fleet.store.faults = { ...noStoreFaults, busy: true };
        const answers = await load(fleet.hosts, 3_500, "down");
        expect(statuses(answers)).to.deep.equal({ 200: answers.length });
    });

    it("replaces a coordinator that is killed, without moving a key", async () => {
        // When the store is back, a host that reads it first may take over: for a moment nobody coordinates.
        await fleet.until("a host coordinates", async () => (await Promise.all(fleet.hosts.map(coordinates))).some(Boolean), 3_000);
        const coordinator = await coordinatorOf(fleet);
        const ownerBefore = fleet.holders(30_000).map(({ id }) => id);
        const others = fleet.hosts.filter((one) => one !== coordinator);
        const loading = load(others, 3_500, "takeover");
        await sleep(200);
        await fleet.endHost(coordinator, "SIGKILL");
        await fleet.until("another host coordinates", async () => (await Promise.all(others.map(coordinates))).some(Boolean), 3_000);
        const answers = await loading;
        expect(answers.filter(({ status }) => status !== 200).length / answers.length).to.be.below(0.02);
        expect(fleet.holders(30_000).map(({ id }) => id)).to.deep.equal(ownerBefore);
        await fleet.startHost(coordinator.name);
        await fleet.until("the host is back", async () => isReady(fleet.hosts.at(-1)!));
    });

    it("cuts off nothing when a host is told to stop under load", async () => {
        const leaving = await coordinatorOf(fleet);
        const agent = new http.Agent({ keepAlive: true, maxSockets: 4 });
        const answers: Promise<ClientAnswer>[] = [];
        let exited = false;
        const ended = fleet.endHost(leaving, "SIGTERM").then(() => {
            exited = true;
        });
        for (let count = 0; !exited; count++) {
            answers.push(send(leaving, { id: `stop-${String(count)}`, path: `${paths.read}x`, key: count * 97 % 65_536, agent }));
            await sleep(15);
        }
        await ended;
        const got = await Promise.all(answers);
        const cut = got.filter(({ status }, index) => status === 0 && fleet.runsOf(`stop-${String(index)}`) > 0);
        expect(cut).to.have.length(0);
        expect(got.filter(({ status }) => status === 200).length).to.be.above(50);
        await fleet.startHost(leaving.name);
        await fleet.until("the host is back", async () => isReady(fleet.hosts.at(-1)!));
    });

    it("comes back after every host was killed at once", async () => {
        await Promise.all([...fleet.hosts].map((one) => fleet.endHost(one, "SIGKILL")));
        await Promise.all(["h0", "h1", "h2"].map((name) => fleet.startHost(name)));
        await fleet.until("every host is ready", async () => (await Promise.all(fleet.hosts.map(isReady))).every(Boolean));
        const answers = await load(fleet.hosts, 1_000, "after");
        expect(answers.filter(({ status }) => status === 200).length / answers.length).to.be.above(0.95);
    });

    it("shows its metrics and its state, and logs every refusal with its reason", async () => {
        const [to] = fleet.hosts as [FleetHost];
        await send(to, { id: "to-be-found", path: "/nowhere/" });
        expect(await page(to, "/metrics")).to.match(/hornbeam_requests_total\{.*outcome="refused",reason="no-route"\} [1-9]/);
        expect(JSON.parse(await page(to, "/dump"))).to.include.keys("self", "members", "term", "configVersion", "targets");
        await fleet.until("the refusal is logged", () => Promise.resolve(fleet.logs().join("").includes("\"to-be-found\"")), 2_000);
    });
});

async function coordinates(of: FleetHost): Promise<boolean> {
    return (JSON.parse(await page(of, "/dump")) as { coordinator?: object }).coordinator !== undefined;
}

async function coordinatorOf(fleet: Fleet): Promise<FleetHost> {
    for (const one of fleet.hosts) {
        if (await coordinates(one)) {
            return one;
        }
    }
    throw new Error("no host coordinates");
}

/** Sends bytes and gives what comes back until the connection ends or stays quiet. */
function raw(to: FleetHost, bytes: string): Promise<string> {
    return new Promise((resolve) => {
        let text = "";
        const socket = net.connect(to.clientPort, "127.0.0.1", () => socket.write(bytes));
        socket.on("data", (piece) => {
            text += piece.toString();
        });
        socket.on("error", () => undefined);
        const quiet = setTimeout(() => socket.destroy(), 400);
        socket.on("close", () => {
            clearTimeout(quiet);
            resolve(text);
        });
    });
}
