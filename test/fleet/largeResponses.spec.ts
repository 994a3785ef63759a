import http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { FleetHost } from "./fleet.js";
import { useScriptedFleet, writePath } from "./scriptedFleet.js";
import type { ScriptedTarget } from "./scriptedTarget.js";

const bodyBytes = 3_000_000;

/** Body that differs from request to request, and in each of its parts. */
function bodyOf(id: string): Buffer {
    const body = Buffer.alloc(bodyBytes);
    for (let position = 0; position < bodyBytes; position += 16) {
        body.write(`${id}:${String(position)}`.padEnd(16, "."), position, "latin1");
    }
    return body;
}

function toChunks(body: Buffer): Buffer {
    const pieces: Buffer[] = [];
    for (let position = 0, size = 1; position < body.length; position += size, size = 1 + (7 * size) % 90_001) {
        const chunk = body.subarray(position, position + size);
        pieces.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from("\r\n"));
    }
    return Buffer.concat([...pieces, Buffer.from("0\r\n\r\n")]);
}

/** Sends a request and reads its response with a pause after each piece. */
function readSlowly(host: FleetHost, id: string): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        http.request({
            host: "127.0.0.1", port: host.clientPort, path: `${writePath}x`, method: "POST", agent: false,
            headers: { "Host": "fleet.example", "Request-Id": id, "Deadline-Ms": "8000" },
        }, (response) => {
            void (async () => {
                const pieces: Buffer[] = [];
                for await (const piece of response) {
                    pieces.push(piece as Buffer);
                    await sleep(5);
                }
                resolve(Buffer.concat(pieces));
            })().catch(reject);
        }).on("error", reject).end();
    });
}

describe("a large response", function () {
    this.timeout(30_000);
    let target: ScriptedTarget;
    let host: FleetHost;

    useScriptedFleet((started) => {
        ({ target, host } = started);
    });

    for (const framing of ["with a length", "in chunks"]) {
        // Guards against bytes of another response, or of another part, in memory that is used again.
        it(`arrives as it was sent, beside others, though its client reads slowly: ${framing}`, async () => {
            target.react = (socket, { requestId }) => {
                const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n`;
                const body = bodyOf(requestId);
                socket.write(framing === "in chunks" ? `${head}Transfer-Encoding: chunked\r\n\r\n` : `${head}Content-Length: ${String(bodyBytes)}\r\n\r\n`);
                socket.write(framing === "in chunks" ? toChunks(body) : body);
            };
            const ids = ["a", "b", "c", "d"].map((letter) => `${letter}${framing.length.toString()}`);
            const bodies = await Promise.all(ids.map((id) => readSlowly(host, id)));
            expect(ids.map((id, index) => bodies[index]?.equals(bodyOf(id)))).to.deep.equal([true, true, true, true]);
        });
    }
});
