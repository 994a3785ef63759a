import { expect } from "chai";
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { limits, startListener } from "./listenerUnderTest.js";

function requestOf(id: string, headerBytes: number): Buffer {
    return Buffer.from(`GET /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${id}\r\nX: ${"x".repeat(headerBytes)}\r\n\r\n`);
}

const raised = { ...limits, maxHeaderBytes: 4 * limits.maxHeaderBytes };

describe("limits that change while a connection is open", () => {
    let listener: ListenerUnderTest;
    let client: RawClient;

    async function start(initial: typeof limits | "none"): Promise<void> {
        listener = await startListener(initial);
        client = await RawClient.connect(listener.port);
    }

    afterEach(() => {
        client.socket.destroy();
        listener.clients.close();
    });

    it("do not blame a request that the new limit allows: it may come again, on another connection", async () => {
        await start(limits);
        await client.write(requestOf("r-1", 10));
        expect((await client.readAnswer()).status).to.equal(200);
        listener.clients.setLimits(raised);
        await client.write(requestOf("r-2", raised.maxHeaderBytes - 200));
        const answer = await client.readAnswer();
        expect(answer.status).to.equal(503);
        expect(answer.headers["connection"]).to.equal("close");
        expect(Number(answer.headers["retry-after"])).to.be.within(0, 1);
        expect(listener.denials[0]).to.include({ reason: "limit-raised", maxHeaderBytes: raised.maxHeaderBytes });
        const other = await RawClient.connect(listener.port);
        await other.write(requestOf("r-2", raised.maxHeaderBytes - 200));
        expect((await other.readAnswer()).status).to.equal(200);
        other.socket.destroy();
        expect(listener.servedIds).to.deep.equal(["r-1", "r-2"]);
    });

    it("do not blame a request that arrives before the first configuration", async () => {
        await start("none");
        await client.write(requestOf("r-1", 60_000));
        expect((await client.readAnswer()).status).to.equal(503);
    });

    it("do not blame a request while the host can't know that its limit is still in force", async () => {
        await start(limits);
        listener.areLimitsConfirmed = false;
        await client.write(requestOf("r-1", 60_000));
        const answer = await client.readAnswer();
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers["retry-after"])).to.be.above(0);
        expect(listener.denials.map(({ reason }) => reason)).to.deep.equal(["limits-unknown"]);
    });

    it("still deny a header section over the limit that was always in force, and over the new one", async () => {
        await start(limits);
        await client.write(requestOf("r-1", limits.maxHeaderBytes + 2_000));
        expect((await client.readAnswer()).status).to.equal(431);
        listener.clients.setLimits(raised);
        client = await RawClient.connect(listener.port);
        await client.write(requestOf("r-2", raised.maxHeaderBytes + 2_000));
        expect((await client.readAnswer()).status).to.equal(431);
    });
});
