/** The callers' interface over HTTP, as docs/INTERFACE.md describes it. */
import http from "node:http";
import Hapi from "@hapi/hapi";
import type { Request, ResponseToolkit, ResponseObject, Lifecycle } from "@hapi/hapi";
import type { NotRunOutcome, Outcome, RefusalReason, UnknownOutcome } from "../model/work.js";
import type { BadRequest, EntryService } from "./service.js";
import type { UnkeyedOutcome } from "./unkeyedRouter.js";

const payloadTimeoutMs = 10_000;
const keepAliveMs = 65_000;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;

/** Header names of the callers' interface. */
export const callerHeaders = {
    orderId: "hornbeam-order-id",
    deadline: "hornbeam-deadline",
    outcome: "hornbeam-outcome",
    retryAfterMs: "hornbeam-retry-after-ms",
    server: "hornbeam-server",
} as const;

const statusByReason: Partial<Record<RefusalReason, number>> = {
    "bad-request": 400,
    "deadline": 408,
    "id-ahead": 400,
    "limit": 429,
    "queue-full": 429,
    "window-full": 429,
};
const notRunStatus = 503;
const unknownStatus = 504;

/** Bounds on callers' input, in bytes and connections. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    maxConnections: number;
}

/**
 * Listens for callers.
 * @param address IP number and port
 * @param service serves the requests
 * @param limits bounds that hold before a request is parsed
 * @returns the HTTP server, not started yet
 */
export function createCallerHttp(address: string, service: EntryService, limits: CallerLimits): Hapi.Server {
    const [host, port] = address.split(":");
    const server = Hapi.server({
        host,
        port: Number(port),
        listener: createListener(limits),
        routes: { payload: { parse: false, output: "data", maxBytes: limits.maxBodyBytes, timeout: payloadTimeoutMs } },
    });
    server.route([
        { method: "GET", path: "/v1/{institution}/{pool}/keys/{key}", handler: keyedHandler(service, "read") },
        { method: "POST", path: "/v1/{institution}/{pool}/keys/{key}/orders", handler: keyedHandler(service, "order") },
        { method: "GET", path: "/v1/{institution}/{pool}/lists/{list*}", handler: unkeyedHandler(service, "bulk") },
        { method: "POST", path: "/v1/{institution}/{pool}/meter-reads", handler: unkeyedHandler(service, "write") },
    ]);
    server.ext("onPreResponse", toRefusal);
    return server;
}

function createListener(limits: CallerLimits): http.Server {
    const listener = http.createServer({
        maxHeaderSize: limits.maxHeaderBytes,
        keepAliveTimeout: keepAliveMs,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
    });
    listener.maxConnections = limits.maxConnections;
    return listener;
}

function keyedHandler(service: EntryService, kind: "read" | "order"): Lifecycle.Method {
    return async (request, h) => {
        const deadlineWallMs = deadlineOf(request);
        if (Number.isNaN(deadlineWallMs)) {
            return badRequestResponse(h, deadlineMessage);
        }
        const { institution, pool, key } = request.params as Record<"institution" | "pool" | "key", string>;
        const orderId = request.headers[callerHeaders.orderId] as string | undefined;
        const outcome = await service.serveKeyed({ institution, pool, key, kind, orderId, deadlineWallMs, body: bodyOf(request) });
        return keyedResponse(h, outcome);
    };
}

function unkeyedHandler(service: EntryService, kind: "bulk" | "write"): Lifecycle.Method {
    return async (request, h) => {
        const deadlineWallMs = deadlineOf(request);
        if (Number.isNaN(deadlineWallMs)) {
            return badRequestResponse(h, deadlineMessage);
        }
        const { institution, pool, list } = request.params as Record<"institution" | "pool" | "list", string>;
        const path = kind === "bulk" ? `/lists/${encodeURIComponent(list)}` : "/meter-reads";
        const outcome = await service.serveUnkeyed({ institution, pool, kind, path, deadlineWallMs, body: bodyOf(request) });
        return unkeyedResponse(h, outcome);
    };
}

const deadlineMessage = `${callerHeaders.deadline} is not a time such as 2026-12-03T22:00:00.000Z`;

/** Undefined when the caller names no deadline; NaN when it is not a time. */
function deadlineOf(request: Request): number | undefined {
    const text = request.headers[callerHeaders.deadline] as string | undefined;
    return text === undefined ? undefined : Date.parse(text);
}

function bodyOf(request: Request): string {
    return Buffer.isBuffer(request.payload) ? request.payload.toString("utf8") : "";
}

function keyedResponse(h: ResponseToolkit, outcome: Outcome | BadRequest): ResponseObject {
    if (outcome.outcome === "done") {
        return h.response(outcome.body).type("application/json").code(outcome.status)
            .header(callerHeaders.outcome, "done").header(callerHeaders.server, outcome.server);
    }
    return outcome.outcome === "bad-request" ? badRequestResponse(h, outcome.message) : refusalResponse(h, outcome);
}

function unkeyedResponse(h: ResponseToolkit, outcome: UnkeyedOutcome | BadRequest): ResponseObject {
    if (outcome.outcome === "done") {
        const { status, body, contentType } = outcome.answer;
        return h.response(body).type(contentType).code(status)
            .header(callerHeaders.outcome, "done").header(callerHeaders.server, outcome.target);
    }
    return outcome.outcome === "bad-request" ? badRequestResponse(h, outcome.message) : refusalResponse(h, outcome);
}

function badRequestResponse(h: ResponseToolkit, message: string, status = 400): ResponseObject {
    return h.response({ outcome: "not-run", reason: "bad-request", message }).code(status).header(callerHeaders.outcome, "not-run");
}

function refusalResponse(h: ResponseToolkit, refusal: NotRunOutcome | UnknownOutcome): ResponseObject {
    const status = refusal.outcome === "unknown" ? unknownStatus : statusByReason[refusal.reason] ?? notRunStatus;
    const response = h.response(refusal).code(status).header(callerHeaders.outcome, refusal.outcome);
    if (refusal.retryAfterMs === undefined) {
        return response;
    }
    const retryAfterMs = Math.ceil(refusal.retryAfterMs);
    return response
        .header("retry-after", String(Math.ceil(retryAfterMs / 1_000)))
        .header(callerHeaders.retryAfterMs, String(retryAfterMs));
}

/** Errors of the HTTP library arise before the service sees the request, so nothing ran. */
function toRefusal(request: Request, h: ResponseToolkit): ResponseObject | symbol {
    const response = request.response;
    if (!("isBoom" in response)) {
        return h.continue;
    }
    const { statusCode, payload } = response.output;
    const served = statusCode >= 500;
    return served
        ? h.response({ outcome: "unknown", reason: "lost" }).code(statusCode).header(callerHeaders.outcome, "unknown")
        : badRequestResponse(h, payload.message, statusCode);
}
