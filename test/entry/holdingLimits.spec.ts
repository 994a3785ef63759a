import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { RawClient } from "./listenerClient.js";
import type { HoldingLimits } from "../../src/entry/holdingEnforcement.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { expectedBody, limits, startListener, treatmentHeader } from "./listenerUnderTest.js";

const ids = (count: number) => Array.from({ length: count }, (_, index) => `r-${String(index)}`);

function requestOf(id: string, treatment: string, fields = "", method = "GET"): Buffer {
    return Buffer.from(`${method} /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${id}\r\n${treatmentHeader}: ${treatment}\r\n${fields}\r\n`);
}

describe("what clients make the listener hold", () => {
    let listener: ListenerUnderTest;
    let client: RawClient;

    const start = async (holding: Partial<HoldingLimits>) => {
        listener = await startListener(limits, holding);
        client = await RawClient.connect(listener.port);
    };

    afterEach(() => {
        client.socket.destroy();
        listener.clients.close();
    });

    // Guards against everything that a client has pipelined being parsed at once, and against requests lost while the socket is paused.
    it("is a few of the requests that a client pipelines, and each is answered in the end", async () => {
        await start({ maxPipelined: 3 });
        await client.write(Buffer.concat([requestOf("first", "very-late"), ...ids(500).map((id) => requestOf(id, "served"))]));
        await sleep(200);
        expect(listener.servedIds.length).to.equal(3);
        for (const id of ["first", ...ids(500)]) {
            expect(await client.readAnswer()).to.include({ status: 200, body: expectedBody(id, "/a/x", Buffer.alloc(0)) });
        }
    });

    it("is no request behind one that closes the connection", async () => {
        await start({});
        await client.write(Buffer.concat([requestOf("last", "late", "Connection: close\r\n"), requestOf("r-1", "served")]));
        expect((await client.readAnswer()).status).to.equal(200);
        expect((await client.readAnswer()).status).to.equal(0);
        expect([listener.servedIds, listener.denials]).to.deep.equal([["last"], []]);
    });

    it("is a body that makes no progress for one window only; its request is refused and has not run", async () => {
        await start({ stallMs: 500 });
        await client.write(requestOf("r-1", "served", "Content-Length: 100\r\n", "POST"), Buffer.from("x"));
        expect((await client.readAnswer()).status).to.equal(408);
        expect((await client.readAnswer()).status).to.equal(0);
        expect(listener.reachedLimits.map(({ limit }) => limit)).to.deep.equal(["body-stalled"]);
        await sleep(50);
        expect([listener.clients.pending(), listener.clients.heldBytes()]).to.deep.equal([0, 0]);
    });

    it("is no new request beyond the budget; it is refused with the time to retry", async () => {
        await start({ maxBytes: 4_000 });
        await client.write(requestOf("r-1", "served"));
        const { status, headers } = await client.readAnswer();
        expect([status, headers["retry-after"], listener.servedIds]).to.deep.equal([503, "1.000", []]);
        expect(listener.reachedLimits.map(({ limit, request }) => [limit, request])).to.deep.equal([["refused", "r-1"]]);
    });

    // Guards against requests that stay pending for good, which keeps a host from stopping: Node.js ends the first response only.
    it("is nothing once the client has left, also of requests whose responses were queued", async () => {
        await start({});
        await client.write(Buffer.concat(ids(5).map((id) => requestOf(id, "never"))));
        await sleep(100);
        expect(listener.clients.pending()).to.equal(5);
        client.socket.resetAndDestroy();
        await sleep(100);
        expect([listener.clients.pending(), listener.clients.heldBytes()]).to.deep.equal([0, 0]);
    });

    it("is no endless framing; it is denied by name", async () => {
        await start({ maxOverheadBytes: 1_000 });
        await client.write(requestOf("r-1", "served", "Transfer-Encoding: chunked\r\n", "POST"), Buffer.from("0".repeat(3_000)));
        expect((await client.readAnswer()).status).to.equal(400);
        expect(listener.denials.map(({ reason }) => reason)).to.deep.equal(["excess-framing"]);
    });

    it("is the connection in use longest, if there are too many", async () => {
        await start({ maxConnections: 1 });
        await client.write(requestOf("r-1", "served"));
        expect((await client.readAnswer()).status).to.equal(200);
        const other = await RawClient.connect(listener.port);
        await other.write(requestOf("r-2", "served"));
        expect((await other.readAnswer()).status).to.equal(200);
        expect((await client.readAnswer()).status).to.equal(0);
        other.socket.destroy();
    });
});
