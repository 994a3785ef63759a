/**
 * Keeps the rate of requests to one target within the limit that it stated. The host that keeps the target's queue counts the requests
 * of all hosts, so a limit of a few requests a second holds however many hosts send a few each.
 *
 * Load pattern: a target in trouble states a limit far below the rate of its requests. It then gets its requests evenly spaced, the
 * most urgent first; the rest is refused at once or runs elsewhere.
 */
import { leaseCallBudget } from "../model/rateLimit.js";

/** Capacity of the token bucket: this many requests, or those of `burstMs` at the permitted rate if that is more. */
const minBurst = 2;
const burstMs = 500;

/** Capacity of the bucket of a limiter that may use less than `minorShare` of the limit. */
const minorBurst = 1;
const minorShare = 0.5;

/** Lower bound of a limit: a target that accepts nothing gets a request now and then, since only its responses show the end of that. */
const minLimitPerSecond = 0.2;

/** The part of a rate limit that one queue may use. */
export interface RateLimitUse {
    /** Share of what is left for requests, more than 0 and at most 1. */
    share: number;
    /** True if the target owns keys, so that lease calls use a part of the limit. */
    hasLeases: boolean;
}

/** A token bucket that is empty at first, since the target got more than its limit until now. Times are monotonic milliseconds. */
export class RateLimiter {
    private tokens = 0;

    /**
     * @param limitPerSecond limit that the target stated
     * @param use the part of the limit that this limiter may use
     * @param statedAtMs time of the statement
     * @param updatedMs current time
     */
    constructor(
        private limitPerSecond: number, private use: RateLimitUse, private statedAtMs: number, private updatedMs: number,
    ) {}

    /** Limit that the target stated. */
    get limit(): number {
        return this.limitPerSecond;
    }

    /** Time of the newest statement of the limit. */
    get lastStatedMs(): number {
        return this.statedAtMs;
    }

    /** Requests a second that all hosts together may send. */
    get perSecondOfAllHosts(): number {
        const limit = Math.max(minLimitPerSecond, this.limitPerSecond);
        return this.use.hasLeases ? limit - leaseCallBudget(limit) : limit;
    }

    /** Requests a second that this limiter permits. */
    get permittedPerSecond(): number {
        return this.perSecondOfAllHosts * this.use.share;
    }

    /** Sets a limit that was stated later. */
    restate(limitPerSecond: number, statedAtMs: number, nowMs: number): void {
        this.tokens = this.availableTokens(nowMs);
        this.updatedMs = nowMs;
        this.limitPerSecond = limitPerSecond;
        this.statedAtMs = statedAtMs;
    }

    /** Sets the share that this limiter may use of what the limit leaves for requests. */
    setShare(share: number, nowMs: number): void {
        this.tokens = this.availableTokens(nowMs);
        this.updatedMs = nowMs;
        this.use = { ...this.use, share };
    }

    /** Returns how many requests may be sent now; fractions count towards the next one. */
    availableTokens(nowMs: number): number {
        const refilled = this.tokens + (nowMs - this.updatedMs) / 1_000 * this.permittedPerSecond;
        const burst = this.use.share < minorShare ? minorBurst : minBurst;
        return Math.min(refilled, Math.max(burst, this.permittedPerSecond * burstMs / 1_000));
    }

    /** Counts a request that is sent. */
    take(nowMs: number): void {
        this.tokens = this.availableTokens(nowMs) - 1;
        this.updatedMs = nowMs;
    }
}
