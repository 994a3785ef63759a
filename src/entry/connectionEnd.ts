/**
 * Decides when a client's connection ends, whatever the reason: a stop of this host, a refusal, a timeout, a limit, or input that is no
 * request. What was read is answered first, in order. An answer asks the client to close only if no other one follows it, since a client
 * sends again what it has sent behind such an answer; from then on nothing more is read.
 */
import type { ServerResponse } from "node:http";
import http from "node:http";
import { Socket } from "node:net";
import type { CloseReason } from "./clientAccount.js";
import type { ClientConnection, DenialReason, HttpExchange } from "./clientConnection.js";
import { statusByDenial } from "./clientConnection.js";

/** Time in seconds after which the same request may succeed on another connection. */
const retryAfterSeconds: Partial<Record<DenialReason, number>> = {
    "limits-unknown": 1,
    "limit-raised": 0,
};

/**
 * Decides, when the head of an answer is written, whether the connection ends with it. If so, nothing more is read from then on.
 * @param exchange the request that is answered
 * @param isStopping true once this host has begun to stop
 */
export function decideClose(connection: ClientConnection, exchange: HttpExchange, isStopping: boolean): boolean {
    if (connection.input === "denied") {
        return false;
    }
    const isAskedByClient = !exchange.response.shouldKeepAlive;
    const isDue = isStopping || connection.input === "ended";
    if (isAskedByClient || (isDue && isLast(connection, exchange))) {
        connection.input = "ended";
        return true;
    }
    return false;
}

/** Tells whether nothing that was read on the connection waits behind a request. */
function isLast({ exchanges, gate, input }: ClientConnection, exchange: HttpExchange): boolean {
    return [...exchanges].at(-1) === exchange && (input === "ended" || gate?.holdsInput !== true);
}

/**
 * Ends a connection of a host that stops: at once if nothing was read that is not answered, otherwise with its last answer. One that was
 * not used yet stays open, since its first request may be on its way.
 */
export function endForStop(connection: ClientConnection): void {
    const { exchanges, lastExchange, gate, input, requestCount, socket } = connection;
    if (input !== "open" || gate?.holdsInput === true) {
        return;
    }
    if (exchanges.size > 0) {
        connection.input = "ended";
    }
    else if (requestCount > 0 && lastExchange === undefined && gate?.isInHead !== true) {
        socket.destroySoon();
    }
}

/** Called when an answer is complete: ends the connection if its last answer could not ask the client to close it. */
export function endIfAnswered({ exchanges, lastExchange, input, socket }: ClientConnection): void {
    if (input === "ended" && exchanges.size === 0 && lastExchange === undefined) {
        socket.destroySoon();
    }
}

/**
 * Ends a connection that has reached a limit. The request received last is refused if its body has stopped, or if no earlier answer is due;
 * otherwise the connection is cut: its client doesn't take the answers that are due, or what they hold is needed.
 */
export function endForLimit(connection: ClientConnection, reason: CloseReason): void {
    const { exchanges, lastExchange, input } = connection;
    const isRefusable = reason === "body-stalled" || exchanges.size === 1;
    if (lastExchange === undefined || input !== "open" || !isRefusable) {
        cutConnection(connection);
        return;
    }
    connection.input = "ended";
    if (lastExchange.breakOffBody?.() !== true) {
        breakOffAnswer(connection, lastExchange);
    }
}

/** Ends a connection with an answer that can't be completed. It ends in the middle of that answer, or in its place. */
export function breakOffAnswer(connection: ClientConnection, exchange: HttpExchange): void {
    if (isItsTurn(connection, exchange)) {
        cutConnection(connection);
        return;
    }
    connection.input = "ended";
    void earlierAnswered(connection, exchange).then(() => {
        cutConnection(connection);
    });
}

/**
 * Cuts a connection, whatever is due on it. In HTTP/1.0 an answer without a length ends with its connection, so an orderly end in the
 * middle of an answer would pass for its end; the client gets a reset.
 */
export function cutConnection({ exchanges, socket }: ClientConnection): void {
    const [current] = exchanges;
    if (current?.response.headersSent === true && current.request.httpVersion === "1.0") {
        socket.resetAndDestroy();
    }
    else {
        socket.destroy();
    }
}

/** Tells whether all answers before that of a request are complete. */
function isItsTurn({ exchanges }: ClientConnection, exchange: HttpExchange): boolean {
    const [first] = exchanges;
    return first === exchange || !exchanges.has(exchange);
}

/** Resolves once all answers before that of a request are complete, or the connection is closed. */
export async function earlierAnswered({ exchanges }: ClientConnection, exchange: HttpExchange): Promise<void> {
    const all = [...exchanges];
    await waitForClose(all.slice(0, Math.max(0, all.indexOf(exchange))));
}

async function waitForClose(exchanges: readonly HttpExchange[]): Promise<void> {
    await Promise.all(exchanges.map(({ response }) => new Promise((resolve) => {
        response.once("close", resolve);
    })));
}

/**
 * Answers input that is not a valid request, and closes the connection. Responses to the complete requests that came before it go first,
 * since a client takes the next response for the answer to its oldest request.
 */
export async function endWithDenial(connection: ClientConnection, reason: DenialReason): Promise<void> {
    const { socket, exchanges, lastExchange } = connection;
    const isInBody = lastExchange?.request.complete === false;
    const earlier = [...exchanges].filter((exchange) => !isInBody || exchange !== lastExchange);
    if (earlier.length > 0 && socket.readableEnded) {
        socket.destroy();
        return;
    }
    await waitForClose(earlier);
    if (isInBody && lastExchange.response.headersSent) {
        // No second response to the same request; one that is not complete breaks off.
        endWithoutStatus(connection, lastExchange.response);
    }
    else if (socket.writable) {
        writeDenial(socket, reason);
    }
}

function endWithoutStatus(connection: ClientConnection, response: ServerResponse): void {
    if (response.writableFinished) {
        connection.socket.end();
    }
    else {
        cutConnection(connection);
    }
}

/** Writes the response to denied input on a connection on which no other response may follow, and closes it. */
function writeDenial(socket: Socket, reason: DenialReason): void {
    const status = statusByDenial[reason];
    const retryAfter = retryAfterSeconds[reason];
    socket.end([
        `HTTP/1.1 ${String(status)} ${http.STATUS_CODES[status] ?? ""}`,
        "Connection: close", "Content-Length: 0",
        ...retryAfter === undefined ? [] : [`Retry-After: ${String(retryAfter)}`],
        "\r\n",
    ].join("\r\n"));
}

/** Tells the requests of a closed connection of its end whose responses wait for earlier ones; Node.js does so for the first only. */
export function endQueuedResponses({ exchanges }: ClientConnection): void {
    for (const { response } of [...exchanges]) {
        if (!(response.socket instanceof Socket)) {
            response.emit("close");
        }
    }
}
