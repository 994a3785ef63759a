/** Bytes that have arrived and were not taken yet. They are joined, however small the pieces in which they arrive. */

const minBlockBytes = 512;
const maxBlockBytes = 65_536;

/** Blocks of the largest size that are kept to be filled again. */
const maxSpareBlocks = 4;

interface Block {
    bytes: Buffer;
    filledBytes: number;
}

/**
 * Buffers bytes in blocks that are filled one after the other. Blocks of the largest size are filled again, so that the memory used does
 * not grow with the number of bytes that pass through.
 */
export class ByteBuffer {
    private blocks: Block[] = [];
    private spare: Buffer[] = [];
    private taken: Buffer | undefined;
    private heldBytes = 0;

    /** Number of bytes that were not taken yet. */
    get byteCount(): number {
        return this.heldBytes;
    }

    /** Copies the bytes from `start` to `end`. */
    append(input: Buffer, start: number, end: number): void {
        for (let position = start; position < end;) {
            const block = this.blockWithRoom(end - position);
            const copiedBytes = copyBytes(input, position, end, block);
            block.filledBytes += copiedBytes;
            position += copiedBytes;
        }
        this.heldBytes += end - start;
    }

    /** Takes the oldest block out; it is valid until the next call. */
    take(): Buffer | undefined {
        this.reuse(this.taken);
        const block = this.blocks.shift();
        this.taken = block?.bytes;
        if (block === undefined) {
            return undefined;
        }
        this.heldBytes -= block.filledBytes;
        return block.bytes.subarray(0, block.filledBytes);
    }

    /** Takes all bytes out. They stay valid. */
    takeAll(): Buffer {
        const all = this.blocks.map(({ bytes, filledBytes }) => bytes.subarray(0, filledBytes));
        this.blocks = [];
        this.heldBytes = 0;
        return all.length === 1 ? all[0] as Buffer : Buffer.concat(all);
    }

    private reuse(block: Buffer | undefined): void {
        if (block?.length === maxBlockBytes && this.spare.length < maxSpareBlocks) {
            this.spare.push(block);
        }
    }

    /** Returns the last block; if it is full, a new one, larger than the last for bytes that arrive in many pieces. */
    private blockWithRoom(wantedBytes: number): Block {
        const last = this.blocks.at(-1);
        if (last !== undefined && last.filledBytes < last.bytes.length) {
            return last;
        }
        const sizeBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, wantedBytes, 2 * (last?.bytes.length ?? 0)));
        const bytes = (sizeBytes === maxBlockBytes ? this.spare.pop() : undefined) ?? Buffer.allocUnsafe(sizeBytes);
        const block = { bytes, filledBytes: 0 };
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
