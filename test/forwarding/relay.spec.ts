import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { get, RelayUnderTest } from "./relayUnderTest.js";

const largeBytes = 3_000_000;

describe("a connection that another host relays", () => {
    let under: RelayUnderTest;

    beforeEach(() => {
        under = new RelayUnderTest();
    });

    afterEach(() => {
        under.stop();
    });

    it("carries large bodies in both directions, and several requests", async () => {
        let received = 0;
        await under.start((socket) => socket.on("data", (bytes: Buffer) => {
            received += bytes.length;
            if (received % largeBytes < 1_000 && received >= largeBytes) {
                received = 0;
                socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${String(largeBytes)}\r\n\r\n`);
                socket.write(Buffer.alloc(largeBytes, "x"));
            }
        }));
        const connection = await under.connect();
        expect(connection.relay).to.equal("helper");
        for (let count = 0; count < 3; count++) {
            expect(await get(connection, Buffer.alloc(largeBytes, "y"))).to.deep.equal({ status: 200, bytes: largeBytes });
        }
        expect(under.relay.openCount()).to.equal(1);
    });

    // Guards against bytes of another connection, or of another part, in memory that is used again.
    it("carries bodies as they were sent, on several connections at a time", async () => {
        const bodyOf = (name: string) => Buffer.from(Array.from({ length: largeBytes / 10 }, (_, index) => `${name}${String(index)} `.padEnd(10)).join(""));
        await under.start((socket) => socket.on("data", (request: Buffer) => {
            const name = /^POST \/(\w)/.exec(request.toString())?.[1];
            if (name !== undefined) {
                socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${String(bodyOf(name).length)}\r\n\r\n`);
                socket.write(bodyOf(name));
            }
        }));
        const areSame = await Promise.all(["a", "b", "c"].map(async (name) => {
            const exchange = (await under.connect()).start({
                method: "POST", head: `POST /${name} HTTP/1.1\r\n\r\n`, body: undefined, hasMore: false,
                requestId: undefined, idempotent: false, matchOf: () => "named",
            });
            await exchange.head();
            const pieces: Buffer[] = [];
            for (let piece = await exchange.read(); piece.isOk() && piece.value !== undefined; piece = await exchange.read()) {
                pieces.push(Buffer.from(piece.value));
                await sleep(1);
            }
            return Buffer.concat(pieces).equals(bodyOf(name));
        }));
        expect(areSame).to.deep.equal([true, true, true]);
    });

    it("passes an answer without a length on as whole only if the target ends it orderly", async () => {
        await under.start((socket) => socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\n\r\nab");
            socket.end();
        }));
        expect(await get(await under.connect())).to.deep.equal({ status: 200, bytes: 2 });
    });

    it("passes the reset of an answer without a length on as a failure", async () => {
        await under.start((socket) => socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\n\r\nab", () => socket.resetAndDestroy());
        }));
        expect(await get(await under.connect())).to.be.a("string");
    });

    it("ends at the target when the host that asked for it closes it", async () => {
        await under.start(() => undefined);
        const connection = await under.connect();
        while (under.sockets.length === 0) {
            await sleep(5);
        }
        const closed = once(under.sockets[0]!, "end");
        under.sockets[0]!.resume();
        connection.destroy();
        await closed;
        under.sockets[0]!.end();
        await connection.closed;
        await sleep(20);
        expect(under.relay.openCount()).to.equal(0);
    });

    it("leads to the target's address as the helper knows it, whatever the other host names", async () => {
        await under.start((socket) => socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        expect(await get(await under.connect("127.0.0.1:9"))).to.deep.equal({ status: 200, bytes: 0 });
    });

    for (const state of ["isHelperCutOff", "isHelperStopping"] as const) {
        it(`is refused by a helper that can't give it (${state})`, async () => {
            await under.start(() => undefined);
            under[state] = true;
            expect(await under.connect().then(() => "connected", String)).to.match(/cut-off|stopping/);
            expect(under.failures).to.deep.equal(["helper"]);
            expect(under.sockets).to.have.length(0);
        });
    }

    it("is refused, without harm to the process, for what is no target", async () => {
        await under.start(() => undefined);
        const handle = under.relay.handlers()["relay"] as unknown as (params: object, from: object) => Promise<object>;
        expect(await handle({ targetId: "t-unknown" }, { address: "peer" })).to.deep.equal({ refused: "unknown-target" });
        for (const params of [{}, { targetId: 7 }, { targetId: ["t-1"] }]) {
            expect(await handle(params, { address: "peer" }).then(() => "accepted", String)).to.include("targetId");
        }
        expect(under.relay.openCount()).to.equal(0);
    });
});
