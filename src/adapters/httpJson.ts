/** JSON over HTTP with wreck, and what its errors prove about the request. */
import type http from "node:http";
import Wreck from "@hapi/wreck";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure, Step } from "../model/failure.js";
import { failure } from "../model/failure.js";

/** One call. */
export interface HttpCall {
    method: "GET" | "POST";
    url: string;
    payload?: object | string;
    headers?: Record<string, string>;
    agent?: http.Agent;
    timeoutMs: number;
    maxAnswerBytes: number;
    step: Step;
    peer: string;
}

/** A whole HTTP answer. */
export interface HttpAnswer {
    status: number;
    headers: http.IncomingHttpHeaders;
    body: Buffer;
}

/** Errors of the socket that arise before any byte of the request is sent. */
const unsentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "EHOSTDOWN",
]);

/**
 * Calls and reads the whole answer.
 * @param call what to ask whom
 * @returns the answer, or a failure: `unreachable` when nothing was sent, `lost` when that is not certain
 */
export async function callHttp(call: HttpCall): Promise<Result<HttpAnswer, Failure>> {
    try {
        const response = await Wreck.request(call.method, call.url, {
            payload: typeof call.payload === "object" ? JSON.stringify(call.payload) : call.payload,
            headers: { "content-type": "application/json", ...call.headers },
            agent: call.agent,
            timeout: Math.max(1, Math.ceil(call.timeoutMs)),
        });
        const body = await Wreck.read(response, { timeout: Math.max(1, Math.ceil(call.timeoutMs)), maxBytes: call.maxAnswerBytes });
        return ok({ status: response.statusCode ?? 0, headers: response.headers, body });
    }
    catch (error) {
        return err(toFailure(error, call));
    }
}

/**
 * Calls and reads a JSON answer of status 200.
 * @param call what to ask whom
 * @returns the parsed answer, or a failure; another status counts as `refused`
 */
export async function callJson<T>(call: HttpCall): Promise<Result<T, Failure>> {
    const answer = await callHttp(call);
    return answer.andThen(({ status, body }) => {
        if (status !== 200) {
            return err(failure("refused", call.step, call.peer, `status ${String(status)}: ${body.toString().slice(0, 200)}`));
        }
        return parseJson<T>(body.toString(), call);
    });
}

function parseJson<T>(text: string, call: HttpCall): Result<T, Failure> {
    try {
        return ok(JSON.parse(text) as T);
    }
    catch {
        return err(failure("invalid", call.step, call.peer, "the answer is not JSON"));
    }
}

function toFailure(error: unknown, call: HttpCall): Failure {
    const cause = error as { code?: string; message?: string; data?: { code?: string } };
    const code = cause.code ?? cause.data?.code ?? "";
    const kind = unsentCodes.has(code) ? "unreachable" : "lost";
    return failure(kind, call.step, call.peer, cause.message ?? "unknown error");
}
