/** HTTP/1.1 listener for client requests. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import http from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { ClientDialect } from "../forwarding/dialect.js";
import { withoutHopByHop } from "../forwarding/hopByHop.js";
import type { ClientLimits } from "../model/routing.js";
import { abortReason } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { AnswerHead, ClientCall, Refusal, RefusalReason } from "./clientCall.js";
import { RequestNotRunError } from "./clientCall.js";
import { createRequestBody } from "./requestBody.js";

const connectionCheckIntervalMs = 500;

/** Retry delay sent to clients whose request did not run because of an unexpected error. */
const retryAfterErrorMs = 250;

/** Limits in force until a configuration is known. */
const initialLimits: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 };

/** Allowance for the request line and for what the parser counts in addition to the bytes of the headers. */
const headerOverheadBytes = 1_024;

/** HTTP status of each refusal by this host. 429, 503, 408 and 421 tell the client that the request did not run. */
export const statusByReason: Record<RefusalReason, number> = {
    "no-route": 404,
    "no-key": 400,
    "body-too-large": 413,
    "body-late": 408,
    "not-ready": 503,
    "no-target": 503,
    "owner-unknown": 503,
    "owner-silent": 503,
    "target-paused": 503,
    "overloaded": 503,
    "rate-limited": 503,
    "too-late": 503,
    "rejected": 503,
    "unreachable": 503,
    "stopping": 503,
    "quarantined": 503,
    "timed-out": 504,
    "lost": 502,
};

/** HTTP status of the response to input that is not a valid request, by the parser's error code. */
const statusByParserError: Record<string, number> = {
    "HPE_HEADER_OVERFLOW": 431,
    "ERR_HTTP_REQUEST_TIMEOUT": 408,
};

/** Dependencies of the listener. */
export interface ClientHttpDependencies {
    /** The first one that matches a request is used; the last one must match every request. */
    dialects: readonly ClientDialect[];
    clock: Clock;
    /** Answers a request. */
    serve: (call: ClientCall) => Promise<void>;
    /** Called with any error that `serve` throws, and the call. */
    onUnexpectedError: (error: unknown, call: ClientCall) => void;
}

/** The listener. */
export interface ClientHttp {
    /**
     * Starts to accept connections.
     * @param address IP address and port, such as `10.0.0.7:8080`
     */
    listen(address: string): Promise<void>;
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
    let limits = initialLimits;
    let closing = false;
    let pending = 0;

    const onRequest = (request: IncomingMessage, response: ServerResponse, beforeRead: () => void) => {
        pending += 1;
        response.once("close", () => {
            pending -= 1;
        });
        response.shouldKeepAlive = response.shouldKeepAlive && !closing;
        const call = createClientCall({ request, response, dependencies, limits, beforeRead, isClosing: () => closing });
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

    const server = http.createServer({ noDelay: true, connectionsCheckingInterval: connectionCheckIntervalMs, requestTimeout: 0 });
    server.on("request", (request, response) => {
        onRequest(request, response, () => undefined);
    });
    server.on("checkContinue", (request, response) => {
        onRequest(request, response, () => {
            response.writeContinue();
        });
    });
    server.on("clientError", respondToParserError);
    applyLimits(server, limits);

    return {
        listen: (address) => {
            const [host, port] = address.split(":");
            return new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen(Number(port), host, resolve);
            });
        },
        setLimits: (newLimits) => {
            limits = newLimits;
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

function applyLimits(server: Server & { maxHeaderSize?: number }, limits: ClientLimits): void {
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.maxHeaderSize = limits.maxHeaderBytes + headerOverheadBytes;
}

function respondToParserError(error: Error & { code?: string }, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const status = statusByParserError[error.code ?? ""] ?? 400;
    socket.end(`HTTP/1.1 ${String(status)} ${http.STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

interface ClientCallDependencies {
    request: IncomingMessage;
    response: ServerResponse;
    dependencies: ClientHttpDependencies;
    limits: ClientLimits;
    beforeRead: () => void;
    isClosing: () => boolean;
}

function createClientCall({ request, response, dependencies, limits, beforeRead, isClosing }: ClientCallDependencies): ClientCall {
    const path = request.url ?? "/";
    const dialect = dependencies.dialects.find((candidate) => candidate.matches(path, request.headers)) as ClientDialect;
    const terms = dialect.termsOf(path, request.headers);
    const clientLeft = new AbortController();
    const onClientLeft = () => {
        clientLeft.abort(abortReason);
    };
    // Node.js closes the response only some turns of the event loop after it has read the end of the client's connection.
    request.socket.once("end", onClientLeft);
    response.once("close", () => {
        request.socket.off("end", onClientLeft);
        if (!response.writableFinished) {
            onClientLeft();
        }
    });

    const writeAnswerHead = (head: AnswerHead) => {
        writeHead({ ...head, rawHeaders: [...head.rawHeaders, ...dialect.headersOfAnswer(terms.requestId)] });
    };

    const writeHead = ({ status, reasonPhrase, rawHeaders, bodyBytes }: AnswerHead) => {
        response.shouldKeepAlive = response.shouldKeepAlive && !isClosing();
        const length = bodyBytes === undefined ? [] : ["Content-Length", String(bodyBytes)];
        response.writeHead(status, reasonPhrase, [...rawHeaders, ...length]);
    };

    return {
        ...terms,
        method: request.method ?? "GET",
        path,
        hostName: request.headers.host ?? "",
        receivedAt: dependencies.clock.now(),
        forwardHeaders: withoutHopByHop(request.rawHeaders, dialect.unforwardedHeaders),
        body: createRequestBody(request, limits.maxBodyBytes, beforeRead),
        clientLeft: clientLeft.signal,
        refuse: (refusal) => {
            const status = statusByReason[refusal.reason];
            const body = Buffer.from(JSON.stringify(bodyOfRefusal(refusal)));
            writeHead({
                status,
                reasonPhrase: http.STATUS_CODES[status] ?? "",
                rawHeaders: ["Content-Type", "application/json", ...dialect.headersOfRefusal(terms.requestId, refusal)],
                bodyBytes: body.length,
            });
            response.end(body);
        },
        answer: (head, body) => {
            writeAnswerHead(head);
            response.end(body);
        },
        beginAnswer: writeAnswerHead,
        writeAnswer: (piece) => response.write(piece) || response.destroyed
            ? Promise.resolve()
            : new Promise((resolve) => {
                response.once("drain", resolve);
                response.once("close", resolve);
            }),
        finishAnswer: () => {
            response.end();
        },
        abortAnswer: () => {
            request.socket.destroy();
        },
    };
}

function bodyOfRefusal({ reason, retryAfterMs }: Refusal): object {
    return { reason, ...retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) } };
}
