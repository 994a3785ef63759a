import { once } from "node:events";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createStore } from "../../platform/store.js";
import type { Address, Offset } from "../../src/model/names.js";

/** A call of the store's client gets no answer after this time. */
const callTimeoutMs = 1_200;

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Bytes that a store sends every millisecond, until its connection is closed. */
const endlessAnswers: Record<string, { start: string; repeated: string }> = {
    "in chunks of one byte": { start: head, repeated: "1\r\nx\r\n".repeat(4_096) },
    "in large chunks, slowly": { start: head, repeated: `400\r\n${"x".repeat(0x400)}\r\n` },
    "in large chunks, fast": { start: head, repeated: `10000\r\n${"x".repeat(0x10000)}\r\n` },
    "of 10^15 - 1 bytes": { start: "HTTP/1.1 200 OK\r\nContent-Length: 999999999999999\r\n\r\n", repeated: "x".repeat(0x10000) },
    "as headers": { start: "HTTP/1.1 200 OK\r\n", repeated: "X: y\r\n".repeat(1_000) },
};

describe("store that answers with a status that HTTP doesn't know", () => {
    for (const status of ["000", "099", "600", "999", "20"]) {
        // Guards against an append that counts as not executed, though the store in trouble has carried it out.
        it(`leaves open whether it has carried out the call: ${status}`, async () => {
            const server = net.createServer((socket) => {
                socket.on("error", () => undefined);
                socket.on("data", () => socket.write(`HTTP/1.1 ${status} Some\r\nContent-Length: 2\r\n\r\n{}`));
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const store = createStore(`127.0.0.1:${String((server.address() as net.AddressInfo).port)}` as Address, () => undefined);
            const outcomes = [
                await store.append([{ key: "k", value: Buffer.from("v") }], undefined), await store.read("ledger", 0 as Offset, 0),
                await store.snapshot("ledger"),
            ];
            expect(outcomes.map((outcome) => outcome.isErr() ? outcome.error.kind : "ok")).to.deep.equal(["lost", "lost", "lost"]);
            server.close();
        });
    }
});

describe("store that answers without end", function () {
    this.timeout(20_000);

    for (const [what, { start, repeated }] of Object.entries(endlessAnswers)) {
        // Guards against a host that ends: an answer that was read on after its timeout raised an error that nobody handled.
        it(`fails the call in time, and closes the connection: ${what}`, async () => {
            let closedAfterBytes: number | undefined;
            const server = net.createServer((socket) => {
                socket.on("error", () => undefined);
                socket.once("data", () => {
                    socket.write(start);
                    const timer = setInterval(() => {
                        if (socket.writableLength < 1_048_576) {
                            socket.write(repeated);
                        }
                    }, 1);
                    socket.on("close", () => {
                        clearInterval(timer);
                        closedAfterBytes = socket.bytesWritten;
                    });
                });
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const store = createStore(`127.0.0.1:${String((server.address() as net.AddressInfo).port)}` as Address, () => undefined);
            const startedMs = performance.now();
            const outcome = await store.read("ledger", 0 as Offset, 0);
            const tookMs = performance.now() - startedMs;
            expect(outcome._unsafeUnwrapErr().kind).to.equal("lost");
            expect(tookMs).to.be.below(callTimeoutMs + 500);
            await sleep(4_000);
            expect(closedAfterBytes).to.be.a("number");
            server.close();
        });
    }
});
