/** How an attempt may end, and what its end means for the target's queue and for the client. */
import type { WorkEnd } from "../admission/workEnd.js";
import type { AnswerHead, RefusalReason } from "../entry/clientCall.js";

/** A complete response that has not been sent to the client yet. */
export interface BufferedAnswer {
    head: AnswerHead;
    body: Buffer;
}

/** How an attempt ended. */
export type AttemptEnd =
    /** The response is complete and buffered; nothing has been sent to the client. */
    | { kind: "answered"; answer: BufferedAnswer; tookMs: number }
    /** The response was streamed to the client and is complete. */
    | { kind: "streamed"; status: number; tookMs: number }
    /** The response broke off after a part of it had been sent to the client; the client's connection was closed. */
    | { kind: "broken-off"; why: string; error?: unknown }
    /** The target rejected the request without running it. */
    | { kind: "turned-away"; status: number; pauseMs?: number }
    /** No connection could be opened; nothing was sent. `error` is set here and below if the attempt ended by an unexpected error. */
    | { kind: "unreachable"; why: string; error?: unknown }
    /** The request was sent, and no complete, valid response arrived. */
    | { kind: "lost"; why: string; error?: unknown }
    /** The request was sent, and the response was not complete within the timeout. */
    | { kind: "timed-out" }
    /** Given up because a slot for a retry was reserved, before the response was complete and before any of it was sent to the client. */
    | { kind: "given-up"; wasSent: boolean }
    /** The client did not send its request body completely. */
    | { kind: "body-broken" }
    | { kind: "client-left" };

/** The end of an attempt with a complete response that has not been sent to the client yet. */
export type Answered = Extract<AttemptEnd, { kind: "answered" }>;

/** Describes the end of an attempt in a log line. */
export function describeEnd(end: AttemptEnd): string {
    return "why" in end ? `${end.kind}: ${end.why}` : end.kind;
}

/** Tells whether the request may have run. */
export function mayHaveRun(end: AttemptEnd): boolean {
    return end.kind === "lost" || end.kind === "timed-out" || end.kind === "answered" || (end.kind === "given-up" && end.wasSent);
}

/** Tells whether nothing of a response arrived, so that the path may be to blame as well as the target. */
export function isWithoutResponse(end: AttemptEnd): boolean {
    return end.kind === "unreachable" || end.kind === "lost" || end.kind === "timed-out" || end.kind === "given-up";
}

/** Chooses between two attempts that may have run: a complete response is kept over an attempt without one. */
export function moreInformativeEnd(earlier: AttemptEnd | undefined, later: AttemptEnd): AttemptEnd {
    return earlier?.kind === "answered" && later.kind !== "answered" ? earlier : later;
}

const workEndByKind: { [Kind in AttemptEnd["kind"]]: (end: Extract<AttemptEnd, { kind: Kind }>, tookMs: number) => WorkEnd } = {
    "answered": ({ tookMs }) => ({ kind: "answered", tookMs }),
    "streamed": ({ tookMs }) => ({ kind: "answered", tookMs }),
    "broken-off": () => ({ kind: "lost" }),
    "turned-away": ({ pauseMs }) => ({ kind: "turned-away", ...pauseMs === undefined ? {} : { pauseMs: Math.round(pauseMs) } }),
    "unreachable": () => ({ kind: "unreachable" }),
    "lost": () => ({ kind: "lost" }),
    "timed-out": (_end, tookMs) => ({ kind: "late", afterMs: tookMs }),
    "given-up": ({ wasSent }, tookMs) => wasSent ? { kind: "late", afterMs: tookMs } : { kind: "unreachable" },
    "body-broken": () => ({ kind: "dropped" }),
    "client-left": () => ({ kind: "dropped" }),
};

/** Converts the end of an attempt, which took `tookMs`, to what the target's queue records. */
export function workEndOf(end: AttemptEnd, tookMs: number): WorkEnd {
    return (workEndByKind[end.kind] as (of: AttemptEnd, tookMs: number) => WorkEnd)(end, tookMs);
}

/** Returns the reason that the client gets if the request may have run and there is no response. */
export function reasonIfRun(end: AttemptEnd): RefusalReason {
    return end.kind === "lost" ? "lost" : "timed-out";
}

/** Returns the reason that the client gets if the request did not run. */
export function reasonIfNotRun(end: AttemptEnd): RefusalReason {
    return end.kind === "turned-away" ? "rejected" : end.kind === "body-broken" ? "body-late" : "unreachable";
}
