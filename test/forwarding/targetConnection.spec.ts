import net from "node:net";
import { once } from "node:events";
import { expect } from "chai";
import type { Exchange } from "../../src/forwarding/exchange.js";
import { headerOf } from "../../src/forwarding/responseHead.js";
import type { TargetConnection } from "../../src/forwarding/targetConnection.js";
import { connectToTarget } from "../../src/forwarding/targetConnection.js";
import type { Address, RequestId } from "../../src/model/names.js";

const connectTimeoutMs = 500;

/** Starts a target that calls `onRequest` for each received request, with the number of requests on its connection. */
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

function start(connection: TargetConnection, id: string, method = "GET"): Exchange {
    return connection.start({
        method, head: `${method} / HTTP/1.1\r\nRequest-Id: ${id}\r\n\r\n`, body: undefined, hasMore: false,
        requestId: id as RequestId, idempotent: true,
        matchOf: (head) => headerOf(head.rawHeaders, "request-id") === id ? "named" : "other",
    });
}

/** Reads a response to its end; returns its body, or `failed: ...` or `broken: ...` with the reason if it is not complete. */
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
    it("carries several requests one after another", async () => {
        const target = await startTarget((socket, requests) => socket.write(answer(`r${String(requests)}`, `body ${String(requests)}`)));
        const connection = await open(target.address);
        expect(await read(start(connection, "r1"))).to.equal("body 1");
        expect(connection.reusable).to.equal(true);
        expect(await read(start(connection, "r2"))).to.equal("body 2");
        connection.destroy();
        target.stop();
    });

    it("skips a late response to an earlier request and waits for the response to the current one", async () => {
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
        expect(exchange.skippedResponses).to.equal(1);
        connection.destroy();
        target.stop();
    });

    // Guards against a copy that is read with the framing of another answer, and a forged answer in what is left of it.
    it("takes no part of a late copy of a GET request's answer for the answer to a HEAD request", async () => {
        const copied = answer("r1", answer("r2", "forged"));
        const target = await startTarget((socket, requests) => {
            socket.write(copied);
            if (requests === 2) {
                setTimeout(() => socket.write(answer("r2", "twelve bytes").slice(0, -12)), 10);
            }
        });
        const connection = await open(target.address);
        await read(start(connection, "r1"));
        const exchange = start(connection, "r2", "HEAD");
        expect((await exchange.head()).map(({ rawHeaders }) => headerOf(rawHeaders, "content-length"))._unsafeUnwrap()).to.equal("12");
        expect(await read(exchange)).to.equal("");
        expect(connection.reusable).to.equal(true);
        target.stop();
    });

    // Guards against the same, where the copy is skipped with a body that it doesn't have: with the head of the answer behind it.
    it("takes no part of an answer for the whole after a late copy of a HEAD request's answer", async () => {
        const genuine = answer("r2", answer("r2", "forged"));
        const genuineHeadBytes = genuine.indexOf("\r\n\r\n") + 4;
        const target = await startTarget((socket, requests) => {
            socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: ${String(genuineHeadBytes)}\r\n\r\n`);
            if (requests === 2) {
                setTimeout(() => socket.write(genuine), 10);
            }
        });
        const connection = await open(target.address);
        await read(start(connection, "r1", "HEAD"));
        expect(await read(start(connection, "r2"))).to.match(/^failed: .*HEAD/);
        target.stop();
    });

    it("closes when a response arrives that no request is waiting for", async () => {
        const target = await startTarget((socket) => socket.write(answer("r1", "once") + answer("r1", "twice")));
        const connection = await open(target.address);
        expect(await read(start(connection, "r1"))).to.equal("once");
        expect(await connection.closed).to.equal("received a response that no request is waiting for");
        target.stop();
    });

    it("treats a body without a length as complete if the target closes the connection normally", async () => {
        const target = await startTarget((socket) => socket.end("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it"));
        expect(await read(start(await open(target.address), "r1"))).to.equal("all of it");
        target.stop();
    });

    for (const resetsAtOnce of [true, false]) {
        it(`treats a body without a length as broken if the target resets the connection ${resetsAtOnce ? "right after sending data" : "later"}`, async () => {
            const target = await startTarget((socket) => {
                socket.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nsome");
                if (resetsAtOnce) {
                    socket.resetAndDestroy();
                    return;
                }
                setTimeout(() => socket.resetAndDestroy(), 20);
            });
            expect(await read(start(await open(target.address), "r1"))).to.match(/^broken|^failed/);
            target.stop();
        });
    }

    it("is not reused if the target responds before it has received the complete request body", async () => {
        const target = await startTarget((socket, requests) => requests === 1 ? socket.write(answer("r1", "too long")) : undefined);
        const connection = await open(target.address);
        const exchange = connection.start({
            method: "POST", head: "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", body: undefined, hasMore: true,
            requestId: undefined, idempotent: false, matchOf: () => "named",
        });
        expect(await read(exchange)).to.equal("too long");
        expect(connection.reusable).to.equal(false);
        target.stop();
    });

    it("fails at once if no process listens at the address", async () => {
        const target = await startTarget(() => undefined);
        target.stop();
        const opened = await connectToTarget(target.address, connectTimeoutMs);
        expect(opened._unsafeUnwrapErr().kind).to.equal("unreachable");
    });

    it("closes when the body of a response to another request exceeds the size limit", async () => {
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
        expect(await read(start(connection, "mine"))).to.match(/body of a response to another request exceeds the size limit/);
        expect(connection.reusable).to.equal(false);
        target.stop();
    });

    for (const [what, bytes, why] of [
        ["a response head", "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(500), /response head exceeds the size limit/],
        ["interim responses", "HTTP/1.1 100 Continue\r\n\r\n", /too many interim responses/],
        ["trailers", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", /malformed|too many trailers/],
    ] as const) {
        it(`closes when the target sends ${what} without end`, async () => {
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
