/** Proper requests of many clients on raw connections that are used again, while some requests crash their servers. */
import { topics } from "../../platform/names.js";
import { RawClient } from "../entry/listenerClient.js";
import { SeededRandom } from "../support/seededRandom.js";
import { CrashingServers, crashMarker } from "./crashingFleet.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, keyedService, paths, plainService, sleep } from "./fleet.js";

const serversPerService = 6;
const clientsPerHost = 8;
const budgetMs = 2_000;
const answerTimeoutMs = budgetMs + 1_500;

/** Share of requests on which their servers crash. */
const crashShare = 0.01;

/** Sizes around 65,536 bytes, above which a body is streamed. */
const bodySizes = [0, 2, 4_000, 65_536, 65_537, 200_000, 900_000];

/** Path that a request must not be read from: it stands in the bodies of others. */
const smuggledMark = "smuggled";

interface PlayedRequest {
    method: string;
    bytes: Buffer;
    start: string;
}

function createRequest(random: SeededRandom, id: string): PlayedRequest {
    const prefix = random.pick([paths.read, paths.list, paths.order]);
    const method = prefix === paths.read ? "GET" : random.pick(["POST", "POST", "POST", "HEAD", "OPTIONS", "PUT", "DELETE"]);
    const hasBody = method === "POST" || method === "PUT";
    const body = Buffer.alloc(hasBody ? random.pick(bodySizes) : 0, `GET /list/${smuggledMark} HTTP/1.1\r\nHost: fleet.example\r\n\r\n`);
    const isChunked = hasBody && random.chance(0.5);
    const path = `${prefix}${random.chance(crashShare) ? crashMarker : "x"}${random.chance(0.3) ? "?q=/a/b/" : ""}`;
    const start = [
        `${method} ${path} HTTP/1.1`, `Host: ${random.pick(["fleet.example", "FLEET.example:80"])}`, `Request-Id: ${id}`,
        `Deadline-Ms: ${String(budgetMs)}`,
        ...prefix === paths.list ? [] : [`Shard-Key: ${String(random.integerUpTo(65_535))}`],
        ...random.chance(0.1) ? [`Filler: ${"f".repeat(15_000)}`] : [],
        ...isChunked ? ["Transfer-Encoding: chunked"] : hasBody ? [`Content-Length: ${String(body.length)}`] : [],
    ].join("\r\n");
    const chunks = body.length === 0 ? [] : [Buffer.from(`${body.length.toString(16)};x=y\r\n`), body, Buffer.from("\r\n")];
    const framed = isChunked ? Buffer.concat([...chunks, Buffer.from("0\r\nChecksum: 1\r\n\r\n")]) : body;
    return { method, start, bytes: Buffer.concat([Buffer.from(`${start}\r\n\r\n`), framed]) };
}

/** A fleet, servers that crash on some requests, and clients that send these among others. */
export class ProperRequestPlay {
    readonly countByStatus: Record<number, number> = {};
    /** Answers that blame a proper request, with its start. */
    readonly blamed: string[] = [];
    private clientCount = 0;

    private constructor(
        readonly fleet: Fleet, readonly servers: CrashingServers, private readonly isBlame: (status: number) => boolean,
    ) {}

    /**
     * Starts a fleet without hosts.
     * @param isBlame tells whether a status (0 if the connection ended, -1 without an answer in time) blames the request
     */
    static async start(isBlame: (status: number) => boolean): Promise<ProperRequestPlay> {
        const fleet = await Fleet.start(0, 0, 0, false);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        const servers = new CrashingServers(fleet);
        for (let index = 0; index < serversPerService; index++) {
            await servers.add(`k${String(index)}`, keyedService, true);
            await servers.add(`p${String(index)}`, plainService, false);
        }
        return new ProperRequestPlay(fleet, servers, isBlame);
    }

    /** Lets the clients of one host send requests for some time. */
    async playAt(host: FleetHost, firstSeed: number, playMs: number): Promise<void> {
        const untilMs = performance.now() + playMs;
        await Promise.all(Array.from({ length: clientsPerHost }, (_, client) => this.runClient(host, firstSeed + client, untilMs)));
    }

    /** Returns the requests that servers read from the body of another one. */
    smuggledPaths(): string[] {
        return this.servers.all.flatMap(({ arrivals }) => arrivals).map(({ path }) => path).filter((path) => path.includes(smuggledMark));
    }

    async stop(): Promise<void> {
        this.servers.stop();
        await this.fleet.stop();
    }

    /** Sends requests on one connection after another, each until it is closed, or broken off by the client now and then. */
    private async runClient(host: FleetHost, seed: number, untilMs: number): Promise<void> {
        const random = new SeededRandom(seed);
        this.clientCount += 1;
        const name = `${host.name}-${String(this.clientCount)}-${String(seed)}`;
        for (let count = 0; performance.now() < untilMs;) {
            const client = await RawClient.connect(host.clientPort).catch(() => undefined);
            if (client === undefined) {
                return;
            }
            while (!client.closed && performance.now() < untilMs) {
                count += 1;
                const request = createRequest(random, `${name}-${String(count)}`);
                if (!await this.exchange(client, random, request)) {
                    break;
                }
                await sleep(random.integerUpTo(20));
            }
            client.socket.destroy();
        }
    }

    /** Sends a request in two pieces, now and then with a pause between them; returns whether its connection can be used again. */
    private async exchange(client: RawClient, random: SeededRandom, { method, bytes, start }: PlayedRequest): Promise<boolean> {
        const cutAt = random.integerUpTo(bytes.length);
        if (random.chance(0.02)) {
            await client.write(bytes.subarray(0, cutAt));
            return false;
        }
        const pauseMs = random.chance(0.05) ? random.integerUpTo(400) : 0;
        const writing = client.write(bytes.subarray(0, cutAt)).then(() => sleep(pauseMs)).then(() => client.write(bytes.subarray(cutAt)));
        const answer = await client.readAnswer(method, answerTimeoutMs);
        this.countByStatus[answer.status] = (this.countByStatus[answer.status] ?? 0) + 1;
        if (this.isBlame(answer.status)) {
            this.blamed.push(`${String(answer.status)} ${answer.body.slice(0, 100)}: ${start.slice(0, 300)}`);
        }
        if (answer.status <= 0 || answer.headers["connection"] === "close") {
            return false;
        }
        await writing;
        return true;
    }
}
