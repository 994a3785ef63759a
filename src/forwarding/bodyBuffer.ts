/** Bytes of a response body that have arrived and were not read yet. They are joined, however small the pieces in which they arrive. */

const minBlockBytes = 512;
const maxBlockBytes = 65_536;

interface Block {
    bytes: Buffer;
    filledBytes: number;
}

/** Buffers a body in blocks that are filled one after the other. */
export class BodyBuffer {
    private blocks: Block[] = [];
    private unreadBytes = 0;

    /** Number of bytes that were not taken yet. */
    get byteCount(): number {
        return this.unreadBytes;
    }

    /** Copies the bytes from `start` to `end`. */
    append(input: Buffer, start: number, end: number): void {
        for (let position = start; position < end;) {
            const block = this.blockWithRoom(end - position);
            const copiedBytes = copyBytes(input, position, end, block);
            block.filledBytes += copiedBytes;
            position += copiedBytes;
        }
        this.unreadBytes += end - start;
    }

    /** Takes the oldest block out. */
    take(): Buffer | undefined {
        const block = this.blocks.shift();
        if (block === undefined) {
            return undefined;
        }
        this.unreadBytes -= block.filledBytes;
        return block.bytes.subarray(0, block.filledBytes);
    }

    /** Takes all bytes out. */
    takeAll(): Buffer {
        const all = this.blocks.map(({ bytes, filledBytes }) => bytes.subarray(0, filledBytes));
        this.blocks = [];
        this.unreadBytes = 0;
        return all.length === 1 ? all[0] as Buffer : Buffer.concat(all);
    }

    /** Returns the last block; if it is full, a new one, larger than the last for a body that arrives in many pieces. */
    private blockWithRoom(wantedBytes: number): Block {
        const last = this.blocks.at(-1);
        if (last !== undefined && last.filledBytes < last.bytes.length) {
            return last;
        }
        const sizeBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, wantedBytes, 2 * (last?.bytes.length ?? 0)));
        const block = { bytes: Buffer.allocUnsafe(sizeBytes), filledBytes: 0 };
        this.blocks.push(block);
        return block;
    }
}

/** So few bytes are copied one by one, which takes less time than a call of `Buffer.copy`. */
const fewBytes = 16;

/** Copies as many bytes as the block has room for, and returns their number. */
function copyBytes(input: Buffer, start: number, end: number, { bytes, filledBytes }: Block): number {
    const count = Math.min(end - start, bytes.length - filledBytes);
    if (count > fewBytes) {
        return input.copy(bytes, filledBytes, start, start + count);
    }
    for (let index = 0; index < count; index++) {
        bytes[filledBytes + index] = input[start + index] as number;
    }
    return count;
}
