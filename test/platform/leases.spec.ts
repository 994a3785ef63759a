import { once } from "node:events";
import net from "node:net";
import { expect } from "chai";
import { createLeasePort } from "../../platform/leases.js";
import { startServer } from "../../platform/standins/serverStandIn.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { Address, FencingToken, KeyRange, TargetId } from "../../src/model/names.js";
import type { Grant } from "../../src/ownership/leasePort.js";

const options = {
    host: "127.0.0.1", port: 0, zone: "a", slots: 2, workMs: 1, heartbeatMs: 1_000, random: () => 0.5, clock: createSystemClock(),
    directory: { put: () => undefined },
};

const grant: Grant = { range: { from: 0, to: 9 } as KeyRange, fence: 1 as FencingToken, holdMs: 1_000, handover: undefined };

/** Grants keys to a target at an address where another target may be listening, and returns the reply. */
async function grantAt(targetId: string, server: { id: string; sharded: boolean }): Promise<string> {
    const standIn = await startServer({ ...options, service: "s", ...server });
    try {
        const session = (await createLeasePort(ignoreCalls).open(targetId as TargetId, standIn.address as Address))._unsafeUnwrap();
        const reply = await session.grant(grant, 1_000);
        session.reset();
        return reply._unsafeUnwrap();
    }
    finally {
        await standIn.crash();
    }
}

const ignoreCalls = { onConnected: () => undefined, onCall: () => undefined };

describe("grants and releases", () => {
    for (const status of ["000", "099", "600", "999"]) {
        // Guards against a lease that counts as granted, released or rejected by an answer of a server in trouble.
        it(`are lost if they are answered with the status ${status}`, async () => {
            const server = net.createServer((socket) => {
                socket.on("error", () => undefined);
                socket.on("data", () => socket.write(`HTTP/1.1 ${status} Some\r\nContent-Length: 0\r\n\r\n`));
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const address = `127.0.0.1:${String((server.address() as net.AddressInfo).port)}` as Address;
            const open = async () => (await createLeasePort(ignoreCalls).open("k1" as TargetId, address))._unsafeUnwrap();
            expect((await (await open()).grant(grant, 200))._unsafeUnwrapErr().kind).to.equal("lost");
            expect((await (await open()).release(grant.range, grant.fence, 200))._unsafeUnwrapErr().kind).to.equal("lost");
            server.close();
        });
    }
});

describe("grants at a reused address", () => {
    it("are accepted by the intended target", async () => {
        expect(await grantAt("k1", { id: "k1", sharded: true })).to.equal("granted");
    });

    it("detect another target of a sharded service", async () => {
        expect(await grantAt("k1", { id: "k2", sharded: true })).to.equal("other-target");
    });

    it("detect a target of an unsharded service, which treats the grant as a request without an id", async () => {
        expect(await grantAt("k1", { id: "p1", sharded: false })).to.equal("other-target");
    });

    it("time out when the answer's body never ends", async () => {
        const server = net.createServer((socket) => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
                const bodyTimer = setInterval(() => {
                    socket.write("4\r\nabcd\r\n");
                }, 1);
                socket.on("close", () => {
                    clearInterval(bodyTimer);
                });
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${String((server.address() as net.AddressInfo).port)}` as Address;
        const session = (await createLeasePort(ignoreCalls).open("k1" as TargetId, address))._unsafeUnwrap();
        const reply = await session.grant(grant, 200);
        expect(reply._unsafeUnwrapErr().kind).to.equal("lost");
        server.close();
    });
});
