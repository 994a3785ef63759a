/** A client's request, and the operations to answer it. */
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { Key, RequestId, TargetId } from "../model/names.js";
import type { Instant } from "../model/time.js";
import type { ConnectionSummary } from "./clientConnection.js";

/** Why this host answers a request itself. `clientHttp.ts` maps each reason to an HTTP status. */
export type RefusalReason =
    /** The request is invalid, or its body did not arrive completely. */
    | "no-route" | "body-too-large" | "body-late" | "no-key"
    /** The request did not run and will not run. */
    | "not-ready" | "config-unconfirmed" | "no-target" | "owner-unknown" | "owner-silent" | "target-paused" | "overloaded" | "rate-limited" | "too-late" | "rejected"
    | "unreachable" | "stopping" | "quarantined" | "capacity-reserved" | "host-full" | "host-late"
    /** The request may have run. */
    | "timed-out" | "lost";

/** A response that this host gives in place of a target. */
export interface Refusal {
    reason: RefusalReason;
    /** Delay in milliseconds after which a retry may succeed; undefined if a retry is not suggested. */
    retryAfterMs: number | undefined;
    /** Target that the request was meant for; only logged. */
    targetId?: TargetId;
    /** Fingerprint for which the request is quarantined; only logged. */
    fingerprint?: Fingerprint;
}

/** Thrown by what serves a request if the request has certainly reached no target, and will reach none. */
export class RequestNotRunError extends Error {}

/** The body of a request. */
export interface RequestBody {
    /**
     * Reads the complete body if it is small.
     * @returns the body, `too-long` if it must be streamed instead, or `broken` if the client did not send it completely or sent too much
     */
    collect(): Promise<Buffer | "too-long" | "broken">;
    /** Returns the next piece of a body that `collect` did not return; undefined at its end, `broken` as for `collect`. */
    next(): Promise<Buffer | undefined | "broken">;
    /** The first bytes of a body that `collect` has found to be too long; otherwise empty. */
    readonly start: Buffer;
    /** Length in bytes as declared by the client; undefined for a chunked body. */
    readonly declaredBytes: number | undefined;
}

/** Status and headers of a response as sent to the client. */
export interface AnswerHead {
    status: number;
    reasonPhrase: string;
    /** Alternating names and values, without hop-by-hop headers. */
    rawHeaders: readonly string[];
    /** Length of the body, or undefined if it is not known yet. */
    bodyBytes: number | undefined;
}

/** A request with the means to answer its client. */
export interface ClientCall {
    readonly requestId: RequestId | undefined;
    readonly method: string;
    /** Path and query as sent by the client. */
    readonly path: string;
    readonly hostName: string;
    readonly key: Key | undefined;
    /** Returns the key as the client stated it, readable or not, for a log line. */
    statedKey?(): string | undefined;
    /** Time for which the client waits from `receivedAt` on; undefined if it stated none. */
    readonly budgetMs: number | undefined;
    readonly receivedAt: Instant;
    /** Headers to forward: alternating names and values. */
    readonly forwardHeaders: readonly string[];
    readonly body: RequestBody;
    /** IP address of the client's connection, without the port; undefined if it is not known. */
    readonly callerAddress?: string | undefined;
    /** Aborted when the client has left. */
    readonly clientLeft: AbortSignal;
    /** Describes the client's connection for a log line. */
    describeConnection?(): ConnectionSummary;
    /** Sends a refusal. */
    refuse(refusal: Refusal): void;
    /** Sends a complete response. */
    answer(head: AnswerHead, body: Buffer): void;
    /** Resolves when `beginAnswer` may be called: all earlier answers on the connection are complete, or it is closed. */
    awaitTurn(): Promise<void>;
    /** Sends the head of a response whose body follows through `writeAnswer`. */
    beginAnswer(head: AnswerHead): void;
    /** Sends a piece of the body; resolves when all of it has been written, and may be overwritten, or the connection is closed. */
    writeAnswer(piece: Buffer): Promise<void>;
    /** Ends a response started by `beginAnswer`. */
    finishAnswer(): void;
    /** Ends the client's connection in the middle of a response, so that it cannot be taken for a complete one. */
    abortAnswer(): void;
}
