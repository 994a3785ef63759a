/** Records the rate limits that targets stated in responses to this host. */
import type { TargetId } from "../model/names.js";
import type { RateLimitNotice, StatedRateLimit } from "../model/rateLimit.js";
import type { TargetEntry } from "../model/target.js";

/** A limit that no response has confirmed for this long is forgotten. */
const retentionMs = 60_000;

/** Limit on the targets whose unreadable statements are remembered; further ones are not reported. */
const maxUnreadable = 1_000;

type TargetProcess = Pick<TargetEntry, "targetId" | "bornWallMs">;

/** How a response changed what this host knows of a target's rate limit. */
export type RateLimitChange =
    | { kind: "stated"; requestsPerSecond: number; previousPerSecond: number | undefined }
    | { kind: "ended"; previousPerSecond: number }
    | { kind: "unreadable"; text: string };

interface RateLimitRecord {
    bornWallMs: number;
    requestsPerSecond: number;
    statedAtMs: number;
}

/** Rate limits by target. Times are monotonic milliseconds. */
export class StatedRateLimits {
    private readonly limits = new Map<TargetId, RateLimitRecord>();
    /** Last statement that could not be read, by target. */
    private readonly unreadable = new Map<TargetId, string>();

    /**
     * Records what a response states.
     * @param target the process that responded
     * @param notice the statement
     * @param sentMs time at which the request was sent; a response without a limit ends only a limit that was stated before that time,
     * since responses may overtake each other
     * @param nowMs current time
     * @returns the change, or undefined if there is none
     */
    record({ targetId, bornWallMs }: TargetProcess, notice: RateLimitNotice, sentMs: number, nowMs: number): RateLimitChange | undefined {
        const known = this.limits.get(targetId);
        const current = known?.bornWallMs === bornWallMs ? known : undefined;
        switch (notice.kind) {
            case "unreadable":
                return this.recordUnreadable(targetId, notice.text);
            case "none":
                this.unreadable.delete(targetId);
                if (current === undefined || sentMs < current.statedAtMs) {
                    return undefined;
                }
                this.limits.delete(targetId);
                return { kind: "ended", previousPerSecond: current.requestsPerSecond };
            case "stated":
                this.unreadable.delete(targetId);
                this.evictOld(nowMs);
                this.limits.set(targetId, { bornWallMs, requestsPerSecond: notice.requestsPerSecond, statedAtMs: nowMs });
                return current?.requestsPerSecond === notice.requestsPerSecond
                    ? undefined
                    : { kind: "stated", requestsPerSecond: notice.requestsPerSecond, previousPerSecond: current?.requestsPerSecond };
        }
    }

    /** True if this host knows of no limit at all. */
    get isEmpty(): boolean {
        return this.limits.size === 0;
    }

    /** Returns the limit of a target's process, or undefined if this host knows of none. */
    find({ targetId, bornWallMs }: TargetProcess, nowMs: number): StatedRateLimit | undefined {
        const known = this.limits.get(targetId);
        return known?.bornWallMs === bornWallMs
            ? { targetId, bornWallMs, requestsPerSecond: known.requestsPerSecond, ageMs: Math.round(nowMs - known.statedAtMs) }
            : undefined;
    }

    /** Reports a statement that cannot be read once, not for each response. */
    private recordUnreadable(targetId: TargetId, text: string): RateLimitChange | undefined {
        if (this.unreadable.get(targetId) === text || this.unreadable.size >= maxUnreadable) {
            return undefined;
        }
        this.unreadable.set(targetId, text);
        return { kind: "unreadable", text };
    }

    private evictOld(nowMs: number): void {
        for (const [targetId, { statedAtMs }] of this.limits) {
            if (nowMs - statedAtMs > retentionMs) {
                this.limits.delete(targetId);
            }
        }
    }
}
