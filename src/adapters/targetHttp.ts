/** Targets that own no keys, over HTTP. */
import { createHash } from "node:crypto";
import http from "node:http";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { TargetAnswer, TargetCall, TargetPort } from "../entry/targetPort.js";
import type { HttpAnswer } from "./httpJson.js";
import { callHttp } from "./httpJson.js";

const idleSocketMs = 10_000;

/** Headers that tie an answer to its request; docs/INTERFACE.md describes them for targets. */
export const targetHeaders = {
    requestId: "hornbeam-request-id",
    timeoutMs: "hornbeam-timeout-ms",
    digest: "hornbeam-digest",
    refused: "hornbeam-refused",
    retryAfterMs: "hornbeam-retry-after-ms",
} as const;

/**
 * Creates the port to unkeyed targets.
 * @param maxConnections connections that this host may hold to one target
 * @returns the port
 */
export function createTargetHttp(maxConnections: () => number): TargetPort {
    const agents = new Map<string, http.Agent>();
    const agentOf = (address: string): http.Agent => {
        const agent = agents.get(address)
            ?? new http.Agent({ keepAlive: true, maxSockets: maxConnections(), scheduling: "lifo", timeout: idleSocketMs });
        agents.set(address, agent);
        return agent;
    };
    return {
        call: async (target, address, call) => {
            const answer = await callHttp({
                method: call.method,
                url: `http://${address}${call.path}`,
                payload: call.method === "POST" ? call.body : undefined,
                headers: { [targetHeaders.requestId]: call.requestId, [targetHeaders.timeoutMs]: String(Math.ceil(call.timeoutMs)) },
                agent: agentOf(address),
                timeoutMs: call.timeoutMs,
                maxAnswerBytes: call.maxAnswerBytes,
                step: call.method === "POST" ? "write" : "bulk",
                peer: target,
            });
            if (answer.isErr()) {
                agents.get(address)?.destroy();
                agents.delete(address);
            }
            return answer.andThen((whole) => check(target, call, whole));
        },
    };
}

function check(target: string, call: TargetCall, { status, headers, body }: HttpAnswer): Result<TargetAnswer, Failure> {
    const step = call.method === "POST" ? "write" : "bulk";
    if (headers[targetHeaders.requestId] !== call.requestId) {
        return err(failure("invalid", step, target, "the answer belongs to another request"));
    }
    if (headers[targetHeaders.digest] !== createHash("sha256").update(body).digest("hex")) {
        return err(failure("invalid", step, target, "the answer is not whole"));
    }
    const refused = headers[targetHeaders.refused];
    return ok({
        status, body,
        contentType: headers["content-type"] ?? "application/octet-stream",
        refused: refused === "shedding" || refused === "draining" ? refused : undefined,
        retryAfterMs: Number(headers[targetHeaders.retryAfterMs] ?? 0),
    });
}
