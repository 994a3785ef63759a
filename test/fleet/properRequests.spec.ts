import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { RawClient } from "../entry/listenerClient.js";
import { SeededRandom } from "../support/seededRandom.js";
import { CrashingServers, crashMarker } from "./crashingFleet.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, keyedService, paths, plainService, sleep } from "./fleet.js";

const hostCount = 3;
const serversPerService = 6;
const clientsPerHost = 8;
const playMs = 8_000;
const stopHostAfterMs = 5_000;
const budgetMs = 2_000;
const answerTimeoutMs = budgetMs + 1_500;

/** Share of requests on which their servers crash. */
const crashShare = 0.01;

/** Sizes around 65,536 bytes, above which a body is streamed. */
const bodySizes = [0, 2, 4_000, 65_536, 65_537, 200_000, 900_000];

/** What may end a proper request: an answer, a refusal that does not blame it, a failure of its target, or the end of its connection. */
const statusesWithoutBlame = [0, 200, 502, 503, 504];

interface PlayedRequest {
    method: string;
    bytes: Buffer;
    start: string;
}

function createRequest(random: SeededRandom, id: string): PlayedRequest {
    const prefix = random.pick([paths.read, paths.list, paths.order]);
    const method = prefix === paths.read ? "GET" : random.pick(["POST", "POST", "HEAD"]);
    const body = Buffer.alloc(method === "POST" ? random.pick(bodySizes) : 0, "GET /list/smuggled HTTP/1.1\r\nHost: fleet.example\r\n\r\n");
    const isChunked = method === "POST" && random.chance(0.5);
    const path = `${prefix}${random.chance(crashShare) ? crashMarker : "x"}${random.chance(0.3) ? "?q=/a/b/" : ""}`;
    const start = [
        `${method} ${path} HTTP/1.1`, `Host: ${random.pick(["fleet.example", "FLEET.example:80"])}`, `Request-Id: ${id}`,
        `Deadline-Ms: ${String(budgetMs)}`,
        ...prefix === paths.list ? [] : [`Shard-Key: ${String(random.integerUpTo(65_535))}`],
        ...random.chance(0.1) ? [`Filler: ${"f".repeat(15_000)}`] : [],
        ...isChunked ? ["Transfer-Encoding: chunked"] : method === "POST" ? [`Content-Length: ${String(body.length)}`] : [],
    ].join("\r\n");
    const chunks = body.length === 0 ? [] : [Buffer.from(`${body.length.toString(16)};x=y\r\n`), body, Buffer.from("\r\n")];
    const framed = isChunked ? Buffer.concat([...chunks, Buffer.from("0\r\nChecksum: 1\r\n\r\n")]) : body;
    return { method, start, bytes: Buffer.concat([Buffer.from(`${start}\r\n\r\n`), framed]) };
}

describe("proper requests while others crash their servers", function () {
    this.timeout(60_000);
    let fleet: Fleet;
    let servers: CrashingServers;
    const countByStatus: Record<number, number> = {};
    const blamed: string[] = [];

    before(async () => {
        fleet = await Fleet.start(0, 0, 0, false);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        servers = new CrashingServers(fleet);
        for (let index = 0; index < serversPerService; index++) {
            await servers.add(`k${String(index)}`, keyedService, true);
            await servers.add(`p${String(index)}`, plainService, false);
        }
        await Promise.all(Array.from({ length: hostCount }, (_, index) => fleet.startHost(`h${String(index)}`)));
        await fleet.waitUntilServing();
    });

    after(async () => {
        servers.stop();
        await fleet.stop();
    });

    /** Sends requests on one connection after another, each until it is closed, or broken off by the client now and then. */
    async function play(host: FleetHost, seed: number): Promise<void> {
        const random = new SeededRandom(seed);
        const untilMs = performance.now() + playMs;
        for (let count = 0; performance.now() < untilMs;) {
            const client = await RawClient.connect(host.clientPort).catch(() => undefined);
            if (client === undefined) {
                return;
            }
            while (!client.closed && performance.now() < untilMs) {
                count += 1;
                const { method, bytes, start } = createRequest(random, `${host.name}-${String(seed)}-${String(count)}`);
                const cutAt = random.integerUpTo(bytes.length);
                if (random.chance(0.02)) {
                    await client.write(bytes.subarray(0, cutAt));
                    break;
                }
                const writing = client.write(bytes.subarray(0, cutAt), bytes.subarray(cutAt));
                const answer = await client.readAnswer(method, answerTimeoutMs);
                countByStatus[answer.status] = (countByStatus[answer.status] ?? 0) + 1;
                if (!statusesWithoutBlame.includes(answer.status)) {
                    blamed.push(`${String(answer.status)} ${answer.body.slice(0, 100)}: ${start.slice(0, 300)}`);
                }
                if (answer.status <= 0 || answer.headers["connection"] === "close") {
                    break;
                }
                await writing;
                await sleep(random.integerUpTo(20));
            }
            client.socket.destroy();
        }
    }

    it("are not blamed on connections that are used again, with bodies of any size, while a host stops", async () => {
        const seed = 4_001;
        const playing = fleet.hosts.flatMap((host, index) =>
            Array.from({ length: clientsPerHost }, (_, client) => play(host, seed + index * clientsPerHost + client)));
        await sleep(stopHostAfterMs);
        await fleet.endHost(fleet.hosts[2]!, "SIGTERM");
        await Promise.all(playing);
        const counts = JSON.stringify(countByStatus);
        expect(blamed, counts).to.deep.equal([]);
        expect(servers.crashes.length, "crashes").to.be.above(3);
        expect(countByStatus[200] ?? 0, counts).to.be.above(300);
        const smuggled = servers.all.flatMap(({ arrivals }) => arrivals).filter(({ path }) => path.includes("smuggled"));
        expect(smuggled).to.deep.equal([]);
    });
});
