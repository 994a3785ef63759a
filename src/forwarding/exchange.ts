/** A request to a target and its response, on one connection. */
import type net from "node:net";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { SocketReader } from "../adapters/socketReader.js";
import { ByteBuffer } from "../model/byteBuffer.js";
import type { RequestTraits } from "./connectionHistory.js";
import type { ResponseMatch } from "./dialect.js";
import type { ResponseHead, StatedHead } from "./responseHead.js";

/** Number of unread body bytes at which reading from the target's socket is paused. */
const maxBufferedBytes = 262_144;

/** A request as it is written to the socket. */
export interface OutgoingRequest extends RequestTraits {
    /** Request line and headers, including the empty line after them. */
    head: string;
    /** The complete body, or undefined if there is none or it is written through `Exchange.write`. */
    body: Buffer | undefined;
    /** True if the body is written through `Exchange.write`. */
    hasMore: boolean;
    /** Returns how a response relates to this request. */
    matchOf: (head: StatedHead) => ResponseMatch;
}

/** A request that was sent, and its response. */
export interface Exchange {
    /** Waits for the head of the response. */
    head(): Promise<Result<ResponseHead, Failure>>;
    /** Waits for the next piece of the response body, which is valid until the next call; undefined marks the end. */
    read(): Promise<Result<Buffer | undefined, Failure>>;
    /**
     * Writes a piece of the request body.
     * @returns resolves when the socket accepts more data, or when the exchange has ended
     */
    write(piece: Buffer): Promise<void>;
    /** Marks the request body as complete. */
    finishBody(): void;
    /** Number of responses to other requests that were skipped. */
    readonly skippedResponses: number;
}

interface Waiter {
    wake: () => void;
}

/** Buffers the response to one request until it is read. */
export class ExchangeState implements Exchange {
    responseHead: ResponseHead | undefined;
    skippedResponses = 0;
    bodySent: boolean;
    private readonly body = new ByteBuffer();
    private ended = false;
    private lastFailure: Failure | undefined;
    private reader: Waiter | undefined;
    private writer: Waiter | undefined;

    constructor(readonly request: OutgoingRequest, private readonly socket: net.Socket, private readonly socketReader: SocketReader) {
        this.bodySent = !request.hasMore;
    }

    async head(): Promise<Result<ResponseHead, Failure>> {
        while (this.responseHead === undefined) {
            if (this.lastFailure !== undefined) {
                return err(this.lastFailure);
            }
            await this.nextEvent();
        }
        return ok(this.responseHead);
    }

    async read(): Promise<Result<Buffer | undefined, Failure>> {
        for (;;) {
            const piece = this.body.take();
            if (piece !== undefined) {
                if (this.body.byteCount < maxBufferedBytes) {
                    this.socketReader.release();
                }
                return ok(piece);
            }
            if (this.ended) {
                return ok(undefined);
            }
            if (this.lastFailure !== undefined) {
                return err(this.lastFailure);
            }
            await this.nextEvent();
        }
    }

    write(piece: Buffer): Promise<void> {
        if (this.ended || this.lastFailure !== undefined || this.socket.write(piece)) {
            return Promise.resolve();
        }
        return new Promise((wake) => {
            this.writer = { wake };
        });
    }

    finishBody(): void {
        this.bodySent = true;
    }

    onHead(head: ResponseHead): void {
        this.responseHead = head;
        this.wakeReader();
    }

    onBody(input: Buffer, start: number, end: number): void {
        this.body.append(input, start, end);
        if (this.body.byteCount >= maxBufferedBytes) {
            this.socketReader.hold();
        }
        this.wakeReader();
    }

    onEnd(): void {
        this.ended = true;
        this.onDrain();
        this.wakeReader();
    }

    onFailure(failed: Failure): void {
        this.lastFailure = failed;
        this.onDrain();
        this.wakeReader();
    }

    onDrain(): void {
        const { writer } = this;
        this.writer = undefined;
        writer?.wake();
    }

    private nextEvent(): Promise<void> {
        return new Promise((wake) => {
            this.reader = { wake };
        });
    }

    private wakeReader(): void {
        const { reader } = this;
        this.reader = undefined;
        reader?.wake();
    }
}
