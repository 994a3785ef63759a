/** A connection to a target, which carries one request at a time. */
import net from "node:net";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { ResponseHead } from "./responseParser.js";
import { headerOf, ResponseParser } from "./responseParser.js";

/** Number of unread body bytes at which reading from the target's socket is paused. */
const maxBufferedBytes = 262_144;

/** Limits on responses to other requests that are skipped while a request waits for its own; beyond them the connection is closed. */
const maxSkippedBytes = 262_144;
const maxSkippedResponses = 16;

/** A request as it is written to the socket. */
export interface OutgoingRequest {
    method: string;
    /** Request line and headers, including the empty line after them. */
    head: string;
    /** The complete body, or undefined if there is none or it is written through `Exchange.write`. */
    body: Buffer | undefined;
    /** True if the body is written through `Exchange.write`. */
    hasMore: boolean;
    /** Returns whether a response belongs to this request; other responses are skipped. */
    isAnswer: (head: ResponseHead) => boolean;
}

/** A request that was sent, and its response. */
export interface Exchange {
    /** Waits for the head of the response. */
    head(): Promise<Result<ResponseHead, Failure>>;
    /** Waits for the next piece of the response body; undefined marks its end. */
    read(): Promise<Result<Buffer | undefined, Failure>>;
    /**
     * Writes a piece of the request body.
     * @returns resolves when the socket accepts more data, or when the exchange has ended
     */
    write(piece: Buffer): Promise<void>;
    /** Marks the request body as complete. */
    finishBody(): void;
    /** Number of responses to other requests that were skipped. */
    readonly skipped: number;
}

/** An open connection to a target. */
export interface TargetConnection {
    /** True if no request is in progress and the connection can carry another one. */
    readonly reusable: boolean;
    /** Idle time after which the target closes the connection, from its Keep-Alive header; undefined if it sent none. */
    readonly keepAliveMs: number | undefined;
    /** Resolves with the reason when the connection is closed. */
    readonly closed: Promise<string>;
    /** Sends a request. */
    start(request: OutgoingRequest): Exchange;
    destroy(): void;
    /** Closes the connection with a TCP reset; data that is still in transit is dropped. */
    reset(): void;
}

/**
 * Connects to a target.
 * @param address the target's address
 * @param timeoutMs time within which the connection must be open
 * @returns the connection, or a failure of kind `unreachable`
 */
export function connectToTarget(address: Address, timeoutMs: number): Promise<Result<TargetConnection, Failure>> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
        const socket = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
        const giveUp = (reason: string, refused = false) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(err(failure("unreachable", "connect", address, reason, refused)));
        };
        const timer = setTimeout(giveUp, timeoutMs, "timed out");
        const onError = (error: NodeJS.ErrnoException) => {
            giveUp(error.message, error.code === "ECONNREFUSED");
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            resolve(ok(attach(socket, address)));
        });
    });
}

interface Waiter {
    wake: () => void;
}

function attach(socket: net.Socket, address: Address): TargetConnection {
    let current: ExchangeState | undefined;
    let reusable = true;
    let keepAliveMs: number | undefined;
    let reason = "closed by the target";
    let skipping = false;
    let skippedBytes = 0;

    const parser = new ResponseParser({
        onHead: (head) => {
            skipping = current === undefined || current.responseHead !== undefined || !current.request.isAnswer(head);
            if (skipping) {
                onStray(head);
                return;
            }
            keepAliveMs = keepAliveOf(head) ?? keepAliveMs;
            current?.onHead(head);
        },
        onBody: (chunk) => {
            if (!skipping) {
                current?.onBody(chunk);
                return;
            }
            skippedBytes += chunk.length;
            if (skippedBytes > maxSkippedBytes) {
                end("body of a response to another request exceeds the size limit");
            }
        },
        onEnd: () => {
            if (!skipping) {
                onAnswered();
            }
            skipping = false;
        },
    });

    /** Skips a response to another request while the current one waits for its own; without a waiting request, closes the connection. */
    const onStray = (head: ResponseHead) => {
        if (current === undefined || current.responseHead !== undefined || !head.persistent) {
            end("received a response that no request is waiting for");
            return;
        }
        current.skipped += 1;
        if (current.skipped > maxSkippedResponses) {
            end("too many responses to other requests");
        }
    };

    const onAnswered = () => {
        const answered = current;
        reusable = reusable && answered?.responseHead?.persistent === true && answered.bodySent;
        current = undefined;
        answered?.onEnd();
        if (!reusable) {
            end("connection cannot be reused after the response");
        }
    };

    const end = (why: string) => {
        reusable = false;
        reason = why;
        socket.destroy();
    };

    const feed = (take: () => void) => {
        try {
            take();
        }
        catch (error) {
            end(error instanceof Error ? error.message : String(error));
        }
    };

    socket.on("data", (bytes: Buffer) => {
        feed(() => {
            parser.push(bytes);
        });
    });
    const onEnd = () => {
        feed(() => {
            parser.end();
        });
        end(reason);
    };

    socket.on("end", () => {
        if (!parser.endsWithConnection) {
            onEnd();
            return;
        }
        // Node.js reports a reset as an orderly end if data arrived just before it. A write tells the two apart: it fails after a
        // reset. The empty line does no harm, since servers ignore empty lines between requests.
        socket.write("\r\n", (error) => {
            if (error) {
                end("reset by the target");
            }
            else {
                onEnd();
            }
        });
    });
    socket.on("error", (error) => {
        reason = error.message;
    });
    socket.on("drain", () => {
        current?.onDrain();
    });
    const closed = new Promise<string>((resolve) => {
        socket.on("close", () => {
            reusable = false;
            current?.onBroken(failure("lost", "forward", address, reason));
            current = undefined;
            resolve(reason);
        });
    });

    return {
        get reusable() {
            return reusable && current === undefined;
        },
        get keepAliveMs() {
            return keepAliveMs;
        },
        closed,
        start: (request) => {
            const state = new ExchangeState(request, socket);
            current = state;
            skippedBytes = 0;
            parser.expectBodiless(request.method === "HEAD");
            if (socket.destroyed) {
                state.onBroken(failure("unreachable", "forward", address, reason));
                return state;
            }
            socket.cork();
            socket.write(request.head, "latin1");
            if (request.body !== undefined) {
                socket.write(request.body);
            }
            socket.uncork();
            return state;
        },
        destroy: () => {
            end("closed by this host");
        },
        reset: () => {
            reusable = false;
            reason = "reset by this host";
            socket.resetAndDestroy();
        },
    };
}

/** Buffers the response to one request until it is read. */
class ExchangeState implements Exchange {
    responseHead: ResponseHead | undefined;
    skipped = 0;
    bodySent: boolean;
    private readonly chunks: Buffer[] = [];
    private bufferedBytes = 0;
    private ended = false;
    private broken: Failure | undefined;
    private reader: Waiter | undefined;
    private writer: Waiter | undefined;

    constructor(readonly request: OutgoingRequest, private readonly socket: net.Socket) {
        this.bodySent = !request.hasMore;
    }

    async head(): Promise<Result<ResponseHead, Failure>> {
        while (this.responseHead === undefined) {
            if (this.broken !== undefined) {
                return err(this.broken);
            }
            await this.nextEvent();
        }
        return ok(this.responseHead);
    }

    async read(): Promise<Result<Buffer | undefined, Failure>> {
        for (;;) {
            const chunk = this.chunks.shift();
            if (chunk !== undefined) {
                this.bufferedBytes -= chunk.length;
                if (this.bufferedBytes < maxBufferedBytes) {
                    this.socket.resume();
                }
                return ok(chunk);
            }
            if (this.ended) {
                return ok(undefined);
            }
            if (this.broken !== undefined) {
                return err(this.broken);
            }
            await this.nextEvent();
        }
    }

    write(piece: Buffer): Promise<void> {
        if (this.ended || this.broken !== undefined || this.socket.write(piece)) {
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

    onBody(chunk: Buffer): void {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        if (this.bufferedBytes >= maxBufferedBytes) {
            this.socket.pause();
        }
        this.wakeReader();
    }

    onEnd(): void {
        this.ended = true;
        this.onDrain();
        this.wakeReader();
    }

    onBroken(failed: Failure): void {
        this.broken = failed;
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

function keepAliveOf(head: ResponseHead): number | undefined {
    const seconds = /timeout=([0-9]+)/i.exec(headerOf(head.rawHeaders, "keep-alive") ?? "")?.[1];
    return seconds === undefined ? undefined : Number(seconds) * 1_000;
}
