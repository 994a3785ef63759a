import { expect } from "chai";
import { useConnectedClient } from "./connectedClient.js";
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { expectedBody, limits, startListener } from "./listenerUnderTest.js";

const crlf = "\r\n";

function headOf(id: string, method = "GET", fields = ""): string {
    return `${method} /a/${id} HTTP/1.1${crlf}Host: one.example${crlf}Request-Id: ${id}${crlf}${fields}${crlf}`;
}

/** Returns a request whose request line and headers, with the empty line, have a given length. */
function requestOfHeaderBytes(id: string, bytes: number, fieldBytes: number): string {
    let fields = "";
    const rest = () => bytes - headOf(id, "GET", fields).length;
    while (rest() >= 2 * fieldBytes) {
        fields += `f: ${"x".repeat(fieldBytes - 5)}${crlf}`;
    }
    fields += `f: ${"x".repeat(rest() - 5)}${crlf}`;
    return headOf(id, "GET", fields);
}

function toChunks(body: string, chunkBytes: number, trailer = ""): string {
    let encoded = "";
    for (let start = 0; start < body.length; start += chunkBytes) {
        const piece = body.slice(start, start + chunkBytes);
        encoded += `${piece.length.toString(16).toUpperCase()};name=value${crlf}${piece}${crlf}`;
    }
    return `${encoded}0${crlf}${trailer}${crlf}`;
}

describe("proper requests at the limits", function () {
    this.timeout(20_000);
    let listener: ListenerUnderTest;
    let client: RawClient;

    useConnectedClient((connected) => {
        ({ listener, client } = connected);
    });

    async function expectServed(id: string, body = ""): Promise<void> {
        const answer = await client.readAnswer();
        expect({ status: answer.status, body: answer.body }).to.deep.equal({ status: 200, body: expectedBody(id, `/a/${id}`, Buffer.from(body)) });
    }

    async function send(text: string, pieceBytes = text.length): Promise<void> {
        for (let start = 0; start < text.length; start += pieceBytes) {
            await client.write(Buffer.from(text.slice(start, start + pieceBytes)));
        }
    }

    for (const fieldBytes of [6, 40, 4_000, 16_000]) {
        it(`are served with as many bytes of headers as the limit allows, in fields of ${String(fieldBytes)} bytes, again and again`, async () => {
            for (const id of ["r-1", "r-2", "r-3"]) {
                await send(requestOfHeaderBytes(id, limits.maxHeaderBytes, fieldBytes));
                await expectServed(id);
            }
        });
    }

    it("are served with a path that takes nearly all bytes of the headers", async () => {
        const id = "p".repeat(limits.maxHeaderBytes / 2 - 100);
        await send(headOf(id), 700);
        await expectServed(id);
    });

    it("are served with as long a body as the limit allows, with a length or in chunks, one after the other", async () => {
        const body = "b".repeat(limits.maxBodyBytes);
        for (const id of ["r-1", "r-2"]) {
            await send(headOf(id, "POST", `Content-Length: ${String(body.length)}${crlf}`) + body, 40_000);
            await expectServed(id, body);
            await send(headOf(`${id}-c`, "POST", `Transfer-Encoding: chunked${crlf}`) + toChunks(body, 70_001), 33_333);
            await expectServed(`${id}-c`, body);
        }
    });

    it("are served with chunks of one byte and trailers, which another request follows at once", async () => {
        await send(headOf("r-1", "PUT", `Transfer-Encoding: chunked${crlf}Trailer: t${crlf}`) + toChunks("abc", 1, `t: 1${crlf}`) + headOf("r-2"));
        await expectServed("r-1", "abc");
        await expectServed("r-2");
    });

    it("are served byte by byte, with empty lines before them and a field in each form that the protocol allows", async () => {
        const fields = `Shard-Key:7${crlf}Accept:\t*/*\t ${crlf}X-Latin: \xe9\xff${crlf}X-Empty:${crlf}Connection: Keep-Alive, X-Hop${crlf}X-Hop: 1${crlf}`;
        for (const id of ["r-1", "r-2"]) {
            await send(`${crlf}${crlf}${headOf(id, "DELETE", fields)}`, 1);
            await expectServed(id);
        }
    });

    it("are served after a request that was refused before its body was sent, which then comes", async () => {
        await send(headOf("r-1", "POST", `treatment: refused${crlf}Content-Length: 30${crlf}`));
        expect((await client.readAnswer()).status).to.equal(503);
        await send("GET /a/no HTTP/1.1\r\nHost: x\r\n\r\n".slice(0, 30).padEnd(30, "x") + headOf("r-2"));
        await expectServed("r-2");
        expect(listener.servedIds).to.deep.equal(["r-1", "r-2"]);
    });

    it("are served after HEAD and OPTIONS, and with Expect where there is no body", async () => {
        await send(headOf("r-1", "HEAD") + headOf("r-2", "OPTIONS") + headOf("r-3", "GET", `Expect: 100-Continue${crlf}`));
        expect((await client.readAnswer("HEAD")).status).to.equal(200);
        await expectServed("r-2");
        await expectServed("r-3");
    });

    it("are served on a connection that was idle for four fifths of the time limit", async () => {
        listener.clients.setLimits({ ...limits, idleTimeoutMs: 2_000, headerTimeoutMs: 1_000 });
        await send(headOf("r-1"));
        await expectServed("r-1");
        await new Promise((resolve) => {
            setTimeout(resolve, 1_600);
        });
        await send(headOf("r-2"), 20);
        await expectServed("r-2");
    });
});

describe("wrong requests", () => {
    const wrong: readonly (readonly [string, string, number])[] = [
        ["without a route", `GET /b/x HTTP/1.1${crlf}Host: one.example${crlf}${crlf}`, 404],
        ["to another host name", `GET /a/x HTTP/1.1${crlf}Host: two.example${crlf}${crlf}`, 404],
        ["without Host", `GET /a/x HTTP/1.1${crlf}Request-Id: r${crlf}${crlf}`, 400],
        ["with two lengths", headOf("r", "POST", `Content-Length: 3${crlf}Content-Length: 4${crlf}`), 400],
        ["with a length and chunks", headOf("r", "POST", `Content-Length: 3${crlf}Transfer-Encoding: chunked${crlf}`), 400],
        ["with a space after a field's name", headOf("r", "GET", `Shard-Key : 1${crlf}`), 400],
        ["with a length that is no number", headOf("r", "POST", `Content-Length: 3x${crlf}`), 400],
        ["with too long headers", headOf("r", "GET", `f: ${"x".repeat(limits.maxHeaderBytes + 2_000)}${crlf}`), 431],
    ];
    for (const [name, text, status] of wrong) {
        it(`are denied at once: ${name}`, async () => {
            const listener = await startListener();
            const client = await RawClient.connect(listener.port);
            const startedMs = performance.now();
            await client.write(Buffer.from(text));
            const answer = await client.readAnswer();
            client.socket.destroy();
            listener.clients.close();
            expect(answer.status).to.equal(status);
            expect(performance.now() - startedMs).to.be.below(300);
            expect(listener.servedIds).to.deep.equal([]);
        });
    }
});
