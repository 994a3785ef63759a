import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { DenialReason } from "../../src/entry/clientConnection.js";
import { SeededRandom } from "../support/seededRandom.js";
import type { ReceivedAnswer } from "./listenerClient.js";
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { parsesBytesBeyondAscii } from "./parserAbilities.js";
import { expectedBody, limits, pathPrefix, startListener, streamedBody, treatmentHeader } from "./listenerUnderTest.js";

const seeds = Array.from({ length: 40 }, (_, index) => index + 1);

/** Sizes around the limits above which a body is streamed, and small ones. */
const bodySizes = [0, 1, 17, 4_000, 65_535, 65_536, 65_537, 100_000, 300_000];

interface ProperRequest {
    id: string;
    method: string;
    path: string;
    treatment: string;
    /** Header section, with the empty line. */
    head: Buffer;
    /** Body as sent, with its framing. */
    framedBody: Buffer;
    body: Buffer;
    expectsContinue: boolean;
}

function createBody(random: SeededRandom, bytes: number): Buffer {
    const text = `${String(random.integerUpTo(1e9))}\r\nGET /a/smuggled HTTP/1.1\r\nHost: one.example\r\nRequest-Id: smuggled\r\n\r\n0\r\n\r\n`;
    return Buffer.alloc(bytes, text, "latin1");
}

/** Frames a body in chunks, some with an extension, and ends it with trailers or without. */
function toChunks(random: SeededRandom, body: Buffer): Buffer {
    const parts: Buffer[] = [];
    for (let offset = 0; offset < body.length;) {
        const piece = body.subarray(offset, offset + 1 + random.integerUpTo(random.chance(0.5) ? 20_000 : 900));
        const extension = random.chance(0.1) ? ";name=\"value\"" : "";
        const size = random.chance(0.5) ? piece.length.toString(16) : `0${piece.length.toString(16).toUpperCase()}`;
        parts.push(Buffer.from(`${size}${extension}\r\n`), piece, Buffer.from("\r\n"));
        offset += piece.length;
    }
    const trailers = random.chance(0.3) ? `Checksum: ${"c".repeat(random.integerUpTo(10_000))}\r\n` : "";
    return Buffer.concat([...parts, Buffer.from(`0\r\n${trailers}\r\n`)]);
}

const targets: ((path: string) => { target: string; host: string })[] = [
    (path) => ({ target: path, host: "one.example" }),
    (path) => ({ target: path, host: "ONE.Example" }),
    (path) => ({ target: path, host: "one.example:8080" }),
    (path) => ({ target: path, host: "one.example.:8080" }),
    (path) => ({ target: `http://one.example${path}`, host: "one.example" }),
    (path) => ({ target: `HTTP://ONE.example:8080${path}`, host: "other.example" }),
];

/** Bytes beyond ASCII, percent-encoded where the parser takes no others; `unusualRequests.spec.ts` has the rest of that case. */
const beyondAscii = await parsesBytesBeyondAscii() ? "\u00e9\u00ff" : "%e9%ff";

const pathEnds = ["", "x", "b/c", "x?y=/a/b/&z=%2F", "%c3%a9%00", beyondAscii, "~{}|^`\"<>", "x?", "//", "?q"];

/** Creates a request that the protocol and the limits allow. */
function createRequest(random: SeededRandom, id: string, isPipelined: boolean): ProperRequest {
    const method = random.pick(["GET", "GET", "HEAD", "POST", "POST", "PUT"]);
    const hasBody = method !== "HEAD" && random.chance(method === "GET" ? 0.1 : 0.9);
    const body = createBody(random, hasBody ? random.pick(bodySizes) : 0);
    const isChunked = hasBody && random.chance(0.5);
    // A client that pipelines sends the body without waiting, so it must not announce that it waits.
    const expectsContinue = hasBody && !isPipelined && random.chance(0.2);
    const treatment = random.pick(["served", "served", "served", "refused", "refused-while-read", "answered-early", "late", "streamed"]);
    const path = `${pathPrefix}${random.pick(pathEnds)}`;
    const { target, host } = random.pick(targets)(path);
    const lines = [
        `Host: ${host}`, `Request-Id: ${id}`, `${treatmentHeader}: ${treatment}`,
        ...isChunked ? ["Transfer-Encoding: chunked"] : hasBody ? [`Content-Length: ${String(body.length)}`] : [],
        ...expectsContinue ? [random.chance(0.5) ? "Expect: 100-continue" : "expect: 100-Continue"] : [],
        ...random.chance(0.2) ? ["Connection: keep-alive, x-private", "X-Private: 1"] : [],
        ...random.chance(0.1) ? ["Upgrade: h2c", "Connection: upgrade"] : [],
    ];
    const start = `${method} ${target} HTTP/1.1\r\n`;
    const spareBytes = limits.maxHeaderBytes - lines.join("\r\n").length - 8;
    const filler = random.chance(0.2)
        ? random.chance(0.5) ? [`Filler: ${"f".repeat(spareBytes - 8)}`] : Array.from({ length: Math.floor(spareBytes / 6) }, () => "f:1 ")
        : [];
    const order = random.chance(0.5) ? [...filler, ...lines] : [...lines, ...filler];
    return {
        id, method, path, treatment, body, expectsContinue,
        head: Buffer.from(`${start}${order.join("\r\n")}\r\n\r\n`, "latin1"),
        framedBody: isChunked ? toChunks(random, body) : body,
    };
}

/** Cuts bytes into pieces that are written separately. */
function cut(random: SeededRandom, bytes: Buffer): Buffer[] {
    const pieces: Buffer[] = [];
    const largest = random.pick([3, 200, 5_000, 70_000, 1_000_000]);
    for (let offset = 0; offset < bytes.length;) {
        const size = pieces.length > 20 ? bytes.length : 1 + random.integerUpTo(largest);
        pieces.push(bytes.subarray(offset, offset + size));
        offset += size;
    }
    return pieces;
}

/** Status and body that a proper request gets. */
function expectedAnswer({ id, treatment, path, body }: ProperRequest): { status: number; body?: string } {
    switch (treatment) {
        case "refused":
        case "refused-while-read":
            return { status: 503 };
        case "answered-early":
            return { status: 200, body: `${id} early` };
        case "streamed":
            return { status: 200, body: streamedBody };
        default:
            return { status: 200, body: expectedBody(id, path, body) };
    }
}

function checkAnswer(request: ProperRequest, answer: ReceivedAnswer, context: string): void {
    const expected = expectedAnswer(request);
    const about = `${context}: ${request.method} ${request.path} ${request.treatment}, body of ${String(request.body.length)}, `
        + `${request.head.subarray(0, 200).toString("latin1")} got ${answer.body.slice(0, 200)}`;
    expect(answer.status, about).to.equal(expected.status);
    if (expected.body !== undefined && request.method !== "HEAD") {
        expect(answer.body, about).to.equal(expected.body);
    }
}

/** Sends a request and reads its answer; returns false if the connection cannot be used any more. */
async function exchange(client: RawClient, random: SeededRandom, request: ProperRequest, context: string): Promise<boolean> {
    await client.write(...cut(random, request.head));
    const isRefusedUnread = request.expectsContinue && await client.peekStatus() !== 100;
    if (!isRefusedUnread) {
        if (random.chance(0.3)) {
            await sleep(random.integerUpTo(15));
        }
        await client.write(...cut(random, request.framedBody));
    }
    const answer = await client.readAnswer(request.method);
    checkAnswer(request, answer, context);
    return !isRefusedUnread && answer.headers["connection"] !== "close";
}

/** Uses one connection for several requests, each after the answer to the one before. */
async function useInTurn(listener: ListenerUnderTest, random: SeededRandom, name: string): Promise<void> {
    const client = await RawClient.connect(listener.port);
    for (let count = 0; count < 6; count++) {
        await client.write(Buffer.from(random.chance(0.1) ? "\r\n\r\n" : ""));
        const id = `${name}-${String(count)}`;
        if (!await exchange(client, random, createRequest(random, id, false), id)) {
            break;
        }
    }
    client.socket.destroy();
}

/** Writes several requests at once; an answer that closes the connection leaves those behind it unanswered. */
async function usePipelined(listener: ListenerUnderTest, random: SeededRandom, name: string): Promise<void> {
    const client = await RawClient.connect(listener.port);
    const requests = [0, 1, 2, 3].map((count) => createRequest(random, `${name}-${String(count)}`, true));
    const writing = client.write(...cut(random, Buffer.concat(requests.flatMap(({ head, framedBody }) => [head, framedBody]))));
    for (const request of requests) {
        const answer = await client.readAnswer(request.method);
        checkAnswer(request, answer, request.id);
        if (answer.headers["connection"] === "close") {
            break;
        }
    }
    client.socket.destroy();
    await writing;
}

/** Ends a connection in one of the ways that clients do; returns once the listener has reacted. */
const connectionEnds: ((client: RawClient, random: SeededRandom, id: string) => Promise<ReceivedAnswer | undefined>)[] = [
    /** Half-closes after a whole request: that counts as leaving, so there may be no answer, but none that blames the request. */
    async (client, random, id) => {
        const { head, framedBody, method } = createRequest(random, id, true);
        await client.write(head, framedBody);
        client.socket.end();
        return client.readAnswer(method);
    },
    /** Leaves in the middle of a body. */
    async (client) => {
        await client.write(Buffer.from("POST /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: partial\r\nContent-Length: 90000\r\n\r\nabc"));
        client.socket.destroy();
        return undefined;
    },
    /** Announces its end. */
    async (client) => {
        await client.write(Buffer.from("GET /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: last\r\nConnection: close\r\n\r\n"));
        return client.readAnswer();
    },
];

const notDeniedStatuses = [0, 200, 503];

/** Reasons of the listener that blame no proper request. */
const deniedReasons: ReadonlySet<DenialReason> = new Set(["incomplete", "limit-raised"]);

/** Blocks the event loop, as on a host without processor time. */
function blockEventLoop(durationMs: number): void {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
        // Busy wait.
    }
}

describe("proper requests", function () {
    this.timeout(60_000);
    let listener: ListenerUnderTest;

    beforeEach(async () => {
        listener = await startListener();
    });

    afterEach(() => {
        listener.clients.close();
    });

    for (const seed of seeds) {
        it(`are never denied, whatever came before on their connection (seed ${String(seed)})`, async () => {
            const random = new SeededRandom(seed);
            await useInTurn(listener, random, `turn-${String(seed)}`);
            await usePipelined(listener, random, `pipe-${String(seed)}`);
            expect(listener.denials).to.deep.equal([]);
            expect(listener.servedIds).not.to.include("smuggled");
            expect(listener.errors).to.deep.equal([]);
        });

        it(`are never denied while other connections end, the limits change and the host is busy (seed ${String(seed)})`, async () => {
            const random = new SeededRandom(seed + 1_000);
            const changes = [
                () => {
                    listener.clients.setLimits({ ...limits, maxHeaderBytes: limits.maxHeaderBytes * 2 });
                },
                () => {
                    blockEventLoop(120);
                },
                () => {
                    listener.clients.startClosingConnections();
                },
            ];
            const change = random.pick(changes);
            const timer = setTimeout(change, random.integerUpTo(60));
            const ending = [0, 1, 2, 3].map(async (index) => {
                const client = await RawClient.connect(listener.port);
                const answer = await random.pick(connectionEnds)(client, random, `end-${String(index)}`);
                expect(answer?.status ?? 0).to.be.oneOf(notDeniedStatuses);
                client.socket.destroy();
            });
            await Promise.all([...ending, useInTurn(listener, random, "turn"), usePipelined(listener, random, "pipe")]);
            clearTimeout(timer);
            expect(listener.denials.filter(({ reason }) => !deniedReasons.has(reason))).to.deep.equal([]);
            expect(listener.servedIds).not.to.include("smuggled");
            expect(listener.errors).to.deep.equal([]);
        });
    }
});
