import { once } from "node:events";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Packr } from "msgpackr";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { listenForPeers } from "../../src/cluster/peerConnection.js";
import { SeededRandom } from "../support/seededRandom.js";

const largeText = "abcdefgh".repeat(500_000);

/** Packs notifications of `note` as another host would send them. */
function framesOf(texts: readonly string[]): Buffer {
    const packr = new Packr({ sequential: true, useRecords: true });
    return Buffer.concat(texts.flatMap((text) => {
        const packed = Buffer.from(packr.pack({ jsonrpc: "2.0", method: "note", params: { text, bytes: Buffer.from(text.slice(0, 40)) } }));
        const length = Buffer.alloc(4);
        length.writeUInt32BE(packed.length);
        return [length, packed];
    }));
}

/** Sends bytes to a host in the given pieces, and returns the messages that it got. */
async function sendToHost(pieces: readonly Buffer[], expectedCount: number): Promise<{ text: string; bytes: Buffer }[]> {
    const received: { text: string; bytes: Buffer }[] = [];
    const server = (await listenForPeers("127.0.0.1:0", {
        note: (params: { text: string; bytes: Buffer }) => {
            received.push(params);
        },
    }, createSystemClock(), 0))._unsafeUnwrap();
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    socket.setNoDelay(true);
    await once(socket, "connect");
    for (const piece of pieces) {
        socket.write(piece);
        await sleep(0);
    }
    for (let waitedMs = 0; received.length < expectedCount && waitedMs < 2_000; waitedMs += 10) {
        await sleep(10);
    }
    socket.destroy();
    server.close();
    return received;
}

describe("messages from another host", () => {
    it("arrive whole and in their order, wherever their bytes are split", async () => {
        const random = new SeededRandom(49);
        const texts = Array.from({ length: 60 }, (_, index) => `message ${String(index)} ${"x".repeat(Math.floor(300 * random.uniform()))}`);
        const frames = framesOf(texts);
        const pieces: Buffer[] = [];
        for (let position = 0; position < frames.length;) {
            const end = position + 1 + Math.floor(200 * random.uniform());
            pieces.push(frames.subarray(position, end));
            position = end;
        }
        const received = await sendToHost(pieces, texts.length);
        expect(received.map(({ text }) => text)).to.deep.equal(texts);
        expect(received.map(({ bytes }) => bytes.toString())).to.deep.equal(texts.map((text) => text.slice(0, 40)));
    });

    it("arrive if they are large, between others", async () => {
        const texts = ["first", largeText, "last"];
        const received = await sendToHost([framesOf(texts)], texts.length);
        expect(received.map(({ text }) => text === largeText || text)).to.deep.equal(["first", true, "last"]);
    });

    it("close the connection if they state a length beyond the limit", async () => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(0xffffffff);
        expect(await sendToHost([framesOf(["first"]), length, framesOf(["unread"])], 2)).to.have.length(1);
    });
});
