/** A connection to a target, which carries one request at a time. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address, HostId } from "../model/names.js";
import type { RequestTraits, ResponseUse } from "./connectionHistory.js";
import { ConnectionHistory } from "./connectionHistory.js";
import type { Exchange, OutgoingRequest } from "./exchange.js";
import { ExchangeState } from "./exchange.js";
import type { ResponseHead } from "./responseHead.js";
import { headerOf, ResponseSyntaxError } from "./responseHead.js";
import { ResponseParser } from "./responseParser.js";
import { openTargetSocket } from "./targetSocket.js";
import type { EndCheck, TargetStream } from "./targetStream.js";
import { directStream } from "./targetStream.js";

/** Limits on responses to other requests that are skipped while a request waits for its own; beyond them the connection is closed. */
const maxSkippedBytes = 262_144;
const maxSkippedResponses = 16;

/** An open connection to a target. */
export interface TargetConnection {
    /** True if no request is in progress and the connection can carry another one; which one, `mayCarry` tells. */
    readonly reusable: boolean;
    /** Idle time after which the target closes the connection, from its Keep-Alive header; undefined if it sent none. */
    readonly keepAliveMs: number | undefined;
    /** Host through which the connection passes; undefined if it leads to the target directly. */
    readonly relay: HostId | undefined;
    /** Port of this host's end; undefined if the connection was closed before it could be used. */
    readonly localPort: number | undefined;
    /** Number of requests sent so far. */
    readonly requestCount: number;
    /** True if the connection may carry only requests that may run more than once. */
    readonly isForIdempotentOnly: boolean;
    /** Tells whether the connection may carry a request after it has been idle for `idleMs`. */
    mayCarry(request: RequestTraits, idleMs: number): boolean;
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
export async function connectToTarget(address: Address, timeoutMs: number): Promise<Result<TargetConnection, Failure>> {
    const opened = await openTargetSocket(address, timeoutMs);
    return opened.map((socket) => createTargetConnection(directStream(socket), address, undefined));
}

/**
 * Creates a connection on an open stream.
 * @param stream the target's bytes, and the socket to write to
 * @param address the target's address
 * @param relay host at the other end of the socket that passes everything on; undefined if that is the target itself
 */
export function createTargetConnection(stream: TargetStream, address: Address, relay: HostId | undefined): TargetConnection {
    const { socket } = stream;
    let current: ExchangeState | undefined;
    let reusable = true;
    let keepAliveMs: number | undefined;
    const history = new ConnectionHistory();
    let closeReason = "closed by the target";
    /** What becomes of the response that arrives now; undefined between responses, and for one that no request waits for. */
    let use: ResponseUse | undefined;
    let skippedBytes = 0;
    const { localPort } = socket;

    const parser = new ResponseParser({
        isBodiless: (head) => {
            use = current === undefined ? undefined : history.recordResponse(current.request.matchOf(head));
            return use === "answer-without-body";
        },
        onHead: (head) => {
            if (current === undefined || use === undefined) {
                throw new ResponseSyntaxError("received a response that no request is waiting for");
            }
            if (isSkipping()) {
                skipResponse(current, head);
                return;
            }
            keepAliveMs = keepAliveOf(head) ?? keepAliveMs;
            current.onHead(head);
        },
        onBody: (input, start, end) => {
            if (!isSkipping()) {
                current?.onBody(input, start, end);
                return;
            }
            skippedBytes += end - start;
            if (skippedBytes > maxSkippedBytes) {
                throw new ResponseSyntaxError("body of a response to another request exceeds the size limit");
            }
        },
        onEnd: () => {
            if (!isSkipping()) {
                onResponseEnd();
            }
            use = undefined;
        },
    });

    const isSkipping = () => use === "skip" || use === "close";

    /**
     * Skips a response to another request while `waiting` waits for its own.
     * @throws ResponseSyntaxError if that is not possible
     */
    const skipResponse = (waiting: ExchangeState, head: ResponseHead) => {
        waiting.skippedResponses += 1;
        if (use === "close") {
            throw new ResponseSyntaxError("received a response to another request, which may be the HEAD request before");
        }
        if (!head.persistent) {
            throw new ResponseSyntaxError("received a response to another request, which ends with the connection");
        }
        if (waiting.skippedResponses > maxSkippedResponses) {
            throw new ResponseSyntaxError("too many responses to other requests");
        }
    };

    const onResponseEnd = () => {
        const exchange = current;
        reusable = reusable && exchange?.responseHead?.persistent === true && exchange.bodySent && !history.isSpent;
        current = undefined;
        exchange?.onEnd();
        if (!reusable) {
            closeConnection("connection cannot be reused after the response");
        }
    };

    const closeConnection = (why: string) => {
        reusable = false;
        closeReason = socket.destroyed ? closeReason : why;
        socket.destroy();
    };

    const parseOrClose = (parse: () => void) => {
        try {
            parse();
        }
        catch (error) {
            closeConnection(error instanceof Error ? error.message : String(error));
        }
    };

    const onBytes = (bytes: Buffer) => {
        if (socket.destroyed) {
            return;
        }
        const wasIdle = current === undefined;
        parseOrClose(() => {
            parser.push(bytes);
        });
        // What is left here would become the start of the next request's response.
        if (wasIdle || (current === undefined && !parser.isBetweenResponses)) {
            closeConnection("received bytes that no request is waiting for");
        }
    };

    const closeAtEnd = () => {
        parseOrClose(() => {
            parser.end();
        });
        closeConnection(closeReason);
    };

    /** Decides whether the answer in progress is whole, after its last byte. One without a length is so only if the target ended it. */
    const onStreamEnd = async (isEndOfTarget: EndCheck) => {
        if (!parser.endsWithConnection || await isEndOfTarget()) {
            closeAtEnd();
        }
        else {
            closeConnection(relay === undefined ? "reset by the target" : `ended by the relaying host ${relay}, not by the target`);
        }
    };

    const reader = stream.read({
        onBytes,
        onEnd: (isEndOfTarget) => {
            void onStreamEnd(isEndOfTarget);
        },
        onRelayStopping: () => {
            reusable = false;
            if (current === undefined) {
                closeConnection("the relaying host stops");
            }
        },
    });
    socket.on("error", (error) => {
        closeReason = error.message;
    });
    socket.on("drain", () => {
        current?.onDrain();
    });
    const closed = new Promise<string>((resolve) => {
        socket.on("close", () => {
            reusable = false;
            current?.onFailure(failure("lost", "forward", address, closeReason));
            current = undefined;
            resolve(closeReason);
        });
    });

    return {
        relay,
        localPort,
        get requestCount() {
            return history.requestCount;
        },
        get reusable() {
            return reusable && current === undefined;
        },
        get keepAliveMs() {
            return keepAliveMs;
        },
        get isForIdempotentOnly() {
            return history.isForIdempotentOnly;
        },
        mayCarry: (request, idleMs) => reusable && current === undefined && history.mayCarry(request, idleMs),
        closed,
        start: (request) => {
            const state = new ExchangeState(request, socket, reader);
            current = state;
            skippedBytes = 0;
            history.recordSent(request);
            if (socket.destroyed) {
                state.onFailure(failure("unreachable", "forward", address, closeReason));
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
            closeConnection("closed by this host");
        },
        reset: () => {
            reusable = false;
            closeReason = "reset by this host";
            socket.resetAndDestroy();
        },
    };
}

function keepAliveOf(head: ResponseHead): number | undefined {
    const seconds = /timeout=([0-9]+)/i.exec(headerOf(head.rawHeaders, "keep-alive") ?? "")?.[1];
    return seconds === undefined ? undefined : Number(seconds) * 1_000;
}
