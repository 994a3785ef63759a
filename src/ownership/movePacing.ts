/** Decides when the next moves of keys away from a target may begin. */
import type { TargetId } from "../model/names.js";
import type { Move } from "./plannerInput.js";

/** Delay before another move away from a target is planned after one has failed. */
const retryDelayMs = 300;

/** A target with a rate limit of N a second may lose keys by `1 + N` moves in this time, `maxMoves` at most; each takes several calls. */
const windowMs = 4_000;
const maxMoves = 4;

/** After a move for balance away from a target with a rate limit, the next one waits until the load without those keys is known. */
const rateLimitedBalanceDelayMs = 4_000;

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
            : Math.max(0, Math.min(maxMoves, Math.floor(1 + rateLimit)) - starts.filter((startMs) => startMs > nowMs - windowMs).length);
    }

    /** Selects the planned moves that may begin now. Moves away from leaving targets are delayed only after a failure. */
    select(planned: readonly Move[], rateLimitOf: (targetId: TargetId) => number | undefined, nowMs: number): Move[] {
        const selectedCount = new Map<TargetId, number>();
        return planned.filter(({ from, reason }) => {
            if (from === undefined) {
                return true;
            }
            const count = selectedCount.get(from) ?? 0;
            const rateLimit = reason === "leaving" ? undefined : rateLimitOf(from);
            const mustWait = rateLimit !== undefined && isForBalance(reason)
                && (count > 0 || this.hasStartedSince(from, nowMs - rateLimitedBalanceDelayMs));
            selectedCount.set(from, count + 1);
            return !mustWait && count < this.remaining(from, rateLimit, nowMs);
        });
    }

    private hasStartedSince(from: TargetId, sinceMs: number): boolean {
        return this.startsMsByTarget.get(from)?.some((startMs) => startMs > sinceMs) === true;
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

function isForBalance(reason: Move["reason"]): boolean {
    return reason === "balance" || reason === "newcomer";
}
