/** HTTP/1.1 listener for client requests. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import http from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Result } from "neverthrow";
import { listen } from "../adapters/listening.js";
import type { ClientDialect } from "./clientDialect.js";
import type { Failure } from "../model/failure.js";
import type { ClientLimits } from "../model/routing.js";
import { abortReason } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { ClientCall } from "./clientCall.js";
import { RequestNotRunError } from "./clientCall.js";
import type { ClientConnection, Denial, DenialReason, ParserError } from "./clientConnection.js";
import {
    addExchange, createClientConnection, denialReasonOf, endAfterResponses, excerptOf, removeExchange, statusByDenial, summarizeConnection,
} from "./clientConnection.js";
import { createHttpClientCall } from "./httpClientCall.js";

const connectionCheckIntervalMs = 500;

/** Retry delay sent to clients whose request did not run because of an unexpected error. */
const retryAfterErrorMs = 250;

/** Code of the error that Node.js reports for a header section that is not complete in time. */
const headerTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Limits applied until a configuration is known. */
const initialLimits: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 };

/** Allowance for the request line and for what the parser counts in addition to the bytes of the headers. */
const headerOverheadBytes = 1_024;

/** Headers of the listener's answers to requests with a valid header section. */
const denialHeaders: Partial<Record<DenialReason, http.OutgoingHttpHeaders>> = {
    "malformed": { "Connection": "close" },
    "no-host-header": { "Connection": "close" },
    // The client may hold back the body, or send it.
    "unknown-expectation": { "Connection": "close" },
};

/** Dependencies of the listener. */
export interface ClientHttpDependencies {
    /** The first one that matches a request is used; the last one must match every request. */
    dialects: readonly ClientDialect[];
    clock: Clock;
    /** Answers a request. */
    serve: (call: ClientCall) => Promise<void>;
    /** Tells whether the limits are known to be those of the configuration in force. */
    areLimitsConfirmed: (nowMs: number) => boolean;
    /** Called for each answer to input that is not passed to `serve`. */
    onDenied: (denial: Denial) => void;
    /** Called with any error that `serve` throws, and the call. */
    onUnexpectedError: (error: unknown, call: ClientCall) => void;
}

/** The listener. */
export interface ClientHttp {
    /**
     * Starts to accept connections.
     * @param address IP address and port, such as `10.0.0.7:8080`
     * @param retryForMs how long an address that is in use is tried again
     */
    listen(address: string, retryForMs: number): Promise<Result<undefined, Failure>>;
    /** Applies the limits of a configuration. */
    setLimits(limits: ClientLimits): void;
    /** From now on, every response asks the client to close its connection. */
    startClosingConnections(): void;
    /** Stops accepting connections and closes idle ones; requests in progress continue. */
    stopAccepting(): void;
    /** Returns the number of requests that have not been answered completely. */
    pending(): number;
    /** Stops accepting connections and closes all of them, including those with requests in progress. */
    close(): void;
}

/** Creates the listener. */
export function createClientHttp(dependencies: ClientHttpDependencies): ClientHttp {
    /** Limits of the configuration; undefined until one is known. */
    let configuredLimits: ClientLimits | undefined;
    let closing = false;
    let pending = 0;
    const connections = new WeakMap<Socket, ClientConnection>();
    const limits = () => configuredLimits ?? initialLimits;
    const nowMs = () => dependencies.clock.now().monoMs;

    /** Returns the state of a connection; creates it when the connection is opened. */
    const connectionOf = (socket: Socket): ClientConnection => {
        const connection = connections.get(socket) ?? createClientConnection(socket, limits().maxHeaderBytes, nowMs());
        connections.set(socket, connection);
        return connection;
    };

    const recordDenial = (connection: ClientConnection, reason: DenialReason, error?: ParserError) => {
        dependencies.onDenied({
            reason, status: statusByDenial[reason], maxHeaderBytes: limits().maxHeaderBytes,
            connection: summarizeConnection(connection, connection.requestCount, nowMs()),
            ...error === undefined ? {} : { parserCode: error.code, excerpt: excerptOf(error) },
        });
    };

    /** Answers a request with a valid header section that this host does not accept. */
    const deny = (request: IncomingMessage, response: ServerResponse, reason: DenialReason) => {
        const connection = connectionOf(request.socket);
        recordDenial(connection, reason);
        connection.requestCount += 1;
        response.writeHead(statusByDenial[reason], denialHeaders[reason]);
        response.end();
    };

    const onParserError = (error: ParserError, socket: Socket) => {
        const connection = connectionOf(socket);
        // The parser reports its error again for any further input, and at its end.
        const hasClientLeft = connection.isInputEnded && socket.readableEnded;
        if (error.code === "ECONNRESET" || !socket.writable || hasClientLeft) {
            socket.destroy();
            return;
        }
        if (error.code === headerTimeoutCode) {
            void onHeaderTimeout(connection, error);
        }
        else {
            denyInput(connection, error);
        }
    };

    const denyInput = (connection: ClientConnection, error: ParserError) => {
        if (!connection.isInputEnded && connection.socket.writable) {
            connection.isInputEnded = true;
            const confirmedLimits = dependencies.areLimitsConfirmed(nowMs()) ? configuredLimits : undefined;
            const reason = denialReasonOf(error, connection, confirmedLimits);
            recordDenial(connection, reason, error);
            void endAfterResponses(connection, reason);
        }
    };

    /**
     * Decides on a header section that was not complete in time. Node.js counts the time from the opening of a connection, also while the
     * host has not read what it received.
     */
    const onHeaderTimeout = async (connection: ClientConnection, error: ParserError) => {
        const { socket, requestCount } = connection;
        const { bytesRead } = socket;
        const closed = new AbortController();
        socket.once("close", () => {
            closed.abort(abortReason);
        });
        await waitTwoTurns();
        if (socket.bytesRead === 0) {
            await dependencies.clock.sleep(connection.openedMs + limits().idleTimeoutMs - nowMs(), closed.signal);
            if (socket.bytesRead === 0) {
                socket.end();
            }
            return;
        }
        if (socket.bytesRead > bytesRead && connection.requestCount === requestCount) {
            await dependencies.clock.sleep(limits().headerTimeoutMs, closed.signal);
        }
        if (connection.requestCount === requestCount) {
            denyInput(connection, error);
        }
    };

    const onRequest = (request: IncomingMessage, response: ServerResponse, beforeRead: () => void) => {
        const reason = denialReasonOfHeaders(request);
        if (reason !== undefined) {
            deny(request, response, reason);
            return;
        }
        const connection = connectionOf(request.socket);
        if (connection.isInputEnded) {
            return;
        }
        const earlierRequestCount = connection.requestCount;
        const exchange = { request, response };
        addExchange(connection, exchange);
        pending += 1;
        response.once("close", () => {
            pending -= 1;
            removeExchange(connection, exchange);
        });
        // Node.js drops what follows a request with Upgrade in the same piece of input.
        connection.isInputEnded = request.headers.upgrade !== undefined;
        response.shouldKeepAlive = response.shouldKeepAlive && !closing && !connection.isInputEnded;
        const call = createHttpClientCall({
            request, response, dialects: dependencies.dialects, receivedAt: dependencies.clock.now(), limits: limits(), beforeRead,
            isClosing: () => closing,
            describeConnection: () => summarizeConnection(connection, earlierRequestCount, nowMs()),
        });
        const serve = async () => {
            await waitTwoTurns();
            if (!call.clientLeft.aborted) {
                await dependencies.serve(call);
            }
        };
        serve().catch((error: unknown) => {
            dependencies.onUnexpectedError(error, call);
            refuseAfterError(call, response, error);
        }).catch((error: unknown) => {
            dependencies.onUnexpectedError(error, call);
            call.abortAnswer();
        });
    };

    const server = http.createServer({
        noDelay: true, connectionsCheckingInterval: connectionCheckIntervalMs, requestTimeout: 0, requireHostHeader: false,
    });
    // By default Node.js drops header fields beyond the first 2,000. The limit on bytes bounds their number.
    server.maxHeadersCount = 0;
    server.on("connection", connectionOf);
    server.on("request", (request, response) => {
        onRequest(request, response, () => undefined);
    });
    server.on("checkContinue", (request, response) => {
        onRequest(request, response, () => {
            response.writeContinue();
        });
    });
    server.on("checkExpectation", (request, response) => {
        deny(request, response, denialReasonOfHeaders(request) ?? "unknown-expectation");
    });
    server.on("clientError", onParserError);
    applyLimits(server, initialLimits);

    return {
        listen: (address, retryForMs) => listen(server, address, dependencies.clock, retryForMs),
        setLimits: (newLimits) => {
            configuredLimits = newLimits;
            applyLimits(server, newLimits);
        },
        startClosingConnections: () => {
            closing = true;
        },
        stopAccepting: () => {
            server.close();
        },
        pending: () => pending,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Answers a request that could not be served because of an unexpected error; if a part of an answer was written, closes the connection. */
function refuseAfterError(call: ClientCall, response: ServerResponse, error: unknown): void {
    if (response.writableEnded) {
        return;
    }
    if (response.headersSent) {
        call.abortAnswer();
        return;
    }
    call.refuse(error instanceof RequestNotRunError
        ? { reason: "unreachable", retryAfterMs: retryAfterErrorMs }
        : { reason: "lost", retryAfterMs: undefined });
}

/**
 * Waits two turns of the event loop, so that it polls its sockets once more. On an overloaded host a client may have left before its
 * request is read; the end of its connection is then read in the next turn.
 */
async function waitTwoTurns(): Promise<void> {
    await nextTurn();
    await nextTurn();
}

/** Returns why the header section is denied, although the parser accepts it. */
function denialReasonOfHeaders({ httpVersion, headers, rawHeaders }: IncomingMessage): DenialReason | undefined {
    if (rawHeaders.some((name, index) => index % 2 === 0 && name.endsWith(" "))) {
        // A target might take the field for another one than this host does (RFC 9112, section 5.1).
        return "malformed";
    }
    return httpVersion === "1.1" && headers.host === undefined ? "no-host-header" : undefined;
}

function applyLimits(server: Server & { maxHeaderSize?: number }, limits: ClientLimits): void {
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.maxHeaderSize = limits.maxHeaderBytes + headerOverheadBytes;
}
