import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { RawClient } from "../entry/listenerClient.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, plainService, send, sleep } from "./fleet.js";
import type { ScriptedTarget } from "./scriptedTarget.js";
import { signedAnswer, startScriptedTarget } from "./scriptedTarget.js";

const budgetMs = 5_000;
const workMsByPath: Record<string, number> = { "/ahead/first": 500, "/ahead/second": 1_000, "/brief/never": 60_000, "/brief/long": 20 };
const briefTimeoutMs = 700;
const stopAfterMs = 200;

/** More than a host buffers before it sends an answer on. */
const longAnswer = "l".repeat(400_000);

interface Answer {
    status: number;
    closes: boolean;
}

function buildConfig(): object {
    const config = buildRoutingConfig(1) as { routes: { rows: unknown[][] } };
    for (const [path, timeoutMs] of [["/ahead/", budgetMs], ["/brief/", briefTimeoutMs]] as const) {
        config.routes.rows.push([`r-${path}`, "fleet.example", path, "safe", timeoutMs, 500, 1, plainService, 1, undefined]);
    }
    return config;
}

describe("requests that a client sends ahead on one connection", function () {
    this.timeout(60_000);
    let fleet: Fleet;
    let target: ScriptedTarget;
    let playCount = 0;

    before(async () => {
        fleet = await Fleet.start(1, 1, 0);
        fleet.store.put(topics.configuration, "config", buildConfig());
        target = await startScriptedTarget(fleet.store, "scripted", plainService);
        target.react = (socket, { requestId, path }) => {
            setTimeout(() => socket.write(signedAnswer(requestId, path === "/brief/long" ? longAnswer : "ok")), workMsByPath[path] ?? 0);
        };
        // The queue of the service may be kept by this host, which refuses requests until it knows the target.
        await waitUntilServed(fleet.hosts[0] as FleetHost);
    });

    after(async () => {
        target.stop();
        await fleet.stop();
    });

    const waitUntilServed = (host: FleetHost) => fleet.waitUntil(`${host.name} serves`, async () =>
        (await send(host, { id: `w-${String(performance.now())}`, path: "/ahead/x" })).status === 200);

    /** Sends the requests ahead through a new host, stops the host if asked to, and reads the answers until the connection ends. */
    const play = async (requestPaths: readonly string[], stops: boolean): Promise<Answer[]> => {
        playCount += 1;
        const host = await fleet.startHost(`ahead-${String(playCount)}`);
        await waitUntilServed(host);
        const client = await RawClient.connect(host.clientPort);
        await client.write(Buffer.from(requestPaths.map((path, index) => `GET ${path} HTTP/1.1\r\nHost: fleet.example\r\n`
            + `Request-Id: a-${String(playCount)}-${String(index)}\r\nDeadline-Ms: ${String(budgetMs)}\r\n\r\n`).join("")));
        await sleep(stopAfterMs);
        const ended = stops ? fleet.endHost(host, "SIGTERM") : undefined;
        const answers: Answer[] = [];
        while (answers.length < requestPaths.length) {
            const { status, headers } = await client.readAnswer("GET", budgetMs);
            if (status <= 0) {
                break;
            }
            answers.push({ status, closes: headers["connection"] === "close" });
        }
        client.socket.destroy();
        await (ended ?? fleet.endHost(host, "SIGKILL"));
        return answers;
    };

    // Guards against requests that a host has passed on, and loses when it stops, behind an answer that closes the connection (review/8).
    it("are all answered by a host that stops meanwhile, and only the last answer closes the connection", async () => {
        expect(await play(["/ahead/first", "/ahead/second", "/ahead/first"], true)).to.deep.equal([
            { status: 200, closes: false }, { status: 200, closes: false }, { status: 200, closes: true },
        ]);
    });

    it("are all answered by a host that stops meanwhile, if one has no route and one runs into its timeout", async () => {
        expect(await play(["/brief/never", "/unknown", "/ahead/second"], true)).to.deep.equal([
            { status: 504, closes: false }, { status: 404, closes: false }, { status: 200, closes: true },
        ]);
    });

    // Guards against requests in progress that are lost by the timeout of a long answer that waits behind them (review/9).
    it("are answered if a long answer runs into its timeout while it waits behind them", async () => {
        expect(await play(["/ahead/second", "/brief/long"], false)).to.deep.equal([
            { status: 200, closes: false }, { status: 504, closes: false },
        ]);
    });
});
