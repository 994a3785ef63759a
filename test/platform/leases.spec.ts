import { once } from "node:events";
import net from "node:net";
import { expect } from "chai";
import { createLeases } from "../../platform/leases.js";
import { startServer } from "../../platform/standins/serverStandIn.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { Address, Fence, KeyRange, TargetId } from "../../src/model/names.js";
import type { Grant } from "../../src/ownership/leasePort.js";

const options = {
    host: "127.0.0.1", port: 0, zone: "a", slots: 2, workMs: 1, heartbeatMs: 1_000, random: () => 0.5, clock: createSystemClock(),
    directory: { put: () => undefined },
};

const grant: Grant = { range: { from: 0, to: 9 } as KeyRange, fence: 1 as Fence, holdMs: 1_000, handover: undefined };

/** Grants keys to a target at an address where another one may listen by now. */
async function grantAt(targetId: string, server: { id: string; sharded: boolean }): Promise<string> {
    const standIn = await startServer({ ...options, service: "s", ...server });
    try {
        const session = (await createLeases(() => undefined).open(targetId as TargetId, standIn.address as Address))._unsafeUnwrap();
        const reply = await session.grant(grant, 1_000);
        session.reset();
        return reply._unsafeUnwrap();
    }
    finally {
        await standIn.crash();
    }
}

describe("grants at an address that is used again", () => {
    it("are taken by the target that was meant", async () => {
        expect(await grantAt("k1", { id: "k1", sharded: true })).to.equal("granted");
    });

    it("show another target of a service with keys", async () => {
        expect(await grantAt("k1", { id: "k2", sharded: true })).to.equal("other-target");
    });

    it("show a target of a service without keys, which takes the grant for a request without an id", async () => {
        expect(await grantAt("k1", { id: "p1", sharded: false })).to.equal("other-target");
    });

    it("are given up in time when the answer does not end", async () => {
        const server = net.createServer((socket) => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
                const more = setInterval(() => {
                    socket.write("4\r\nabcd\r\n");
                }, 1);
                socket.on("close", () => {
                    clearInterval(more);
                });
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${String((server.address() as net.AddressInfo).port)}` as Address;
        const session = (await createLeases(() => undefined).open("k1" as TargetId, address))._unsafeUnwrap();
        const reply = await session.grant(grant, 200);
        expect(reply._unsafeUnwrapErr().kind).to.equal("lost");
        server.close();
    });
});
