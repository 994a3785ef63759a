/** Port to the servers that own keys, and the check of what they answer. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Fence, Incarnation, TargetId } from "../model/ids.js";
import type { Failure, Step } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { ServerWork } from "../model/work.js";
import type { HeartbeatReply, HeartbeatRequest } from "../ownership/messages.js";

/** A server's answer to a piece of work. */
export interface ServerAnswer {
    requestId: string;
    fence: Fence;
    incarnation: Incarnation;
    /** `refused` proves that the work did not begin. */
    state: "done" | "refused";
    reason?: "fence" | "not-owner" | "too-late" | "shedding" | "draining" | "cancelled";
    retryAfterMs?: number;
    status: number;
    body: string;
    /** SHA-256 of the body, in hexadecimal. */
    digest: string;
}

/** A server's answer to a cancellation. */
export interface CancelAnswer {
    requestId: string;
    incarnation: Incarnation;
    /** `cancelled`: it did not begin and never will; `running`: it began; `done`: it ended with `answer`. */
    state: "cancelled" | "running" | "done";
    answer?: ServerAnswer;
}

/** Port to the servers; every call names the time it may take, in milliseconds. */
export interface ServerPort {
    heartbeat(server: TargetId, request: HeartbeatRequest, timeoutMs: number): Promise<Result<HeartbeatReply, Failure>>;
    send(server: TargetId, work: ServerWork, timeoutMs: number): Promise<Result<ServerAnswer, Failure>>;
    /** Stops a piece of work that has not begun; always on a new connection. */
    cancel(server: TargetId, requestId: string, timeoutMs: number): Promise<Result<CancelAnswer, Failure>>;
    /** Drops the idle connections to a server; something between has lost track of one. */
    dropIdle(server: TargetId): void;
    /** Digest that answers carry. */
    digestOf(body: string): string;
}

/** Step of a failure for each kind of work. */
export const stepOfWork: Record<ServerWork["kind"], Step> = { read: "read", order: "order-send" };

/**
 * Checks that an answer is whole and belongs to the work it came for.
 * @param server who answered
 * @param work what was sent
 * @param answer what came back
 * @param digestOf computes the digest of a body
 * @returns the answer, or an `invalid` failure that names what does not match
 */
export function checkAnswer(
    server: TargetId,
    work: ServerWork,
    answer: ServerAnswer,
    digestOf: (body: string) => string,
): Result<ServerAnswer, Failure> {
    const invalid = (message: string) => err(failure("invalid", stepOfWork[work.kind], server, message));
    if (answer.requestId !== work.requestId) {
        return invalid(`answer belongs to request ${answer.requestId}`);
    }
    if (answer.fence !== work.fence) {
        return invalid(`answer carries fence ${String(answer.fence)} instead of ${String(work.fence)}`);
    }
    if (answer.digest !== digestOf(answer.body)) {
        return invalid("digest of the body does not match");
    }
    return ok(answer);
}
