import http from "node:http";
import { expect } from "chai";
import type { ServerStandIn } from "../../platform/standins/serverStandIn.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { Fleet, paths, send, sleep } from "./fleet.js";
import { allowedPerWindow, maxArrivalsPerWindow, rateLimitWindowMs, settledMs } from "./rateLimitRule.js";

/** Time during which requests are sent before a limit is stated. */
const unlimitedMs = 1_500;

/** A refusal must come at once. */
const promptMs = 300;

const keys = Array.from({ length: 256 }, (_, index) => index * 256);

interface Load {
    path: string;
    keys: readonly number[] | undefined;
    /** Pause of each host's client between its requests. */
    periodMs: number;
}

/** Sends requests through a host until stopped, on one open connection. */
function startClient(host: FleetHost, prefix: string, { path, keys: requestedKeys, periodMs }: Load): () => Promise<ClientAnswer[]> {
    const agent = new http.Agent({ keepAlive: true });
    const answers: Promise<ClientAnswer>[] = [];
    const timer = setInterval(() => {
        const count = answers.length;
        const key = requestedKeys?.[(count * 7) % requestedKeys.length];
        answers.push(send(host, { id: `${prefix}-${host.name}-${String(count)}`, path: `${path}x`, key, agent, budgetMs: 2_000 }));
    }, periodMs);
    return async () => {
        clearInterval(timer);
        const ended = await Promise.all(answers);
        agent.destroy();
        return ended;
    };
}

function expectPromptRefusals(answers: readonly ClientAnswer[]): void {
    const refusals = answers.filter(({ status }) => status === 503);
    expect(answers.filter(({ status }) => status !== 200 && status !== 503)).to.deep.equal([]);
    expect(refusals.filter(({ headers }) => !(Number(headers["retry-after"]) > 0)), "refusals without Retry-After").to.deep.equal([]);
    expect(refusals.filter(({ tookMs }) => tookMs > promptMs).map(({ tookMs }) => tookMs), "late refusals").to.deep.equal([]);
}

describe("a rate limit that a server states", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(6, 3, 3);
    });

    after(async () => {
        await fleet.stop();
    });

    /** Sends requests through all hosts, and has a server state a limit after a while; returns the answers and what the server got. */
    const play = async (server: ServerStandIn, limitPerSecond: number, load: Load) => {
        const clients = fleet.hosts.map((host) => startClient(host, server.id, load));
        await sleep(unlimitedMs);
        server.statedLimit = String(limitPerSecond);
        const statedMs = performance.now();
        await sleep(settledMs + rateLimitWindowMs + 1_000);
        const answers = (await Promise.all(clients.map((stop) => stop()))).flat();
        server.statedLimit = undefined;
        return { answers, maxPerWindow: maxArrivalsPerWindow(server.arrivals, statedMs) };
    };

    for (const { serverId, limitPerSecond } of [{ serverId: "k0", limitPerSecond: 2.3 }, { serverId: "k1", limitPerSecond: 0.4 }]) {
        it(`bounds what a server that owns keys gets from many hosts with few requests each (${String(limitPerSecond)} a second)`, async () => {
            const limited = fleet.servers.find(({ id }) => id === serverId)!;
            const heldKeys = keys.filter((key) => limited.holds(key));
            const { answers, maxPerWindow } = await play(limited, limitPerSecond, { path: paths.read, keys: heldKeys, periodMs: 600 });
            expect(maxPerWindow).to.be.at.most(allowedPerWindow(limitPerSecond));
            expectPromptRefusals(answers);
            expect(answers.filter(({ status }) => status === 503).length).to.be.below(answers.length * 0.1);
        });
    }

    it("bounds what a server without keys gets, while others serve the rest", async () => {
        const limitPerSecond = 1.5;
        const limited = fleet.servers.find(({ id }) => id === "p0")!;
        const { answers, maxPerWindow } = await play(limited, limitPerSecond, { path: paths.list, keys: undefined, periodMs: 200 });
        expect(maxPerWindow).to.be.at.most(allowedPerWindow(limitPerSecond));
        expect(answers.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });
});
