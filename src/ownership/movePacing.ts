/** Decides when the next moves of keys away from a target may begin. */
import type { TargetId } from "../model/names.js";
import type { Move } from "./plannerInput.js";

/** Delay before another move away from a target is planned after one has failed. */
const retryDelayMs = 300;

/** A target with a rate limit of N a second may lose keys by `1 + N` moves in this time; each takes two calls or a few more. */
const windowMs = 4_000;

/** Paces the moves away from targets. Times are monotonic milliseconds. */
export class MovePacing {
    private readonly retryMsByTarget = new Map<TargetId, number>();
    private readonly startsMsByTarget = new Map<TargetId, number[]>();

    /**
     * Returns how many moves away from a target may begin now.
     * @param rateLimit the target's rate limit in requests a second; undefined if it has none
     */
    remaining(from: TargetId, rateLimit: number | undefined, nowMs: number): number {
        if (nowMs < (this.retryMsByTarget.get(from) ?? 0)) {
            return 0;
        }
        const starts = this.startsMsByTarget.get(from) ?? [];
        return rateLimit === undefined
            ? Number.POSITIVE_INFINITY
            : Math.max(0, Math.floor(1 + rateLimit) - starts.filter((startMs) => startMs > nowMs - windowMs).length);
    }

    /** Selects the planned moves that may begin now. Moves away from leaving targets are delayed only after a failure. */
    select(planned: readonly Move[], rateLimitOf: (targetId: TargetId) => number | undefined, nowMs: number): Move[] {
        const selectedCount = new Map<TargetId, number>();
        return planned.filter(({ from, reason }) => {
            if (from === undefined) {
                return true;
            }
            const count = selectedCount.get(from) ?? 0;
            const isAllowed = count < this.remaining(from, reason === "leaving" ? undefined : rateLimitOf(from), nowMs);
            selectedCount.set(from, count + 1);
            return isAllowed;
        });
    }

    /** Records that a move away from a target begins. */
    recordStart(from: TargetId, nowMs: number): void {
        const recent = this.startsMsByTarget.get(from)?.filter((startMs) => startMs > nowMs - windowMs) ?? [];
        this.startsMsByTarget.set(from, [...recent, nowMs]);
    }

    /** Records that a move away from a target has failed. */
    recordFailure(from: TargetId, nowMs: number): void {
        this.retryMsByTarget.set(from, nowMs + retryDelayMs);
    }
}
