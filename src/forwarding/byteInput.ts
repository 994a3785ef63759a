/** Bytes that arrive in pieces, and texts in them that end with a marker. However small the pieces are, the work is linear in the bytes. */
import { ResponseSyntaxError } from "./responseHead.js";

const nothing = Buffer.alloc(0);

/** Least memory that is taken to keep the beginning of a text. */
const minKeptBytes = 256;

/** Reads received bytes from front to back. */
export class ByteInput {
    /** The bytes received last, valid until the next `push`. */
    bytes: Buffer = nothing;
    /** Position of the next byte in `bytes`. */
    position = 0;
    /** The beginning of a text whose marker has not arrived. */
    private kept: Buffer = nothing;
    private keptBytes = 0;

    /** Number of bytes after `position`. */
    get unreadBytes(): number {
        return this.bytes.length - this.position;
    }

    /** True while the beginning of a text is kept. */
    get isWithinText(): boolean {
        return this.keptBytes > 0;
    }

    /** Continues with further bytes; those before must have been read. */
    push(bytes: Buffer): void {
        this.bytes = bytes;
        this.position = 0;
    }

    /**
     * Takes the text up to a marker, and skips the marker.
     * @param marker marks the end of the text
     * @param maxBytes longest text
     * @param what names the text in the error
     * @returns the text, or undefined if the marker has not arrived
     * @throws ResponseSyntaxError if the text is longer
     */
    takeUntil(marker: Buffer, maxBytes: number, what: string): string | undefined {
        const earlierBytes = this.keptBytes;
        const mostBytes = maxBytes + marker.length;
        const added = this.bytes.subarray(this.position, this.position + mostBytes - earlierBytes);
        const received = earlierBytes === 0 ? added : this.keep(added, mostBytes);
        const end = received.indexOf(marker, Math.max(0, earlierBytes - marker.length + 1));
        if (end >= 0) {
            this.position += end + marker.length - earlierBytes;
            this.kept = nothing;
            this.keptBytes = 0;
            return received.toString("latin1", 0, end);
        }
        if (received.length >= mostBytes) {
            throw new ResponseSyntaxError(`${what} exceeds the size limit`);
        }
        if (earlierBytes === 0) {
            this.keep(added, mostBytes);
        }
        this.position += added.length;
        return undefined;
    }

    /** Adds bytes to the kept beginning of a text, and returns all of it. Memory doubles as it grows, so that few copies are made. */
    private keep(added: Buffer, mostBytes: number): Buffer {
        const neededBytes = this.keptBytes + added.length;
        if (neededBytes > this.kept.length) {
            const grown = Buffer.allocUnsafe(Math.min(mostBytes, Math.max(minKeptBytes, 2 * neededBytes)));
            this.kept.copy(grown, 0, 0, this.keptBytes);
            this.kept = grown;
        }
        added.copy(this.kept, this.keptBytes);
        this.keptBytes = neededBytes;
        return this.kept.subarray(0, neededBytes);
    }
}
