/**
 * Strict incremental parser for HTTP/1.1 responses. An ambiguous or truncated response is an error and is never reported as a
 * complete, shorter one. Consecutive responses on a connection are reported one after another.
 */
import { ByteInput } from "./byteInput.js";
import type { ResponseHead, StatedHead, StatusLine } from "./responseHead.js";
import { framingOf, parseHeaderLine, parseStatusLine, ResponseSyntaxError } from "./responseHead.js";

/** Callbacks for the parts of a response. */
export interface ResponseEvents {
    /** Tells whether a response has no body, whatever its head says; called before `onHead`. */
    isBodiless(head: StatedHead): boolean;
    onHead(head: ResponseHead): void;
    /** A piece of the body: the bytes of `input` from `start` to `end`, which are valid during the call only. */
    onBody(input: Buffer, start: number, end: number): void;
    onEnd(): void;
}

const maxHeadBytes = 65_536;
const maxInterimResponses = 16;
const maxTrailers = 100;
const maxChunkLineBytes = 256;
const headEnd = Buffer.from("\r\n\r\n");
const lineEnd = Buffer.from("\r\n");
const carriageReturn = 0x0d;
const lineFeed = 0x0a;
const maxChunkSizeDigits = 8;
const chunkLine = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;

const switchingProtocols = 101;

type State = "head" | "sized" | "chunk-line" | "chunk" | "chunk-end" | "trailers" | "until-close";

/** Parses the responses on one connection. */
export class ResponseParser {
    private state: State = "head";
    private readonly input = new ByteInput();
    private remainingBodyBytes = 0;
    private interimCount = 0;
    private trailerCount = 0;

    /** @param events called for each part of a response */
    constructor(private readonly events: ResponseEvents) {}

    /** True unless a response has been received only in part. */
    get isBetweenResponses(): boolean {
        return this.state === "head" && !this.input.isWithinText && this.input.unreadBytes === 0;
    }

    /** True within a body whose end is marked by the end of the connection. */
    get endsWithConnection(): boolean {
        return this.state === "until-close";
    }

    /**
     * Parses received bytes, which may be overwritten afterwards.
     * @throws ResponseSyntaxError if the response violates the protocol or exceeds a limit
     */
    push(bytes: Buffer): void {
        this.input.push(bytes);
        while (this.input.unreadBytes > 0) {
            stepByState[this.state](this);
        }
    }

    /**
     * Handles the end of the connection.
     * @throws ResponseSyntaxError if the last response is truncated
     */
    end(): void {
        if (this.state === "until-close") {
            this.state = "head";
            this.events.onEnd();
            return;
        }
        if (!this.isBetweenResponses) {
            throw new ResponseSyntaxError("truncated response: connection ended before the end of the response");
        }
    }

    /** Parses the head once it has arrived completely. */
    readHead(): void {
        const head = this.input.takeUntil(headEnd, maxHeadBytes, "response head");
        if (head === undefined) {
            return;
        }
        const [firstLine = "", ...headerLines] = head.split("\r\n");
        this.startResponse(parseStatusLine(firstLine), headerLines.flatMap(parseHeaderLine));
    }

    private startResponse({ code, reasonPhrase, isHttp11 }: StatusLine, rawHeaders: string[]): void {
        if (code === switchingProtocols) {
            throw new ResponseSyntaxError("target switched to another protocol, which no request asks for");
        }
        if (code < 200) {
            this.interimCount += 1;
            if (this.interimCount > maxInterimResponses) {
                throw new ResponseSyntaxError("too many interim responses");
            }
            return;
        }
        this.interimCount = 0;
        this.trailerCount = 0;
        const framing = framingOf(rawHeaders, isHttp11);
        const hasNoBody = this.events.isBodiless({ status: code, rawHeaders }) || code === 204 || code === 304 || framing.lengthBytes === 0;
        const endsAtClose = !hasNoBody && framing.lengthBytes === undefined && !framing.chunked;
        this.events.onHead({ status: code, reasonPhrase, rawHeaders, persistent: framing.persistent && !endsAtClose });
        if (hasNoBody) {
            this.events.onEnd();
            return;
        }
        this.remainingBodyBytes = framing.lengthBytes ?? 0;
        this.state = framing.chunked ? "chunk-line" : endsAtClose ? "until-close" : "sized";
    }

    /** Reports body bytes up to the end of the body or of the current chunk, then switches to state `next`. */
    readBody(next: State): void {
        this.reportBody(Math.min(this.remainingBodyBytes, this.input.unreadBytes));
        if (this.remainingBodyBytes === 0) {
            this.state = next;
            if (next === "head") {
                this.events.onEnd();
            }
        }
    }

    /** Reports all received bytes as body; the body ends with the connection. */
    readUntilClose(): void {
        this.reportBody(this.input.unreadBytes);
    }

    private reportBody(byteCount: number): void {
        const { bytes, position } = this.input;
        this.input.position += byteCount;
        this.remainingBodyBytes -= byteCount;
        this.events.onBody(bytes, position, position + byteCount);
    }

    /** Parses the line with the size of a chunk. */
    readChunkLine(): void {
        const sizeBytes = this.takePlainChunkLine() ?? this.takeChunkLine();
        if (sizeBytes === undefined) {
            return;
        }
        this.remainingBodyBytes = sizeBytes;
        this.state = sizeBytes === 0 ? "trailers" : "chunk";
    }

    /** Takes a line that has arrived in one piece and holds nothing but a size, without a string for it: there may be one for each byte. */
    private takePlainChunkLine(): number | undefined {
        if (this.input.isWithinText) {
            return undefined;
        }
        const { bytes, position } = this.input;
        let sizeBytes = 0;
        let end = position;
        while (end - position < maxChunkSizeDigits) {
            const digit = hexDigitOf(bytes[end]);
            if (digit === undefined) {
                break;
            }
            sizeBytes = 16 * sizeBytes + digit;
            end += 1;
        }
        if (end === position || !this.skipLineEnd(end)) {
            return undefined;
        }
        return sizeBytes;
    }

    private takeChunkLine(): number | undefined {
        const line = this.takeLine();
        if (line === undefined) {
            return undefined;
        }
        const match = chunkLine.exec(line);
        if (!match) {
            throw new ResponseSyntaxError("malformed chunk size");
        }
        return parseInt(match[1] as string, 16);
    }

    /** Skips the line end after a chunk. */
    readChunkEnd(): void {
        if (!this.input.isWithinText && this.skipLineEnd(this.input.position)) {
            this.state = "chunk-line";
            return;
        }
        const line = this.takeLine();
        if (line === undefined) {
            return;
        }
        if (line !== "") {
            throw new ResponseSyntaxError("chunk is longer than its declared size");
        }
        this.state = "chunk-line";
    }

    /** Moves behind a line end that has arrived at `position`; returns false if there is none. */
    private skipLineEnd(position: number): boolean {
        const { bytes } = this.input;
        if (bytes[position] !== carriageReturn || bytes[position + 1] !== lineFeed) {
            return false;
        }
        this.input.position = position + lineEnd.length;
        return true;
    }

    /** Skips the trailers up to the empty line that ends the response. */
    readTrailers(): void {
        const line = this.takeLine();
        if (line === undefined) {
            return;
        }
        if (line === "") {
            this.state = "head";
            this.events.onEnd();
            return;
        }
        parseHeaderLine(line);
        this.trailerCount += 1;
        if (this.trailerCount > maxTrailers) {
            throw new ResponseSyntaxError("too many trailers");
        }
    }

    private takeLine(): string | undefined {
        return this.input.takeUntil(lineEnd, maxChunkLineBytes, "chunk size line or trailer");
    }
}

const stepByState: Record<State, (parser: ResponseParser) => void> = {
    "head": (parser) => {
        parser.readHead();
    },
    "sized": (parser) => {
        parser.readBody("head");
    },
    "chunk-line": (parser) => {
        parser.readChunkLine();
    },
    "chunk": (parser) => {
        parser.readBody("chunk-end");
    },
    "chunk-end": (parser) => {
        parser.readChunkEnd();
    },
    "trailers": (parser) => {
        parser.readTrailers();
    },
    "until-close": (parser) => {
        parser.readUntilClose();
    },
};

/** Returns the value of a hexadecimal digit; undefined for any other character code, and past the end of the bytes. */
function hexDigitOf(code: number | undefined): number | undefined {
    if (code === undefined) {
        return undefined;
    }
    if (code >= 0x30 && code <= 0x39) {
        return code - 0x30;
    }
    const lowerCase = code | 0x20;
    return lowerCase >= 0x61 && lowerCase <= 0x66 ? lowerCase - 0x57 : undefined;
}
