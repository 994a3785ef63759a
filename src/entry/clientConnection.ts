/** One connection of a client: its state, what log lines tell of it, and why input on it is denied. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientLimits } from "../model/routing.js";
import type { ClientHoldings, ConnectionProgress } from "./clientAccount.js";
import type { InputGate } from "./inputGate.js";

/** Bytes shown in log lines before and after the position at which the parser stopped. */
const excerptBytesBefore = 32;
const excerptBytesAfter = 32;

/** What log lines tell of a client's connection. */
export interface ConnectionSummary {
    /** IP address and port of the client. */
    clientAddress: string;
    /** Requests received on the connection before this one. */
    earlierRequestCount: number;
    receivedBytes: number;
    openForMs: number;
    /** Limit on the header section in force when the connection was opened; the parser of the connection keeps it. */
    openedWithMaxHeaderBytes: number;
}

/** Why input on a connection is answered by the listener, without a `ClientCall`. */
export type DenialReason =
    /** The parser rejected the input; `malformed` also if a field's name ends with a space, which the parser accepts. */
    | "malformed" | "header-too-large" | "header-late"
    /** Framing beyond the limit, see `RequestFraming`; input whose framing the parser reads otherwise than this host. */
    | "excess-framing" | "misframed"
    /** The client ended its side in the middle of a request. */
    | "incomplete"
    /** The header section is too long for this connection, but not known to be too long. It was not read, so the request did not run. */
    | "limits-unknown" | "limit-raised"
    /** A request whose method the parser does not know, though the protocol allows it. */
    | "unknown-method"
    /** The header section is valid, but no request that this host accepts. */
    | "no-host-header" | "unknown-expectation";

/** An answer of the listener to input that it does not accept as a request. */
export interface Denial {
    reason: DenialReason;
    status: number;
    connection: ConnectionSummary;
    /** Limit on the header section in force now. */
    maxHeaderBytes: number;
    /** Error code of the parser. */
    parserCode?: string | undefined;
    /** Number of chunks of the body that had arrived, if its framing is to blame. */
    pieceCount?: number;
    /** Printable form of a few bytes around the position at which the parser stopped. */
    excerpt?: string | undefined;
}

/** Error of the HTTP parser, or of the socket. */
export interface ParserError extends Error {
    code?: string;
    /** Bytes given to the parser. */
    rawPacket?: Buffer;
    /** Number of these bytes that it accepted. */
    bytesParsed?: number;
}

/** A request and its response. */
export interface HttpExchange {
    request: IncomingMessage;
    response: ServerResponse;
    /** Breaks off a body of which nothing was sent to a target; returns false if there is none. */
    breakOffBody?: () => boolean;
}

/**
 * What becomes of further input: it is read; it is ignored, and the connection ends with the answer to the request received last; it is
 * ignored, and a denial follows the answers that are due.
 */
export type InputState = "open" | "ended" | "denied";

/** State of one connection. */
export interface ClientConnection {
    readonly socket: Socket;
    /** Kept for log lines, since a closed socket no longer knows it. */
    readonly clientAddress: string;
    readonly openedMs: number;
    readonly openedWithMaxHeaderBytes: number;
    requestCount: number;
    /** Requests whose responses are not complete, in the order of their arrival. */
    readonly exchanges: Set<HttpExchange>;
    /** The request received last, until its response is complete and its body has arrived. */
    lastExchange: HttpExchange | undefined;
    /** What is held for the connection. */
    holdings: ClientHoldings;
    /** Undefined until the connection is open. */
    gate: InputGate | undefined;
    /** The requests received before the input ends are still answered. See `connectionEnd.ts`. */
    input: InputState;
}

/** HTTP status of each denial. */
export const statusByDenial: Record<DenialReason, number> = {
    "malformed": 400,
    "header-too-large": 431,
    "header-late": 408,
    "excess-framing": 400,
    "misframed": 400,
    "incomplete": 400,
    "limits-unknown": 503,
    "limit-raised": 503,
    "unknown-method": 501,
    "no-host-header": 400,
    "unknown-expectation": 417,
};

/** Reasons by the parser's error code; any other code means `malformed`. */
const denialByParserCode: Record<string, DenialReason> = {
    "HPE_HEADER_OVERFLOW": "header-too-large",
    "ERR_HTTP_REQUEST_TIMEOUT": "header-late",
    "HPE_INVALID_EOF_STATE": "incomplete",
    "HPE_INVALID_METHOD": "unknown-method",
};

/** A request line, and the beginning of one, with any method. */
const requestLine = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+ [^ ]+ HTTP\/1\.[01]$/;
const requestLineStart = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+(?: [^ ]*(?: [HTP/1.0]{0,8})?)?$/;

/**
 * Returns why input that the parser rejected is denied.
 * @param limits limits in force; undefined if they are not known
 */
export function denialReasonOf(error: ParserError, connection: ClientConnection, limits: ClientLimits | undefined): DenialReason {
    const reason = denialByParserCode[error.code ?? ""] ?? "malformed";
    if (reason === "unknown-method") {
        return isAtRequestLine(error) ? reason : "malformed";
    }
    if (reason !== "header-too-large") {
        return reason;
    }
    if (limits === undefined) {
        return "limits-unknown";
    }
    return connection.openedWithMaxHeaderBytes < limits.maxHeaderBytes ? "limit-raised" : reason;
}

/** Tells whether the parser stopped in a request line, as far as it has arrived. */
function isAtRequestLine({ rawPacket, bytesParsed = 0 }: ParserError): boolean {
    const text = rawPacket?.toString("latin1") ?? "";
    const [line = "", ...others] = text.slice(text.lastIndexOf("\n", bytesParsed - 1) + 1).split("\r\n", 2);
    return (others.length > 0 ? requestLine : requestLineStart).test(line);
}

/**
 * Creates the state of a connection.
 * @param socket the connection
 * @param maxHeaderBytes limit on the header section that its parser applies
 * @param nowMs current monotonic time
 * @param holdings what is held for the connection
 */
export function createClientConnection(
    socket: Socket, maxHeaderBytes: number, nowMs: number, holdings: ClientHoldings,
): ClientConnection {
    return {
        socket, holdings, gate: undefined, openedMs: nowMs, openedWithMaxHeaderBytes: maxHeaderBytes,
        requestCount: 0, exchanges: new Set(), lastExchange: undefined, input: "open",
        clientAddress: `${socket.remoteAddress ?? ""}:${String(socket.remotePort ?? "")}`,
    };
}

/**
 * Describes a connection for a log line.
 * @param earlierRequestCount number of requests received before the one that the line is about
 * @param nowMs current monotonic time
 */
export function summarizeConnection(connection: ClientConnection, earlierRequestCount: number, nowMs: number): ConnectionSummary {
    const { socket, clientAddress, openedMs, openedWithMaxHeaderBytes } = connection;
    return {
        clientAddress, openedWithMaxHeaderBytes, earlierRequestCount,
        receivedBytes: socket.bytesRead, openForMs: Math.round(nowMs - openedMs),
    };
}

/** Reads what the client of a connection has to do next, and how far it is. */
export function progressOf({ socket, lastExchange, exchanges, input }: ClientConnection): ConnectionProgress {
    const isInputEnded = input !== "open";
    const isPaused = socket.isPaused();
    if (socket.writableLength > 0) {
        return { duty: "response", progressBytes: socket.bytesWritten - socket.writableLength, isPaused };
    }
    if (lastExchange?.request.complete === false && !isInputEnded) {
        return { duty: "body", progressBytes: socket.bytesRead, isPaused };
    }
    return { duty: (isInputEnded && exchanges.size === 0) || socket.writableEnded ? "close" : "none", progressBytes: 0, isPaused };
}

/** Adds a request to its connection. */
export function addExchange(connection: ClientConnection, exchange: HttpExchange): void {
    connection.requestCount += 1;
    connection.lastExchange = exchange;
    connection.exchanges.add(exchange);
}

/** Removes a request whose response is complete, or broken off. */
export function removeExchange(connection: ClientConnection, exchange: HttpExchange): void {
    connection.exchanges.delete(exchange);
    if (connection.lastExchange === exchange && exchange.request.complete) {
        connection.lastExchange = undefined;
    }
}

/** Returns the bytes around the position at which the parser stopped, each byte that is not printable as `\xNN`. */
export function excerptOf({ rawPacket, bytesParsed = 0 }: ParserError): string | undefined {
    return rawPacket?.subarray(Math.max(0, bytesParsed - excerptBytesBefore), bytesParsed + excerptBytesAfter).toString("latin1")
        .replace(/[^ -~]/g, (character) => `\\x${character.charCodeAt(0).toString(16).padStart(2, "0")}`);
}
