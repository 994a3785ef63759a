import net from "node:net";
import { once } from "node:events";
import { expect } from "chai";
import { headerOf } from "../../src/forwarding/responseParser.js";
import type { Exchange, TargetConnection } from "../../src/forwarding/targetConnection.js";
import { connectToTarget } from "../../src/forwarding/targetConnection.js";
import type { Address } from "../../src/model/names.js";

const connectTimeoutMs = 500;

/** A target that does what a test says with each connection. */
async function startTarget(
    onRequest: (socket: net.Socket, requestsSoFar: number) => void,
): Promise<{ address: Address; stop: () => void }> {
    const server = net.createServer((socket) => {
        let requests = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests += 1;
            onRequest(socket, requests);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    return { address: `127.0.0.1:${String(port)}` as Address, stop: () => server.close() };
}

async function open(address: Address): Promise<TargetConnection> {
    return (await connectToTarget(address, connectTimeoutMs))._unsafeUnwrap();
}

function start(connection: TargetConnection, id: string): Exchange {
    return connection.start({
        method: "GET", head: `GET / HTTP/1.1\r\nRequest-Id: ${id}\r\n\r\n`, body: undefined, hasMore: false,
        isAnswer: (head) => headerOf(head.rawHeaders, "request-id") === id,
    });
}

/** Reads an answer to its end: its body, or why it is not whole. */
async function read(exchange: Exchange): Promise<string> {
    const head = await exchange.head();
    if (head.isErr()) {
        return `failed: ${head.error.message}`;
    }
    let body = "";
    for (;;) {
        const piece = await exchange.read();
        if (piece.isErr()) {
            return `broken: ${piece.error.message}`;
        }
        if (piece.value === undefined) {
            return body;
        }
        body += piece.value.toString();
    }
}

function answer(id: string, body: string): string {
    return `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: ${String(body.length)}\r\n\r\n${body}`;
}

describe("connection to a target", () => {
    it("carries one request after the other", async () => {
        const target = await startTarget((socket, requests) => socket.write(answer(`r${String(requests)}`, `body ${String(requests)}`)));
        const connection = await open(target.address);
        expect(await read(start(connection, "r1"))).to.equal("body 1");
        expect(connection.reusable).to.equal(true);
        expect(await read(start(connection, "r2"))).to.equal("body 2");
        connection.destroy();
        target.stop();
    });

    it("skips an answer to an earlier request that comes late, and waits for its own", async () => {
        const target = await startTarget((socket, requests) => {
            if (requests === 1) {
                socket.write(answer("r1", "first"));
                return;
            }
            socket.write(answer("r1", "first again"));
            setTimeout(() => socket.write(answer("r2", "second")), 10);
        });
        const connection = await open(target.address);
        expect(await read(start(connection, "r1"))).to.equal("first");
        const exchange = start(connection, "r2");
        expect(await read(exchange)).to.equal("second");
        expect(exchange.skipped).to.equal(1);
        connection.destroy();
        target.stop();
    });

    it("ends when an answer comes that nobody waits for", async () => {
        const target = await startTarget((socket) => socket.write(answer("r1", "once") + answer("r1", "twice")));
        const connection = await open(target.address);
        expect(await read(start(connection, "r1"))).to.equal("once");
        expect(await connection.closed).to.equal("a response came that nobody waits for");
        target.stop();
    });

    it("takes a body without a length as whole when the target closes in order", async () => {
        const target = await startTarget((socket) => socket.end("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it"));
        expect(await read(start(await open(target.address), "r1"))).to.equal("all of it");
        target.stop();
    });

    for (const withBody of [true, false]) {
        it(`takes a body without a length as broken when the target resets ${withBody ? "just behind some bytes" : "later"}`, async () => {
            const target = await startTarget((socket) => {
                socket.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nsome");
                if (withBody) {
                    socket.resetAndDestroy();
                    return;
                }
                setTimeout(() => socket.resetAndDestroy(), 20);
            });
            expect(await read(start(await open(target.address), "r1"))).to.match(/^broken|^failed/);
            target.stop();
        });
    }

    it("is not used again when the target answers before it has the whole body", async () => {
        const target = await startTarget((socket, requests) => requests === 1 ? socket.write(answer("r1", "too long")) : undefined);
        const connection = await open(target.address);
        const exchange = connection.start({
            method: "POST", head: "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", body: undefined, hasMore: true, isAnswer: () => true,
        });
        expect(await read(exchange)).to.equal("too long");
        expect(connection.reusable).to.equal(false);
        target.stop();
    });

    it("fails at once where nobody listens", async () => {
        const target = await startTarget(() => undefined);
        target.stop();
        const opened = await connectToTarget(target.address, connectTimeoutMs);
        expect(opened._unsafeUnwrapErr().kind).to.equal("unreachable");
    });

    it("ends when a response to another request does not end", async () => {
        const target = await startTarget((socket) => {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n");
            const more = setInterval(() => {
                socket.write(`8000\r\n${"x".repeat(0x8000)}\r\n`);
            }, 1);
            socket.on("close", () => {
                clearInterval(more);
            });
        });
        const connection = await open(target.address);
        expect(await read(start(connection, "mine"))).to.match(/does not end/);
        expect(connection.reusable).to.equal(false);
        target.stop();
    });

    for (const [what, bytes, why] of [
        ["a head", "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(500), /too long/],
        ["interim responses", "HTTP/1.1 100 Continue\r\n\r\n", /do not end/],
        ["trailers", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", /malformed|do not end/],
    ] as const) {
        it(`ends when ${what} does not end`, async () => {
            const target = await startTarget((socket) => {
                socket.write(bytes);
                const more = setInterval(() => {
                    socket.write(what === "trailers" ? "X: y\r\n".repeat(50) : bytes.replace("HTTP/1.1 200 OK\r\n", ""));
                }, 1);
                socket.on("close", () => {
                    clearInterval(more);
                });
            });
            const connection = await open(target.address);
            expect(await read(start(connection, "mine"))).to.match(why);
            target.stop();
        });
    }
});
