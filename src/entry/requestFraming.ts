/**
 * Finds where requests end in the bytes of a connection, and bounds what a message costs in addition to its content. Chunked content that
 * arrives in many small chunks is joined. Does no I/O; the HTTP parser gets the bytes that this module returns, and judges all else.
 */

/** Why input is refused before the parser gets it. */
export type FramingError =
    /** Empty lines, zeros, chunk extensions or trailers beyond the limit. */
    | "excess-framing"
    /** Input that breaks the syntax of chunked content. */
    | "invalid-chunk";

/** How the body of a request is framed. */
export type BodyFraming = { kind: "length"; bytes: number } | { kind: "chunked" };

/** Overhead that is allowed for each byte of content, in addition to the fixed allowance; a chunk of one byte needs five. */
const overheadPerContentByte = 16;

/** Digits of a chunk size after leading zeros; more would exceed the integers that a number holds. */
const maxSizeDigits = 12;

/** So few bytes are moved one by one, which takes less time than a call. */
const fewBytes = 16;

const carriageReturn = 13;
const lineFeed = 10;
const tab = 9;
const space = 32;
const semicolon = 59;
const deleteCharacter = 127;
const digitZero = 48;
const digitNine = 57;
const lowerA = 97;
const lowerF = 102;
const lowerCaseBit = 32;

const headEnd = Buffer.from("\r\n\r\n");
const maxHeadEndPrefix = headEnd.length - 1;

/** States of a chunked body, in the order in which they follow each other. */
type ChunkState =
    | "size" | "extension" | "size-end" | "content" | "content-end" | "content-line-end"
    | "trailer-start" | "trailer" | "trailer-line-end" | "last-line-end" | "end";

/** Bytes taken from the input. */
export interface TakenInput {
    /** For the parser; empty if there are none. */
    bytes: Buffer;
    /** Number of bytes of the input that were used up. */
    usedBytes: number;
    /** True if the parser has got a complete header section with these bytes. */
    isHeadEnd: boolean;
    /** True if the parser has got a complete body with these bytes. */
    isBodyEnd: boolean;
}

/** Framing of one connection. */
export class RequestFraming {
    private state: "between" | "head" | "length" | "chunked" = "between";
    private remainingBytes = 0;
    private overheadBytes = 0;
    private contentBytes = 0;
    /** The last bytes of a header section whose end has not arrived. */
    private headTail = "";
    private chunkState: ChunkState = "size";
    private sizeDigits = 0;
    private hasSizeDigit = false;
    private joinedChunkCount = 0;

    /** @param maxOverheadBytes fixed allowance of a message for bytes that are neither header section nor content */
    constructor(private readonly maxOverheadBytes: number) {}

    /** True if no part of a request has arrived since the end of the last one. */
    get isBetweenRequests(): boolean {
        return this.state === "between";
    }

    /** True if a header section has begun to arrive and its end has not. */
    get isInHead(): boolean {
        return this.state === "head";
    }

    /** Number of chunk headers that the last call of `take` read. */
    get joinedChunks(): number {
        return this.joinedChunkCount;
    }

    /** States how the body is framed of the request whose header section has just ended; undefined if it has none. */
    startBody(framing: BodyFraming | undefined): void {
        this.overheadBytes = 0;
        this.contentBytes = 0;
        if (framing === undefined || (framing.kind === "length" && framing.bytes === 0)) {
            this.state = "between";
            return;
        }
        this.state = framing.kind;
        this.remainingBytes = framing.kind === "length" ? framing.bytes : 0;
        this.startChunk();
    }

    /**
     * Takes bytes from the front of the input, at most to the end of a header section or a body. Input of a chunked body is overwritten.
     * @param input bytes that have arrived, not empty
     */
    take(input: Buffer): TakenInput | FramingError {
        this.joinedChunkCount = 0;
        if (this.state === "between") {
            return this.skipEmptyLines(input);
        }
        if (this.isInHead) {
            return this.takeHead(input);
        }
        return this.state === "length" ? this.takeContent(input) : this.takeChunks(input);
    }

    private skipEmptyLines(input: Buffer): TakenInput | FramingError {
        let position = 0;
        while (position < input.length && (input[position] === carriageReturn || input[position] === lineFeed)) {
            position += 1;
        }
        this.overheadBytes += position;
        if (this.overheadBytes > this.maxOverheadBytes) {
            return "excess-framing";
        }
        if (position === input.length) {
            return { bytes: input.subarray(0, 0), usedBytes: position, isHeadEnd: false, isBodyEnd: false };
        }
        this.state = "head";
        this.headTail = "";
        if (position === 0) {
            return this.takeHead(input);
        }
        const taken = this.takeHead(input.subarray(position));
        return { ...taken, usedBytes: taken.usedBytes + position };
    }

    private takeHead(input: Buffer): TakenInput {
        const end = this.findHeadEnd(input);
        const isHeadEnd = end !== undefined;
        const usedBytes = end ?? input.length;
        if (!isHeadEnd) {
            this.headTail = `${this.headTail}${input.toString("latin1", Math.max(0, input.length - maxHeadEndPrefix))}`.slice(-maxHeadEndPrefix);
        }
        return { bytes: usedBytes === input.length ? input : input.subarray(0, usedBytes), usedBytes, isHeadEnd, isBodyEnd: false };
    }

    /** Returns the position after the empty line that ends the header section. */
    private findHeadEnd(input: Buffer): number | undefined {
        if (this.headTail !== "") {
            const joined = Buffer.from(this.headTail + input.toString("latin1", 0, maxHeadEndPrefix), "latin1");
            const position = joined.indexOf(headEnd);
            if (position >= 0) {
                return position + headEnd.length - this.headTail.length;
            }
        }
        const position = input.indexOf(headEnd);
        return position < 0 ? undefined : position + headEnd.length;
    }

    private takeContent(input: Buffer): TakenInput {
        const usedBytes = Math.min(input.length, this.remainingBytes);
        this.remainingBytes -= usedBytes;
        return {
            bytes: usedBytes === input.length ? input : input.subarray(0, usedBytes), usedBytes,
            isHeadEnd: false, isBodyEnd: this.endBodyIf(this.remainingBytes === 0),
        };
    }

    /** Moves the content of all chunks to the front of the input, and returns it as one chunk. */
    private takeChunks(input: Buffer): TakenInput | FramingError {
        let contentBytes = 0;
        let position = 0;
        let firstContent = 0;
        while (position < input.length && this.chunkState !== "end") {
            if (this.chunkState === "content") {
                const count = Math.min(this.remainingBytes, input.length - position);
                if (contentBytes === 0) {
                    // The content of the first chunk stays where it is, so that a large one is not copied.
                    firstContent = position;
                }
                else {
                    moveBytes(input, firstContent + contentBytes, position, count);
                }
                contentBytes += count;
                position += count;
                this.contentBytes += count;
                this.remainingBytes -= count;
                this.chunkState = this.remainingBytes === 0 ? "content-end" : "content";
                continue;
            }
            if (!this.readFramingByte(input[position] as number)) {
                return "invalid-chunk";
            }
            position += 1;
            this.overheadBytes += 1;
        }
        if (this.overheadBytes > this.maxOverheadBytes + overheadPerContentByte * this.contentBytes) {
            return "excess-framing";
        }
        const isBodyEnd = this.endBodyIf(this.chunkState === "end");
        const content = input.subarray(firstContent, firstContent + contentBytes);
        return { bytes: toChunk(content, isBodyEnd), usedBytes: position, isHeadEnd: false, isBodyEnd };
    }

    private endBodyIf(isEnd: boolean): boolean {
        if (isEnd) {
            this.state = "between";
            this.overheadBytes = 0;
        }
        return isEnd;
    }

    private startChunk(): void {
        this.chunkState = "size";
        this.sizeDigits = 0;
        this.hasSizeDigit = false;
    }

    /** Returns whether the byte is allowed where it is. */
    private readFramingByte(byte: number): boolean {
        switch (this.chunkState) {
            case "size":
                return this.readSizeByte(byte);
            case "extension":
                this.chunkState = byte === carriageReturn ? "size-end" : "extension";
                return byte === carriageReturn || isFieldByte(byte);
            case "size-end":
                this.chunkState = this.remainingBytes === 0 ? "trailer-start" : "content";
                this.joinedChunkCount += 1;
                return byte === lineFeed;
            case "content-end":
                this.chunkState = "content-line-end";
                return byte === carriageReturn;
            case "content-line-end":
                this.startChunk();
                return byte === lineFeed;
            case "trailer-start":
                this.chunkState = byte === carriageReturn ? "last-line-end" : "trailer";
                return byte === carriageReturn || (isFieldByte(byte) && byte !== space && byte !== tab);
            case "trailer":
                this.chunkState = byte === carriageReturn ? "trailer-line-end" : "trailer";
                return byte === carriageReturn || isFieldByte(byte);
            case "trailer-line-end":
                this.chunkState = "trailer-start";
                return byte === lineFeed;
            default:
                this.chunkState = "end";
                return byte === lineFeed;
        }
    }

    private readSizeByte(byte: number): boolean {
        const digit = hexDigitOf(byte);
        if (digit >= 0) {
            this.hasSizeDigit = true;
            this.remainingBytes = this.remainingBytes * 16 + digit;
            this.sizeDigits += this.remainingBytes === 0 ? 0 : 1;
            return this.sizeDigits <= maxSizeDigits;
        }
        this.chunkState = byte === carriageReturn ? "size-end" : "extension";
        return this.hasSizeDigit && (byte === carriageReturn || byte === semicolon || byte === space || byte === tab);
    }
}

/** Formats content as one chunk; at the end of the body, with the last chunk behind it. */
function toChunk(content: Buffer, isLast: boolean): Buffer {
    const end = isLast ? "0\r\n\r\n" : "";
    return content.length === 0
        ? Buffer.from(end)
        : Buffer.concat([Buffer.from(`${content.length.toString(16)}\r\n`), content, Buffer.from(`\r\n${end}`)]);
}

function moveBytes(bytes: Buffer, target: number, start: number, count: number): void {
    if (count > fewBytes) {
        bytes.copyWithin(target, start, start + count);
        return;
    }
    for (let index = 0; index < count; index++) {
        bytes[target + index] = bytes[start + index] as number;
    }
}

/** Returns -1 for a byte that is no hexadecimal digit. */
function hexDigitOf(byte: number): number {
    if (byte >= digitZero && byte <= digitNine) {
        return byte - digitZero;
    }
    const lower = byte | lowerCaseBit;
    return lower >= lowerA && lower <= lowerF ? lower - lowerA + 10 : -1;
}

/** Tells whether a byte may stand in the value of a field. */
function isFieldByte(byte: number): boolean {
    return byte === tab || (byte >= space && byte !== deleteCharacter);
}
