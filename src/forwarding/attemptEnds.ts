/** What the end of an attempt means for the target's queue and for the client. */
import type { WorkEnd } from "../admission/workEnd.js";
import type { RefusalReason } from "../entry/clientCall.js";
import type { AttemptEnd } from "./attempt.js";

/** The end of an attempt with a complete response that has not been sent to the client yet. */
export type Answered = Extract<AttemptEnd, { kind: "answered" }>;

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
