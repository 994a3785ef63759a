/** Judges by its answers whether a target is silent. */
import type { Failure } from "../model/failure.js";

const retryMs = 60;
const silentRetryMs = 250;

/** A target counts as silent when it has answered nothing for this long. */
const silentAfterMs = 700;

/** One target's liveness. Times are monotonic milliseconds. */
export class Liveness {
    private failedInARow = 0;
    private silent = false;

    /** @param answeredMs when the target counts as heard of last */
    constructor(private answeredMs: number) {}

    /** True while the target does not answer. */
    get isSilent(): boolean {
        return this.silent;
    }

    /** True when the last call failed. */
    get isFailing(): boolean {
        return this.failedInARow > 0;
    }

    /** Time for which the target has answered nothing. */
    quietMs(nowMs: number): number {
        return nowMs - this.answeredMs;
    }

    /** Pause before the next call. A single failure may be one lost answer, and is tried again at once. */
    pauseMs(): number {
        if (this.silent) {
            return silentRetryMs;
        }
        return this.failedInARow === 1 ? 0 : retryMs;
    }

    /**
     * Notes an answer.
     * @returns whether the target was silent before
     */
    noteAnswer(nowMs: number): boolean {
        const wasSilent = this.silent;
        this.answeredMs = nowMs;
        this.failedInARow = 0;
        this.silent = false;
        return wasSilent;
    }

    /**
     * Notes a call without an answer.
     * @returns whether the target has just fallen silent
     */
    noteFailure(failed: Failure, nowMs: number): boolean {
        this.failedInARow += 1;
        const isSilent = this.failedInARow >= 2 && (failed.refused === true || this.quietMs(nowMs) > silentAfterMs);
        const fellSilent = isSilent && !this.silent;
        this.silent ||= isSilent;
        return fellSilent;
    }

    /** Notes an answer that did not help: the next call waits. */
    noteSetback(): void {
        this.failedInARow += 1;
    }

    /** Notes that the target has certainly ended. */
    noteEnd(): void {
        this.answeredMs = Number.NEGATIVE_INFINITY;
        this.failedInARow += 1;
    }
}
