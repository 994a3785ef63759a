/**
 * Trials: the single runs that the whole cluster allows a request when its quarantine has ended. The coordinator grants a trial, and
 * records it in the ledger before the request is sent. From the record on, the request counts as quarantined again until it is known how
 * the trial ended, so that neither another host nor a later coordinator allows a second run.
 */
import type { Fingerprint, RequestFingerprints } from "./requestFingerprint.js";

/**
 * Duration of a quarantine, by the number of unexplained crashes beyond those that lead to the first one, or of trials that did not clear
 * the request. It starts with the last crash, or when the outcome of the last trial is overdue. The first one is short, so that a
 * request that was at crashes by chance is soon cleared.
 */
const quarantinesMs = [15_000, 10 * 60_000, 4 * 60 * 60_000];

/** Time after a request's deadline in which the other hosts learn how its trial ended. */
const outcomeMarginMs = 1_000;

/** Upper bound of the time until the outcome of a trial is due, however long its client waits. */
const maxOutcomeMs = 60_000;

/** Time within which all hosts learn how a run ended. */
const newsDelayMs = 250;

/** Time until the next trial after one that was given back; each costs two appends to the ledger, and the target may turn all away. */
const returnedPauseMs = 5_000;

/** A grant that arrives later than this after it was asked for is not used. */
export const trialGrantValidMs = 500;

/** A trial as it was granted. */
export interface TrialTerms {
    fingerprint: Fingerprint;
    /** Number of trials of these requests since they were last clear, this one included. */
    number: number;
    /** What `quarantineExcess` was when the trial was granted; more than that means that the request crashed its target again. */
    excessCount: number;
    /** Time from the grant until the request probably has been run to its end. */
    expectedMs: number;
    /** Time from the grant until the trial counts as used up if its outcome is not known. */
    outcomeWithinMs: number;
    /** Set if the request certainly did not run; the trial does not count then. */
    isReturned?: true;
}

/** A trial that was granted some time ago. */
export interface TrialReport extends TrialTerms {
    agoMs: number;
}

/** A trial with the monotonic time at which it was granted. */
export interface Trial extends TrialTerms {
    grantedMs: number;
}

/** Asks for the trial of a request that has a slot at a target. */
export interface TrialParams extends RequestFingerprints {
    /** Time that the run will probably take. */
    expectedMs: number;
    /** Time until the request's deadline. */
    deadlineLeftMs: number;
}

/** Answer to `TrialParams`. */
export type TrialReply =
    /** The request may be sent once, within `trialGrantValidMs`. The time tells the grant from others; earlier versions don't state it. */
    | { kind: "granted"; grantedWallMs?: number }
    | { kind: "refused"; retryAfterMs: number }
    /** There is no coordinator, or it can't write to the store. */
    | { kind: "unavailable" };

/** Gives back a trial whose request certainly did not run. */
export interface TrialReturn extends RequestFingerprints {
    /** See `TrialReply`. */
    grantedWallMs: number;
}

/** Returns the number of trials that count, up to the given one. */
export function countTrials(trial: TrialTerms | undefined): number {
    return trial === undefined ? 0 : trial.number - (trial.isReturned === true ? 1 : 0);
}

/** Returns the times of a trial. */
export function trialTimes({ expectedMs, deadlineLeftMs }: TrialParams): Pick<TrialTerms, "expectedMs" | "outcomeWithinMs"> {
    const outcomeWithinMs = Math.round(Math.min(maxOutcomeMs, Math.max(0, deadlineLeftMs) + outcomeMarginMs));
    return { expectedMs: Math.round(Math.min(expectedMs + newsDelayMs, outcomeWithinMs)), outcomeWithinMs };
}

/** What is known of requests that have been quarantined. Times are monotonic. */
export interface QuarantineHistory {
    lastCrashMs: number;
    /** See `quarantineExcess`; not negative. */
    excessCount: number;
    /** The last trial since the requests were clear. */
    trial: Trial | undefined;
}

/** Returns the time for which requests are still to be refused; 0 if a trial of them is due. */
export function quarantineRemainingMs({ lastCrashMs, excessCount, trial }: QuarantineHistory, nowMs: number): number {
    const durationMs = quarantineMs(Math.max(excessCount, countTrials(trial) - 1));
    const fromCrashMs = lastCrashMs + durationMs - nowMs;
    if (trial === undefined || excessCount > trial.excessCount) {
        return Math.max(0, fromCrashMs);
    }
    if (trial.isReturned === true) {
        return Math.max(0, trial.grantedMs + returnedPauseMs - nowMs);
    }
    const overdueMs = trial.grantedMs + trial.outcomeWithinMs;
    return nowMs < overdueMs
        ? Math.max(newsDelayMs, trial.grantedMs + trial.expectedMs - nowMs)
        : Math.max(0, fromCrashMs, overdueMs + durationMs - nowMs);
}

function quarantineMs(index: number): number {
    return quarantinesMs[Math.min(index, quarantinesMs.length - 1)] as number;
}
