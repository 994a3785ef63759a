/**
 * Decides what follows an attempt that brought no usable answer.
 *
 * Load pattern: targets that turn a share of the requests away or lose their answers. Sending everything again doubles
 * the load on those that work, so repeats draw on a budget, and only what may be repeated, and can still be answered in
 * time, is sent again.
 */
import type { AttemptEnd } from "./attempt.js";

/** What decides whether a request may be sent again. */
export interface RepeatTerms {
    /** True when the body was kept, so that it can be sent again. */
    repeatable: boolean;
    /** Times that the request was sent. */
    sends: number;
    /** True when another attempt may go to a target that did not get the request yet, or goes to the same one. */
    mayTryAnother: boolean;
    /** Time left for the client's answer. */
    remainingMs: number;
    /** Time that another attempt is expected to take. */
    expectedMs: number;
    /** Takes one repeat out of the budget; false when it is spent. */
    takeRetry: () => boolean;
}

/** What is known when an attempt has ended. */
export interface RetrySituation extends RepeatTerms {
    end: AttemptEnd;
    /** True when the request may run more than once. */
    idempotent: boolean;
}

/** What follows. */
export type NextStep = "deliver" | "retry" | "refuse" | "fail" | "none";

/** Times that one request is sent at most. */
const maxSends = 4;

/** Status codes of a target's own failures that another run may not repeat. */
const retriedStatuses: ReadonlySet<number> = new Set([500, 502, 504]);

type Rule<Kind extends AttemptEnd["kind"]> = (of: RetrySituation, end: Extract<AttemptEnd, { kind: Kind }>) => NextStep;

const nextByEnd: { [Kind in AttemptEnd["kind"]]: Rule<Kind> } = {
    "answered": (of, end) => retriedStatuses.has(end.answer.head.status) && of.idempotent && canRepeat(of) ? "retry" : "deliver",
    "streamed": () => "none",
    "broken-off": () => "none",
    "turned-away": (of) => canRepeat(of) ? "retry" : "refuse",
    "unreachable": (of) => of.remainingMs > of.expectedMs && of.repeatable ? "retry" : "refuse",
    "lost": (of) => of.idempotent && canRepeat(of) ? "retry" : "fail",
    "given-up": (of) => of.idempotent && canRepeat(of) ? "retry" : "fail",
    "timed-out": (of) => of.idempotent && canRepeat(of) ? "retry" : "fail",
    "body-broken": () => "refuse",
    "client-left": () => "none",
};

/**
 * Decides what follows an attempt.
 * @param of the situation
 */
export function nextStep(of: RetrySituation): NextStep {
    return (nextByEnd[of.end.kind] as Rule<AttemptEnd["kind"]>)(of, of.end);
}

/**
 * Decides whether a request is sent again, and takes the repeat out of the budget if so.
 * @param of what decides it
 */
export function canRepeat({ repeatable, sends, mayTryAnother, remainingMs, expectedMs, takeRetry }: RepeatTerms): boolean {
    return repeatable && mayTryAnother && sends < maxSends && remainingMs > expectedMs && takeRetry();
}
