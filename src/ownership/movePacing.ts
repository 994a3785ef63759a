/** Decides when the next move of keys away from a target may begin. */
import type { TargetId } from "../model/names.js";
import type { Move } from "./planner.js";

/** Delay before another move away from a target is planned after one has failed. */
const retryDelayMs = 300;

/** Delay between the moves away from a target with a rate limit; each takes several calls, which count towards the limit. */
const rateLimitedDelayMs = 4_000;

/** Paces the moves for balance by the targets that they relieve. Times are monotonic milliseconds. */
export class MovePacing {
    private readonly nextMs = new Map<TargetId, number>();

    /**
     * Selects the planned moves that may begin now. Of the moves away from a target with a rate limit, which the planner lists by
     * descending gain, only the first may begin.
     */
    select(planned: readonly Move[], isRateLimited: (targetId: TargetId) => boolean, nowMs: number): Move[] {
        const startedFrom = new Set<TargetId>();
        return planned.filter(({ from, reason }) => {
            if (from === undefined) {
                return true;
            }
            if (nowMs < (this.nextMs.get(from) ?? 0)) {
                return false;
            }
            const isPaced = reason !== "leaving" && isRateLimited(from);
            const isAllowed = !isPaced || !startedFrom.has(from);
            startedFrom.add(from);
            return isAllowed;
        });
    }

    /** Records that a move away from a target with a rate limit begins. */
    recordRateLimitedStart(from: TargetId, nowMs: number): void {
        this.nextMs.set(from, nowMs + rateLimitedDelayMs);
    }

    /** Records that a move away from a target has failed. */
    recordFailure(from: TargetId, nowMs: number): void {
        this.nextMs.set(from, Math.max(this.nextMs.get(from) ?? 0, nowMs + retryDelayMs));
    }
}
