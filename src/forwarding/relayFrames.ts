/**
 * Frames in which a relaying host passes on what a target sends. They tell the end of the target's data from the end of the relaying
 * process, which the kernel reports alike.
 */

/** What a frame carries. */
export const frameTypes = {
    /** Bytes of the target. */
    data: 0,
    /** The target has ended its data in order; the frame has no content. */
    end: 1,
    /** The relaying host is about to stop: no further request may be sent; the frame has no content. */
    stopping: 2,
} as const;

/** A byte for the type, and four for the length of the content. */
const headerBytes = 5;

/**
 * Builds the header of a frame.
 * @param type one of `frameTypes`
 * @param contentBytes length of the content that follows
 */
export function frameHeader(type: number, contentBytes: number): Buffer {
    const header = Buffer.allocUnsafe(headerBytes);
    header.writeUInt8(type, 0);
    header.writeUInt32BE(contentBytes, 1);
    return header;
}

/** Callbacks for the frames on one connection. */
export interface FrameEvents {
    /** A piece of the target's data, valid during the call only. */
    onData(bytes: Buffer): void;
    onEnd(): void;
    onStopping(): void;
}

/** Reads the frames on one connection. Frames of unknown types are skipped, since a later version may send them. */
export class RelayFrameReader {
    private readonly header = Buffer.alloc(headerBytes);
    private headerLength = 0;
    private type = 0;
    private contentLeft = 0;

    /** @param events called for each part of a frame */
    constructor(private readonly events: FrameEvents) {}

    /** Reads received bytes, which may be overwritten afterwards. */
    push(bytes: Buffer): void {
        let position = 0;
        while (position < bytes.length) {
            position += this.contentLeft > 0
                ? this.takeContent(bytes.subarray(position))
                : this.takeHeader(bytes.subarray(position));
        }
    }

    private takeContent(bytes: Buffer): number {
        const content = bytes.subarray(0, this.contentLeft);
        this.contentLeft -= content.length;
        if (this.type === frameTypes.data) {
            this.events.onData(content);
        }
        return content.length;
    }

    private takeHeader(bytes: Buffer): number {
        const copied = bytes.copy(this.header, this.headerLength, 0, headerBytes - this.headerLength);
        this.headerLength += copied;
        if (this.headerLength === headerBytes) {
            this.headerLength = 0;
            this.type = this.header.readUInt8(0);
            this.contentLeft = this.header.readUInt32BE(1);
            this.reportEmptyFrame();
        }
        return copied;
    }

    private reportEmptyFrame(): void {
        if (this.type === frameTypes.end) {
            this.events.onEnd();
        }
        else if (this.type === frameTypes.stopping) {
            this.events.onStopping();
        }
    }
}
