/** Port to targets that own no keys: archives and exports. */
import type { Result } from "neverthrow";
import type { TargetId } from "../model/ids.js";
import type { Failure } from "../model/failure.js";

/** One call to a target. */
export interface TargetCall {
    requestId: string;
    method: "GET" | "POST";
    path: string;
    body: string;
    /** Time left for the caller, in milliseconds; sent along so that the target can give up too. */
    timeoutMs: number;
    maxAnswerBytes: number;
}

/** A whole answer that belongs to its call: request id, length and digest have been checked. */
export interface TargetAnswer {
    status: number;
    body: Buffer;
    contentType: string;
    /** Set when the target asks to be left alone. */
    refused?: "shedding" | "draining";
    retryAfterMs?: number;
}

/** Port to the targets. */
export interface TargetPort {
    call(target: TargetId, address: string, call: TargetCall): Promise<Result<TargetAnswer, Failure>>;
}
