/**
 * Decides whether a request is retried after an attempt.
 *
 * Load pattern: targets reject a share of the requests or lose their responses. Retrying all of them doubles the load on the targets
 * that still work, so retries draw on a budget, and a request is retried only if it may run again and can still be answered in time.
 */
import type { AttemptEnd } from "./attemptEnds.js";

/** Conditions under which a request may be retried. */
export interface RetryTerms {
    /** True if the complete body is buffered, so that it can be sent again. */
    isReplayable: boolean;
    /** Number of attempts started so far. */
    attemptCount: number;
    /** True if the route's limit on targets allows another attempt; always true for keyed requests, which go to their key's owner again. */
    hasAttemptsLeft: boolean;
    /** Time left until the request's deadline. */
    remainingMs: number;
    /** Expected duration of another attempt. */
    expectedMs: number;
    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    takeRetry: () => boolean;
}

/** A request whose attempt has ended. */
export interface RetrySituation extends RetryTerms {
    end: AttemptEnd;
    /** True if the request may run more than once. */
    idempotent: boolean;
}

/** What happens to a request after an attempt. */
export type NextStep =
    /** The buffered response is sent to the client. */
    | "deliver"
    | "retry"
    /** The client gets a refusal, or the error response of an earlier attempt; this attempt did not run the request. */
    | "refuse"
    /** The client gets a refusal, or the error response of an earlier attempt; this attempt may have run the request. */
    | "fail"
    /** Nothing: the response was streamed to the client, completely or in part, or the client has left. */
    | "none";

/** Limit on the attempts for one request. */
const maxAttemptsPerRequest = 4;

/** Status codes of target failures that may not occur again on a retry. */
const retriedStatuses: ReadonlySet<number> = new Set([500, 502, 504]);

type Rule<Kind extends AttemptEnd["kind"]> = (situation: RetrySituation, end: Extract<AttemptEnd, { kind: Kind }>) => NextStep;

const nextByEnd: { [Kind in AttemptEnd["kind"]]: Rule<Kind> } = {
    "answered": (situation, end) =>
        retriedStatuses.has(end.answer.head.status) && situation.idempotent && allowRetry(situation) ? "retry" : "deliver",
    "streamed": () => "none",
    "broken-off": () => "none",
    "turned-away": (situation) => allowRetry(situation) ? "retry" : "refuse",
    "unreachable": (situation) => situation.remainingMs > situation.expectedMs && situation.isReplayable ? "retry" : "refuse",
    "lost": (situation) => situation.idempotent && allowRetry(situation) ? "retry" : "fail",
    "given-up": (situation) => situation.idempotent && allowRetry(situation) ? "retry" : "fail",
    "timed-out": (situation) => situation.idempotent && allowRetry(situation) ? "retry" : "fail",
    "body-broken": () => "refuse",
    "client-left": () => "none",
};

/**
 * Decides what happens to a request after an attempt.
 * @param situation the request and the end of its attempt
 */
export function nextStep(situation: RetrySituation): NextStep {
    return (nextByEnd[situation.end.kind] as Rule<AttemptEnd["kind"]>)(situation, situation.end);
}

/**
 * Returns whether a request may be retried. If so, takes the retry from the budget.
 * @param terms the conditions
 */
export function allowRetry({ isReplayable, attemptCount, hasAttemptsLeft, remainingMs, expectedMs, takeRetry }: RetryTerms): boolean {
    return isReplayable && hasAttemptsLeft && attemptCount < maxAttemptsPerRequest && remainingMs > expectedMs && takeRetry();
}
