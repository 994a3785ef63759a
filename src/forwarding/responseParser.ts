/**
 * Strict incremental parser for HTTP/1.1 responses. An ambiguous or truncated response is an error and is never reported as a
 * complete, shorter one. Consecutive responses on a connection are reported one after another.
 */
import type { ResponseHead, StatusLine } from "./responseHead.js";
import { framingOf, parseHeaderLine, parseStatusLine, ResponseSyntaxError } from "./responseHead.js";

/** Callbacks for the parts of a response. */
export interface ResponseEvents {
    onHead(head: ResponseHead): void;
    onBody(chunk: Buffer): void;
    onEnd(): void;
}

const maxHeadBytes = 65_536;
const maxInterimResponses = 16;
const maxTrailers = 100;
const maxChunkLineBytes = 256;
const headEnd = Buffer.from("\r\n\r\n");
const lineEnd = Buffer.from("\r\n");
const chunkLine = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;

const switchingProtocols = 101;

type State = "head" | "sized" | "chunk-line" | "chunk" | "chunk-end" | "trailers" | "until-close";

/** Parses the responses on one connection. */
export class ResponseParser {
    private state: State = "head";
    private pending: Buffer = Buffer.alloc(0);
    private remainingBodyBytes = 0;
    private bodiless = false;
    private interimCount = 0;
    private trailerCount = 0;

    /** @param events called for each part of a response */
    constructor(private readonly events: ResponseEvents) {}

    /** True unless a response has been received only in part. */
    get isBetweenResponses(): boolean {
        return this.state === "head" && this.pending.length === 0;
    }

    /** True within a body whose end is marked by the end of the connection. */
    get endsWithConnection(): boolean {
        return this.state === "until-close";
    }

    /**
     * Sets whether the next response has no body, whatever its headers say.
     * @param bodiless true for the response to a HEAD request
     */
    expectBodiless(bodiless: boolean): void {
        this.bodiless = bodiless;
    }

    /**
     * Parses received bytes.
     * @throws ResponseSyntaxError if the response violates the protocol or exceeds a limit
     */
    push(bytes: Buffer): void {
        this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
        while (this.pending.length > 0 && stepByState[this.state](this)) {
            // Each step consumes pending bytes, or returns false until more have arrived.
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
    readHead(): boolean {
        const end = this.pending.indexOf(headEnd);
        if (end < 0) {
            if (this.pending.length > maxHeadBytes) {
                throw new ResponseSyntaxError("response head exceeds the size limit");
            }
            return false;
        }
        const lines = this.consume(end + headEnd.length).toString("latin1", 0, end).split("\r\n");
        const status = parseStatusLine(lines[0] ?? "");
        this.startResponse(status, lines.slice(1).flatMap(parseHeaderLine));
        return true;
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
        const hasNoBody = this.bodiless || code === 204 || code === 304 || framing.lengthBytes === 0;
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
    readBody(next: State): boolean {
        const chunk = this.consume(Math.min(this.remainingBodyBytes, this.pending.length));
        this.remainingBodyBytes -= chunk.length;
        this.events.onBody(chunk);
        if (this.remainingBodyBytes === 0) {
            this.state = next;
            if (next === "head") {
                this.events.onEnd();
            }
        }
        return true;
    }

    /** Reports all pending bytes as body; the body ends with the connection. */
    readUntilClose(): boolean {
        this.events.onBody(this.consume(this.pending.length));
        return true;
    }

    /** Parses the line with the size of a chunk. */
    readChunkLine(): boolean {
        const line = this.consumeLine();
        if (line === undefined) {
            return false;
        }
        const match = chunkLine.exec(line);
        if (!match) {
            throw new ResponseSyntaxError("malformed chunk size");
        }
        this.remainingBodyBytes = parseInt(match[1] as string, 16);
        this.state = this.remainingBodyBytes === 0 ? "trailers" : "chunk";
        return true;
    }

    /** Skips the line end after a chunk. */
    readChunkEnd(): boolean {
        const line = this.consumeLine();
        if (line === undefined) {
            return false;
        }
        if (line !== "") {
            throw new ResponseSyntaxError("chunk is longer than its declared size");
        }
        this.state = "chunk-line";
        return true;
    }

    /** Skips the trailers up to the empty line that ends the response. */
    readTrailers(): boolean {
        const line = this.consumeLine();
        if (line === undefined) {
            return false;
        }
        if (line === "") {
            this.state = "head";
            this.events.onEnd();
            return true;
        }
        parseHeaderLine(line);
        this.trailerCount += 1;
        if (this.trailerCount > maxTrailers) {
            throw new ResponseSyntaxError("too many trailers");
        }
        return true;
    }

    private consumeLine(): string | undefined {
        const end = this.pending.indexOf(lineEnd);
        if (end < 0) {
            if (this.pending.length > maxChunkLineBytes) {
                throw new ResponseSyntaxError("chunk size line or trailer exceeds the length limit");
            }
            return undefined;
        }
        return this.consume(end + lineEnd.length).toString("latin1", 0, end);
    }

    private consume(length: number): Buffer {
        const consumed = this.pending.subarray(0, length);
        this.pending = this.pending.subarray(length);
        return consumed;
    }
}

const stepByState: Record<State, (parser: ResponseParser) => boolean> = {
    "head": (parser) => parser.readHead(),
    "sized": (parser) => parser.readBody("head"),
    "chunk-line": (parser) => parser.readChunkLine(),
    "chunk": (parser) => parser.readBody("chunk-end"),
    "chunk-end": (parser) => parser.readChunkEnd(),
    "trailers": (parser) => parser.readTrailers(),
    "until-close": (parser) => parser.readUntilClose(),
};
