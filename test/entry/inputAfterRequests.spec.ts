import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { expectedBody, limits, startListener, streamedBody, treatmentHeader } from "./listenerUnderTest.js";

const noBody = Buffer.alloc(0);

function requestOf(id: string, treatment: string, fields = "", method = "GET"): Buffer {
    return Buffer.from(`${method} /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${id}\r\n${treatmentHeader}: ${treatment}\r\n${fields}\r\n`);
}

describe("input that is not a valid request", () => {
    let listener: ListenerUnderTest;
    let client: RawClient;

    beforeEach(async () => {
        listener = await startListener({ ...limits, headerTimeoutMs: 300 });
        client = await RawClient.connect(listener.port);
    });

    afterEach(() => {
        client.socket.destroy();
        listener.clients.close();
    });

    const invalidInputs: { name: string; bytes: Buffer; status: number }[] = [
        { name: "bytes that are no request", bytes: Buffer.from("no request\r\n\r\n"), status: 400 },
        { name: "a header section over the limit", bytes: requestOf("r-2", "served", `X: ${"x".repeat(20_000)}\r\n`), status: 431 },
        { name: "a body with an invalid chunk", bytes: requestOf("r-2", "served", "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "POST"), status: 400 },
    ];
    for (const { name, bytes, status } of invalidInputs) {
        for (const [treatment, body] of [["late", expectedBody("r-1", "/a/x", noBody)], ["streamed", streamedBody]] as const) {
            it(`is answered after the proper request before it, not in its place: ${name} (${treatment})`, async () => {
                await client.write(requestOf("r-1", treatment));
                await client.write(bytes);
                expect(await client.readAnswer()).to.include({ status: 200, body });
                expect((await client.readAnswer()).status).to.equal(status);
                expect((await client.readAnswer()).status).to.equal(0);
                expect(listener.denials.map((denial) => denial.status)).to.deep.equal([status]);
            });
        }
    }

    it("is answered after the proper request before it: a header section that does not arrive in time", async () => {
        await client.write(requestOf("r-1", "very-late"));
        await client.write(requestOf("r-2", "served").subarray(0, 30));
        expect(await client.readAnswer()).to.include({ status: 200, body: expectedBody("r-1", "/a/x", noBody) });
        expect((await client.readAnswer()).status).to.equal(408);
    });

    it("ends a response that has begun to the same request, whose body it belongs to", async () => {
        await client.write(requestOf("r-1", "answered-early", "Transfer-Encoding: chunked\r\n", "POST"));
        await client.write(Buffer.from(`11170\r\n${"b".repeat(70_000)}\r\n`));
        expect(await client.readAnswer()).to.include({ status: 200, body: "r-1 early" });
        await client.write(Buffer.from("zz\r\n"));
        expect((await client.readAnswer()).status).to.equal(0);
    });

    it("does not keep a request pending whose client leaves while the denial waits for its answer", async () => {
        await client.write(requestOf("r-1", "never"), Buffer.from("GET /a"));
        while (listener.denials.length === 0) {
            await sleep(20);
        }
        expect(listener.clients.pending()).to.equal(1);
        client.socket.end();
        expect((await client.readAnswer()).status).to.equal(0);
        await sleep(50);
        expect(listener.clients.pending()).to.equal(0);
    });

    it("does not leave the connection open after the client has ended its side", async () => {
        await client.write(requestOf("r-1", "late"), Buffer.from("GET /a"));
        client.socket.end();
        const { status } = await client.readAnswer();
        expect(status).to.be.oneOf([200, 0]);
        expect((await client.readAnswer()).status).to.equal(0);
    });
});
