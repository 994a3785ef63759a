/** Takes clients' requests over HTTP/1.1. */
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
import { createRequestBody } from "./requestBody.js";

const checkConnectionsMs = 500;

/** Bounds that hold until a configuration is known. */
const initialLimits: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 };

/** Room for the request line and for what the parser counts besides the headers' own bytes. */
const headerSlackBytes = 1_024;

/** Status of each answer that this host gives itself. 429, 503, 408 and 421 say that the request did not run. */
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
    "too-late": 503,
    "rejected": 503,
    "unreachable": 503,
    "stopping": 503,
    "timed-out": 504,
    "lost": 502,
};

/** Answers to bytes that are no request, by the parser's error code. */
const statusByParserError: Record<string, number> = {
    "HPE_HEADER_OVERFLOW": 431,
    "ERR_HTTP_REQUEST_TIMEOUT": 408,
};

/** What the listener works with. */
export interface ClientHttpParts {
    /** The first that claims a request counts; the last claims all. */
    dialects: readonly ClientDialect[];
    clock: Clock;
    serve: (call: ClientCall) => Promise<void>;
    /** Told of an error that `serve` did not expect. */
    onFault: (error: unknown) => void;
}

/** Listener for clients. */
export interface ClientHttp {
    listen(address: string): Promise<void>;
    /** Puts the bounds of a configuration into force. */
    setLimits(limits: ClientLimits): void;
    /** From now on every answer asks its client to close the connection. */
    startClosing(): void;
    /** Takes no new connections and closes the idle ones; requests under way go on. */
    stopTaking(): void;
    /** Requests that have no answer yet. */
    pending(): number;
    close(): void;
}

/**
 * Creates the listener.
 * @param parts what it works with
 */
export function createClientHttp(parts: ClientHttpParts): ClientHttp {
    let limits = initialLimits;
    let closing = false;
    let pending = 0;

    const onRequest = (request: IncomingMessage, response: ServerResponse, beforeRead: () => void) => {
        pending += 1;
        response.once("close", () => {
            pending -= 1;
        });
        response.shouldKeepAlive = response.shouldKeepAlive && !closing;
        const call = createClientCall({ request, response, parts, limits, beforeRead, isClosing: () => closing });
        const serve = async () => {
            await twoTurns();
            if (!call.left.aborted) {
                await parts.serve(call);
            }
        };
        serve().catch((error: unknown) => {
            parts.onFault(error);
            call.breakOff();
        });
    };

    const server = http.createServer({ noDelay: true, connectionsCheckingInterval: checkConnectionsMs, requestTimeout: 0 });
    server.on("request", (request, response) => {
        onRequest(request, response, () => undefined);
    });
    server.on("checkContinue", (request, response) => {
        onRequest(request, response, () => {
            response.writeContinue();
        });
    });
    server.on("clientError", answerBadBytes);
    applyLimits(server, limits);

    return {
        listen: (address) => {
            const [host, port] = address.split(":");
            return new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen(Number(port), host, resolve);
            });
        },
        setLimits: (of) => {
            limits = of;
            applyLimits(server, of);
        },
        startClosing: () => {
            closing = true;
        },
        stopTaking: () => {
            server.close();
        },
        pending: () => pending,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

/**
 * Lets the event loop look at its sockets once more. On a host that lags behind, a client may have left before its request
 * is read, and its leaving is then read in the next turn.
 */
async function twoTurns(): Promise<void> {
    await nextTurn();
    await nextTurn();
}

function applyLimits(server: Server & { maxHeaderSize?: number }, limits: ClientLimits): void {
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.maxHeaderSize = limits.maxHeaderBytes + headerSlackBytes;
}

function answerBadBytes(error: Error & { code?: string }, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const status = statusByParserError[error.code ?? ""] ?? 400;
    socket.end(`HTTP/1.1 ${String(status)} ${http.STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

interface CallParts {
    request: IncomingMessage;
    response: ServerResponse;
    parts: ClientHttpParts;
    limits: ClientLimits;
    beforeRead: () => void;
    isClosing: () => boolean;
}

function createClientCall({ request, response, parts, limits, beforeRead, isClosing }: CallParts): ClientCall {
    const path = request.url ?? "/";
    const dialect = parts.dialects.find((one) => one.claims(path, request.headers)) as ClientDialect;
    const terms = dialect.termsOf(path, request.headers);
    const left = new AbortController();
    const onLeft = () => {
        left.abort(abortReason);
    };
    // The runtime closes the response only some turns after it has read the end of the client's connection.
    request.socket.once("end", onLeft);
    response.once("close", () => {
        request.socket.off("end", onLeft);
        if (!response.writableFinished) {
            onLeft();
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
        receivedAt: parts.clock.now(),
        forwardHeaders: withoutHopByHop(request.rawHeaders, dialect.ownHeaders),
        body: createRequestBody(request, limits.maxBodyBytes, beforeRead),
        left: left.signal,
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
        breakOff: () => {
            request.socket.destroy();
        },
    };
}

function bodyOfRefusal({ reason, retryAfterMs }: Refusal): object {
    return { reason, ...retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) } };
}
