/** Detects from the outcomes of calls whether a target is silent. */
import type { Failure } from "../model/failure.js";

/** Delays before the next call: after several failures in a row, and while the target is silent. */
const retryMs = 60;
const silentRetryMs = 250;

/** A target counts as silent when two calls in a row have failed and none has succeeded for this long. */
const silentAfterMs = 700;

/** Liveness of one target. Times are monotonic milliseconds. */
export class Liveness {
    private consecutiveFailures = 0;
    private silent = false;

    /** @param answeredMs time that counts as the last answer */
    constructor(private answeredMs: number) {}

    /** True while the target does not answer. */
    get isSilent(): boolean {
        return this.silent;
    }

    /** True when the last call failed. */
    get isFailing(): boolean {
        return this.consecutiveFailures > 0;
    }

    /** Returns the time since the last answer. */
    unansweredMs(nowMs: number): number {
        return nowMs - this.answeredMs;
    }

    /** Returns the delay before the next call. A single failure may be one lost answer, so it is retried at once. */
    retryDelayMs(): number {
        if (this.silent) {
            return silentRetryMs;
        }
        return this.consecutiveFailures === 1 ? 0 : retryMs;
    }

    /**
     * Records an answer.
     * @returns whether the target was silent before
     */
    recordAnswer(nowMs: number): boolean {
        const wasSilent = this.silent;
        this.answeredMs = nowMs;
        this.consecutiveFailures = 0;
        this.silent = false;
        return wasSilent;
    }

    /**
     * Records a failed call. A target that refuses connections is silent from the second failure in a row on.
     * @returns whether the target has fallen silent by this failure
     */
    recordFailure(cause: Failure, nowMs: number): boolean {
        this.consecutiveFailures += 1;
        const isSilent = this.consecutiveFailures >= 2 && (cause.refused === true || this.unansweredMs(nowMs) > silentAfterMs);
        const fellSilent = isSilent && !this.silent;
        this.silent ||= isSilent;
        return fellSilent;
    }

    /** Records an answer that refused the call, so that the next call is delayed. */
    recordRefusal(): void {
        this.consecutiveFailures += 1;
    }

    /** Records that the target's process has certainly ended, so that the next failure makes the target silent. */
    recordEnd(): void {
        this.answeredMs = Number.NEGATIVE_INFINITY;
        this.consecutiveFailures += 1;
    }
}
