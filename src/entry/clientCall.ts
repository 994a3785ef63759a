/** One request of a client, and the ways to answer it. */
import type { Key, RequestId, TargetId } from "../model/names.js";
import type { Instant } from "../model/time.js";

/** Why a request gets no answer of a target. Each reason has one status, see `clientHttp.ts`. */
export type RefusalReason =
    /** The request itself is at fault. */
    | "no-route" | "body-too-large" | "body-late" | "no-key"
    /** It did not run and never will. */
    | "not-ready" | "no-target" | "owner-unknown" | "owner-silent" | "target-paused" | "overloaded" | "too-late" | "rejected" | "unreachable" | "stopping"
    /** It may have run. */
    | "timed-out" | "lost";

/** An answer that this host gives itself. */
export interface Refusal {
    reason: RefusalReason;
    /** When another attempt may help, in milliseconds from now. */
    retryAfterMs: number | undefined;
    /** Target that the request was meant for, for the log. */
    targetId?: TargetId;
}

/** The body of a request. */
export interface RequestBody {
    /**
     * Reads the whole body if it is small.
     * @returns the body, `too-long` when it must be streamed instead, or `broken` when the client did not send it whole
     */
    collect(): Promise<Buffer | "too-long" | "broken">;
    /** Gives what `collect` did not read, piece by piece; undefined is the end, `broken` a body that is not whole. */
    next(): Promise<Buffer | undefined | "broken">;
    /** Length in bytes, when the client said it; undefined for chunks. */
    readonly declaredBytes: number | undefined;
}

/** An answer of a target as it goes to the client. */
export interface AnswerHead {
    status: number;
    reasonPhrase: string;
    /** Names and values by turns, without those that concern one connection only. */
    rawHeaders: readonly string[];
    /** Length of the body, or undefined when it is not known yet. */
    bodyBytes: number | undefined;
}

/** A request and its client. */
export interface ClientCall {
    readonly requestId: RequestId | undefined;
    readonly method: string;
    /** Path and query, as sent. */
    readonly path: string;
    readonly hostName: string;
    readonly key: Key | undefined;
    /** How long the client waits, counted from `receivedAt`. */
    readonly budgetMs: number | undefined;
    readonly receivedAt: Instant;
    /** Headers to forward: names and values by turns. */
    readonly forwardHeaders: readonly string[];
    readonly body: RequestBody;
    /** Aborted when the client has left. */
    readonly left: AbortSignal;
    refuse(refusal: Refusal): void;
    /** Sends a whole answer. */
    answer(head: AnswerHead, body: Buffer): void;
    /** Starts an answer whose body follows. */
    beginAnswer(head: AnswerHead): void;
    /** Sends a piece of the body; resolves when the client takes more. */
    writeAnswer(piece: Buffer): Promise<void>;
    finishAnswer(): void;
    /** Ends the connection in the middle of an answer, so that it cannot look whole. */
    breakOff(): void;
}
