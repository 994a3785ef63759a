/** Answers to input of clients that is not passed on: requests that this host does not accept, and input that its parser can't read. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { ClientLimits } from "../model/routing.js";
import { abortReason } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { ClientConnection, Denial, DenialReason, ParserError } from "./clientConnection.js";
import {
    addExchange, denialReasonOf, excerptOf, removeExchange, statusByDenial, summarizeConnection,
} from "./clientConnection.js";
import { endWithDenial } from "./connectionEnd.js";

/** Code of the error that Node.js reports for a header section that is not complete in time. */
const headerTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Dependencies of the denials. */
export interface InputDenialsDependencies {
    clock: Clock;
    connectionOf: (socket: Socket) => ClientConnection;
    /** Limits that are applied. */
    limits: () => ClientLimits;
    /** Limits of the configuration in force; undefined while they are not known for certain. */
    confirmedLimits: () => ClientLimits | undefined;
    /** Called for each denial. */
    onDenied: (denial: Denial) => void;
}

/** Denies input of clients. */
export interface InputDenials {
    /** Answers a request with a valid header section that this host does not accept; the connection ends with the answer. */
    deny(request: IncomingMessage, response: ServerResponse, reason: DenialReason): void;
    /** Answers input that is no request, after the responses that are due, and ends the connection. */
    denyInput(connection: ClientConnection, reason: DenialReason, details: Partial<Denial>): void;
    /** Handles an error of the parser. */
    onParserError(error: ParserError, socket: Socket): void;
}

/** Creates the denials of a listener. */
export function createInputDenials({ clock, connectionOf, limits, confirmedLimits, onDenied }: InputDenialsDependencies): InputDenials {
    const nowMs = () => clock.now().monoMs;

    const recordDenial = (connection: ClientConnection, reason: DenialReason, details: Partial<Denial>) => {
        onDenied({
            reason, status: statusByDenial[reason], maxHeaderBytes: limits().maxHeaderBytes,
            connection: summarizeConnection(connection, connection.requestCount, nowMs()),
            ...details,
        });
    };

    const denyInput = (connection: ClientConnection, reason: DenialReason, details: Partial<Denial>) => {
        if (connection.input === "open" && connection.socket.writable) {
            connection.input = "denied";
            recordDenial(connection, reason, details);
            void endWithDenial(connection, reason);
        }
    };

    const denyAfterError = (connection: ClientConnection, error: ParserError) => {
        denyInput(connection, denialReasonOf(error, connection, confirmedLimits()), { parserCode: error.code, excerpt: excerptOf(error) });
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
            await clock.sleep(connection.openedMs + limits().idleTimeoutMs - nowMs(), closed.signal);
            if (socket.bytesRead === 0) {
                socket.end();
            }
            return;
        }
        if (socket.bytesRead > bytesRead && connection.requestCount === requestCount) {
            await clock.sleep(limits().headerTimeoutMs, closed.signal);
        }
        if (connection.requestCount === requestCount) {
            denyAfterError(connection, error);
        }
    };

    return {
        deny: (request, response, reason) => {
            const connection = connectionOf(request.socket);
            if (connection.input !== "open") {
                return;
            }
            recordDenial(connection, reason, {});
            const exchange = { request, response };
            addExchange(connection, exchange);
            response.once("close", () => {
                removeExchange(connection, exchange);
            });
            // The client may hold back a body, or send it, so the next request could not be told from it.
            connection.input = "ended";
            response.shouldKeepAlive = false;
            response.writeHead(statusByDenial[reason]);
            response.end();
        },
        denyInput,
        onParserError: (error, socket) => {
            const connection = connectionOf(socket);
            // The parser reports its error again for any further input, and at its end.
            const hasClientLeft = connection.input !== "open" && socket.readableEnded;
            if (error.code === "ECONNRESET" || !socket.writable || hasClientLeft) {
                socket.destroy();
            }
            else if (error.code === headerTimeoutCode) {
                void onHeaderTimeout(connection, error);
            }
            else {
                denyAfterError(connection, error);
            }
        },
    };
}

/** Returns why the header section is denied, although the parser accepts it. */
export function denialReasonOfHeaders({ httpVersion, headers, rawHeaders }: IncomingMessage): DenialReason | undefined {
    if (rawHeaders.some((name, index) => index % 2 === 0 && name.endsWith(" "))) {
        // A target might take the field for another one than this host does (RFC 9112, section 5.1).
        return "malformed";
    }
    return httpVersion === "1.1" && headers.host === undefined ? "no-host-header" : undefined;
}

/** Waits two turns of the event loop, so that it polls its sockets once more and reads what has arrived meanwhile. */
async function waitTwoTurns(): Promise<void> {
    await nextTurn();
    await nextTurn();
}
