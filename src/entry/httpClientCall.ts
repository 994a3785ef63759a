/** One request on an HTTP/1.1 connection, and its response. */
import type { IncomingMessage, ServerResponse } from "node:http";
import http from "node:http";
import type { ClientDialect } from "./clientDialect.js";
import { withoutHopByHop } from "./hopByHop.js";
import type { ClientLimits } from "../model/routing.js";
import { abortReason } from "../model/signal.js";
import type { Instant } from "../model/time.js";
import type { AnswerHead, ClientCall, Refusal } from "./clientCall.js";
import type { ConnectionSummary } from "./clientConnection.js";
import { statusByReason } from "./refusalStatus.js";
import { createRequestBody } from "./requestBody.js";
import { parseRequestTarget, withHostOf } from "./requestTarget.js";

/** What a call is created from. */
export interface HttpClientCallDependencies {
    request: IncomingMessage;
    response: ServerResponse;
    /** The first one that matches the request is used; the last one must match every request. */
    dialects: readonly ClientDialect[];
    receivedAt: Instant;
    limits: ClientLimits;
    /** Called once, before the body is read. */
    beforeRead: () => void;
    /** Called when the head of an answer is written; returns whether the connection ends with that answer. */
    endsConnection: () => boolean;
    /** Ends the connection with an answer that can't be completed. */
    breakOffAnswer: () => void;
    /** Resolves once all earlier answers on the connection are complete, or it is closed. */
    earlierAnswered: () => Promise<void>;
    describeConnection: () => ConnectionSummary;
    /** Called with changes of the number of bytes that are held for the request. */
    onHeld: (bytes: number) => void;
}

/** A call whose body can be broken off by the listener. */
export interface HttpClientCall extends ClientCall {
    /** See `ConnectionBody.breakOff`. */
    breakOffBody(): boolean;
}

/** Creates the call for a request. */
export function createHttpClientCall({
    request, response, dialects, receivedAt, limits, beforeRead, endsConnection, breakOffAnswer, earlierAnswered,
    describeConnection, onHeld,
}: HttpClientCallDependencies): HttpClientCall {
    const target = parseRequestTarget(request.url ?? "/", request.headers.host);
    const { path, hostName } = target;
    const dialect = dialects.find((candidate) => candidate.matches(path, request.headers)) as ClientDialect;
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

    const body = createRequestBody(request, limits.maxBodyBytes, beforeRead, onHeld);
    if (body.declaredBytes !== 0) {
        response.once("finish", () => {
            void body.discardRest();
        });
    }

    const writeAnswerHead = (head: AnswerHead) => {
        writeHead({ ...head, rawHeaders: [...head.rawHeaders, ...dialect.headersOfAnswer(terms.requestId)] });
    };

    const writeHead = ({ status, reasonPhrase, rawHeaders, bodyBytes }: AnswerHead) => {
        response.shouldKeepAlive = !endsConnection();
        const length = bodyBytes === undefined ? [] : ["Content-Length", String(bodyBytes)];
        response.writeHead(status, reasonPhrase, [...rawHeaders, ...length]);
    };

    // Listed one by one: an object that begins with a copy of another one is built slowly, and this one is built for each request.
    return {
        requestId: terms.requestId,
        budgetMs: terms.budgetMs,
        key: terms.key,
        method: request.method ?? "GET",
        path,
        statedKey: () => dialect.statedKeyOf?.(path, request.headers),
        hostName,
        receivedAt,
        forwardHeaders: withoutHopByHop(withHostOf(target, request.rawHeaders), dialect.unforwardedHeaders),
        body,
        callerAddress: request.socket.remoteAddress,
        clientLeft: clientLeft.signal,
        describeConnection,
        refuse: (refusal) => {
            const status = statusByReason[refusal.reason];
            const refusalBody = Buffer.from(JSON.stringify(bodyOfRefusal(refusal)));
            writeHead({
                status,
                reasonPhrase: http.STATUS_CODES[status] ?? "",
                rawHeaders: ["Content-Type", "application/json", ...dialect.headersOfRefusal(terms.requestId, refusal)],
                bodyBytes: refusalBody.length,
            });
            response.end(refusalBody);
        },
        answer: (head, answerBody) => {
            onHeld(answerBody.length);
            writeAnswerHead(head);
            response.end(answerBody);
        },
        awaitTurn: earlierAnswered,
        beginAnswer: writeAnswerHead,
        writeAnswer: async (piece) => {
            onHeld(piece.length);
            await writeCompletely(response, piece);
            onHeld(-piece.length);
        },
        finishAnswer: () => {
            response.end();
        },
        abortAnswer: breakOffAnswer,
        breakOffBody: body.breakOff,
    };
}

/** Writes a piece of a body; resolves when all of it has been written, or the connection is closed. */
function writeCompletely(response: ServerResponse, piece: Buffer): Promise<void> {
    return new Promise((resolve) => {
        const end = () => {
            response.off("close", end);
            resolve();
        };
        response.on("close", end);
        response.write(piece, end);
    });
}

function bodyOfRefusal({ reason, retryAfterMs }: Refusal): object {
    return { reason, ...retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) } };
}
