import { expect } from "chai";
import fc from "fast-check";
import { ByteBuffer } from "../../src/model/byteBuffer.js";

function append(buffer: ByteBuffer, bytes: Buffer): void {
    buffer.append(bytes, 0, bytes.length);
}

describe("buffer of received bytes", () => {
    it("returns the bytes in their order, wherever they are split and taken", () => {
        fc.assert(fc.property(fc.array(fc.record({ count: fc.nat(70_000), takes: fc.nat(3) }), { maxLength: 12 }), (steps) => {
            const buffer = new ByteBuffer();
            const taken: Buffer[] = [];
            let sentBytes = 0;
            const next = (count: number) => Buffer.from(Array.from({ length: count }, () => {
                sentBytes += 1;
                return sentBytes % 251;
            }));
            const sent = steps.map(({ count, takes }) => {
                const bytes = next(count);
                append(buffer, bytes);
                for (let index = 0; index < takes; index++) {
                    taken.push(Buffer.from(buffer.take() ?? []));
                }
                return bytes;
            });
            taken.push(buffer.takeAll());
            expect(buffer.byteCount).to.equal(0);
            expect(Buffer.concat(taken).equals(Buffer.concat(sent))).to.equal(true);
        }), { numRuns: 50 });
    });

    // Guards against a step, and an entry in a list, for each byte of a body (review/3).
    it("joins small pieces", () => {
        const buffer = new ByteBuffer();
        for (let index = 0; index < 100_000; index++) {
            append(buffer, Buffer.from("x"));
        }
        let pieceCount = 0;
        while (buffer.take() !== undefined) {
            pieceCount += 1;
        }
        expect(pieceCount).to.be.below(12);
    });

    // Guards against memory that grows with the bytes that pass through (report on endless bytes).
    it("uses the same memory again for bytes without end", () => {
        const buffer = new ByteBuffer();
        const memories = new Set<ArrayBufferLike>();
        for (let index = 0; index < 1_000; index++) {
            append(buffer, Buffer.alloc(65_536));
            memories.add(buffer.take()!.buffer);
        }
        expect(memories.size).to.be.at.most(2);
    });
});
