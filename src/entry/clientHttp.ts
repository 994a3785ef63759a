/** HTTP/1.1 listener for client requests. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import http from "node:http";
import type { Socket } from "node:net";
import net from "node:net";
import type { Result } from "neverthrow";
import { listen } from "../adapters/listening.js";
import type { ClientDialect } from "./clientDialect.js";
import type { Failure } from "../model/failure.js";
import type { ClientLimits } from "../model/routing.js";
import type { Clock } from "../model/time.js";
import type { ClientCall } from "./clientCall.js";
import { createCallServing } from "./callServing.js";
import type { AcceptBacklog } from "./acceptBacklog.js";
import { createAcceptBacklogMonitor } from "./acceptBacklog.js";
import { ClientAccount } from "./clientAccount.js";
import type { ClientConnection, Denial, HttpExchange } from "./clientConnection.js";
import { addExchange, createClientConnection, removeExchange, summarizeConnection } from "./clientConnection.js";
import {
    breakOffAnswer, cutConnection, decideClose, earlierAnswered, endForStop, endIfAnswered, endQueuedResponses,
} from "./connectionEnd.js";
import type { HoldingLimits, ReachedLimit } from "./holdingEnforcement.js";
import { createHoldingEnforcement } from "./holdingEnforcement.js";
import { createHttpClientCall } from "./httpClientCall.js";
import { createInputDenials, denialReasonOfHeaders } from "./inputDenials.js";
import { gateInput } from "./inputGate.js";
import type { ListenerCheck } from "./listenerCheck.js";
import { checkConnectionsTo, createListenerCheck } from "./listenerCheck.js";
import { createStartQueue } from "./startQueue.js";

/** Interval at which the time limits of header sections are checked. */
const headerCheckIntervalMs = 500;

/** Limits applied until a configuration is known. */
const initialLimits: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 };

/** Allowance for the request line and for what the parser counts in addition to the bytes of the headers. */
const headerOverheadBytes = 1_024;

/** Delay after which a request may be sent again that was refused because this host holds too much for clients. */
const retryAfterFullMs = 1_000;

/** A body that is not known to be shorter is not accepted while this host refuses clients that hold much. */
const longBodyBytes = 65_536;

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
    holdingLimits: HoldingLimits;
    /** Called when a request is refused or a connection is closed because of what it holds. */
    onLimit: (reached: ReachedLimit) => void;
    /** Called with each backlog of connections that may have waited to be accepted. */
    onAcceptBacklog: (backlog: AcceptBacklog) => void;
    /** Returns whether connections of other hosts may be waiting to be accepted. */
    doPeersWait: () => boolean;
    /** Called when a connection could not be accepted. */
    onAcceptError: (error: Error) => void;
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
    /** From now on, each connection ends with the last answer that is due on it. */
    startClosingConnections(): void;
    /** Stops accepting connections and reading requests, and closes idle connections; requests in progress continue. */
    stopAccepting(): void;
    /** Returns the number of requests that have not been answered completely. */
    pending(): number;
    /** Returns the number of bytes that are held for clients, as estimated. */
    heldBytes(): number;
    /** Returns the number of connections accepted so far, those of readiness checks among them, and of those that are open. */
    connectionCounts(): { accepted: number; open: number };
    /** Returns a bound on the time that connections wait now to be accepted. */
    acceptWaitMs(nowMs: number): number;
    /** Checks whether this host takes connections at its own address; returns why it doesn't, as far as is known. See `ListenerCheck`. */
    checkListener(nowMs: number): string | undefined;
    /** Stops accepting connections and closes all of them, including those with requests in progress. */
    close(): void;
}

/** Creates the listener. */
export function createClientHttp(dependencies: ClientHttpDependencies): ClientHttp {
    /** Limits of the configuration; undefined until one is known. */
    let configuredLimits: ClientLimits | undefined;
    let closing = false;
    let pending = 0;
    let acceptedCount = 0;
    const connections = new WeakMap<Socket, ClientConnection>();
    const openConnections = new Set<ClientConnection>();
    const account = new ClientAccount<Socket>(dependencies.holdingLimits);
    const acceptBacklog = createAcceptBacklogMonitor({
        clock: dependencies.clock, atTurnEnd: setImmediate, onBacklog: dependencies.onAcceptBacklog,
    });
    const startQueue = createStartQueue({
        clock: dependencies.clock, atTurnEnd: setImmediate, doConnectionsWait: () => acceptBacklog.mayExist() || dependencies.doPeersWait(),
    });
    let check: ListenerCheck | undefined;
    const limits = () => configuredLimits ?? initialLimits;
    const nowMs = () => dependencies.clock.now().monoMs;

    /** Returns the state of a connection; creates it when the connection is opened. */
    const connectionOf = (socket: Socket): ClientConnection => {
        const known = connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection = createClientConnection(socket, limits().maxHeaderBytes, nowMs(), account.open(socket, nowMs()));
        connections.set(socket, connection);
        return connection;
    };

    const holding = createHoldingEnforcement({ account, connectionOf, clock: dependencies.clock, onLimit: dependencies.onLimit });
    const serveCall = createCallServing(dependencies);
    const denials = createInputDenials({
        clock: dependencies.clock, onDenied: dependencies.onDenied,
        connectionOf, limits,
        confirmedLimits: () => dependencies.areLimitsConfirmed(nowMs()) ? configuredLimits : undefined,
    });

    const onConnection = (socket: Socket) => {
        acceptBacklog.onAccepted();
        acceptedCount += 1;
        check?.onAccepted({
            peer: { ip: socket.remoteAddress ?? "", port: socket.remotePort ?? 0 }, atMs: nowMs(), close: () => socket.destroy(),
        });
        if (socket.destroyed) {
            return;
        }
        const connection = connectionOf(socket);
        openConnections.add(connection);
        // Each request in progress listens for the end of its connection; their number has a limit of its own.
        socket.setMaxListeners(0);
        socket.once("close", () => {
            openConnections.delete(connection);
            endQueuedResponses(connection);
            account.close(socket);
            holding.onClosed();
        });
        holding.onOpened();
        connection.gate = gateInput(socket, dependencies.holdingLimits.maxOverheadBytes, {
            mayParse: () => account.mayParse(connection.holdings, socket.writableLength),
            isInputEnded: () => connection.input !== "open",
            keepsAlive: () => connection.lastExchange?.response.shouldKeepAlive !== false,
            onHeld: (bytes) => {
                account.add(socket, bytes);
            },
            onRejected: (error, pieceCount) => {
                denials.denyInput(connection, error === "invalid-chunk" ? "malformed" : error, { pieceCount });
            },
        });
        holding.closeBeyondLimit();
    };

    const onRequest = (request: IncomingMessage, response: ServerResponse, beforeRead: () => void) => {
        connectionOf(request.socket).gate?.onRequest(request);
        const reason = denialReasonOfHeaders(request);
        if (reason !== undefined) {
            denials.deny(request, response, reason);
            return;
        }
        const connection = connectionOf(request.socket);
        if (connection.input !== "open") {
            return;
        }
        const earlierRequestCount = connection.requestCount;
        const exchange: HttpExchange = { request, response };
        const isRefused = account.refuses(connection.holdings, hasLongBody(request));
        let heldBytes = 0;
        addExchange(connection, exchange);
        account.beginRequest(request.socket);
        pending += 1;
        response.once("close", () => {
            pending -= 1;
            removeExchange(connection, exchange);
            account.add(request.socket, -heldBytes);
            account.endRequest(request.socket);
            connection.gate?.drain();
            endIfAnswered(connection);
        });
        if (request.headers.upgrade !== undefined) {
            // Node.js drops what follows such a request in the same piece of input.
            connection.input = "ended";
        }
        const call = createHttpClientCall({
            request, response, dialects: dependencies.dialects, receivedAt: dependencies.clock.now(), limits: limits(), beforeRead,
            endsConnection: () => decideClose(connection, exchange, closing),
            breakOffAnswer: () => {
                breakOffAnswer(connection, exchange);
            },
            earlierAnswered: () => earlierAnswered(connection, exchange),
            describeConnection: () => summarizeConnection(connection, earlierRequestCount, nowMs()),
            onHeld: (bytes) => {
                heldBytes += bytes;
                account.add(request.socket, bytes);
            },
        });
        exchange.breakOffBody = call.breakOffBody;
        if (isRefused) {
            holding.recordRefusal(connection, "refused", { request: call.requestId });
            call.refuse({ reason: "host-full", retryAfterMs: retryAfterFullMs });
            return;
        }
        startQueue.add({
            budgetMs: call.budgetMs,
            start: () => {
                if (!call.clientLeft.aborted) {
                    void serveCall(call, response);
                }
            },
            refuse: (waitMs, retryAfterMs) => {
                if (!call.clientLeft.aborted) {
                    holding.recordRefusal(connection, "late", { request: call.requestId, waitMs: Math.round(waitMs) });
                    call.refuse({ reason: "host-late", retryAfterMs });
                }
            },
        });
    };

    const server = http.createServer({
        noDelay: true, connectionsCheckingInterval: headerCheckIntervalMs, requestTimeout: 0, requireHostHeader: false,
    });
    // By default Node.js drops header fields beyond the first 2,000. The limit on bytes bounds their number.
    server.maxHeadersCount = 0;
    server.on("connection", onConnection);
    server.on("request", (request, response) => {
        onRequest(request, response, () => undefined);
    });
    server.on("checkContinue", (request, response) => {
        onRequest(request, response, () => {
            response.writeContinue();
        });
    });
    server.on("checkExpectation", (request, response) => {
        connectionOf(request.socket).gate?.onRequest(request);
        denials.deny(request, response, denialReasonOfHeaders(request) ?? "unknown-expectation");
    });
    server.on("clientError", denials.onParserError);
    applyLimits(server, initialLimits);

    return {
        listen: async (address, retryForMs) => {
            const outcome = await listen(server, address, dependencies.clock, retryForMs);
            server.on("error", dependencies.onAcceptError);
            check = createListenerCheck(checkConnectionsTo(address), dependencies.clock);
            return outcome;
        },
        setLimits: (newLimits) => {
            configuredLimits = newLimits;
            applyLimits(server, newLimits);
        },
        startClosingConnections: () => {
            closing = true;
        },
        stopAccepting: () => {
            check?.stop();
            // `http.Server.close` would also destroy connections whose last answer is not yet written whole.
            net.Server.prototype.close.call(server);
            openConnections.forEach(endForStop);
        },
        pending: () => pending,
        heldBytes: () => account.heldBytes,
        connectionCounts: () => ({ accepted: acceptedCount, open: account.connectionCount }),
        acceptWaitMs: acceptBacklog.maxWaitMs,
        checkListener: (nowMs) => check?.run(nowMs),
        close: () => {
            check?.stop();
            openConnections.forEach(cutConnection);
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Tells whether the body of a request may be long. */
function hasLongBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > longBodyBytes;
}

function applyLimits(server: Server & { maxHeaderSize?: number }, limits: ClientLimits): void {
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.maxHeaderSize = limits.maxHeaderBytes + headerOverheadBytes;
}
