/** Shares scarce capacity in a queue: by kind (`reservedSlots.ts`), by caller (`callerShares.ts`), and over time by retry times. */
import type { AdmissionRequest, Ticket } from "./admissionRequest.js";
import { CallerShares } from "./callerShares.js";
import type { QueueTargets } from "./queueTargets.js";
import type { KindDescription } from "./reservedSlots.js";
import { ReservedSlots } from "./reservedSlots.js";

/** Retry times are spread over at most this time after the first one that is possible: clients with less time left would not come back. */
const maxSpreadMs = 2_000;

/** Number of priorities for which retry times are kept. */
const maxBookedPriorities = 64;

/** Minimum time between two searches for what is no longer used; a busy queue ticks 40 times a second and may know thousands of callers. */
const removalIntervalMs = 1_000;

/** What a dump shows of a queue. */
export interface SharingDescription {
    /** Free slots that less urgent requests must leave, and slots that were reserved but may be used by them. */
    reservedSlots: number;
    lentSlots: number;
    callersAboveShare: number;
    kinds: KindDescription[];
}

/** Shares the capacity of a queue's targets. Times are monotonic milliseconds. */
export class ScarceCapacity {
    readonly reservedSlots: ReservedSlots;
    private readonly callers = new CallerShares();
    /** Time up to which capacity has been promised to refused requests, by priority. */
    private readonly bookedUntilMs = new Map<number, number>();
    private lastRemovalMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly targets: QueueTargets) {
        this.reservedSlots = new ReservedSlots(targets);
    }

    /** Counts a request that asks for a slot, and sets its rank among the requests of its kind. */
    offer(request: AdmissionRequest, nowMs: number): void {
        this.reservedSlots.countOffer(request, nowMs);
        request.callerRank = this.callers.arrive(request, nowMs);
    }

    /** Records that a request got a slot. */
    grant(request: AdmissionRequest, nowMs: number): void {
        this.reservedSlots.start(request, nowMs);
        this.callers.grant(request, nowMs);
    }

    /** Records that a request no longer has its slot. */
    end(ticket: Ticket): void {
        this.reservedSlots.end(ticket);
    }

    /** Records that a waiting request was withdrawn. */
    withdraw(request: AdmissionRequest): void {
        this.callers.leave(request);
    }

    /**
     * Records that a request was refused.
     * @param request the request
     * @param retryAfterMs the time that its client is told
     * @param nowMs current time
     */
    refuse(request: AdmissionRequest, retryAfterMs: number, nowMs: number): void {
        this.callers.refuse(request, retryAfterMs, nowMs);
    }

    /**
     * Returns the time after which a refused request finds capacity. Requests that are refused one after the other get times as far apart
     * as their work takes, since those with the same time would meet again and all but one be refused again.
     * @param request the request
     * @param waitMs expected time until there is capacity for a request of its kind
     * @param nowMs current time
     */
    spreadRetry({ priority, workMs }: AdmissionRequest, waitMs: number, nowMs: number): number {
        const earliestMs = nowMs + waitMs;
        const bookedMs = this.bookedUntilMs.get(priority) ?? earliestMs;
        const atMs = bookedMs >= earliestMs && bookedMs <= earliestMs + maxSpreadMs ? bookedMs : earliestMs;
        const slots = this.reservedSlots.slotsLeftFor(priority, this.targets.totalEffectiveSlots(workMs), nowMs);
        if (this.bookedUntilMs.has(priority) || this.bookedUntilMs.size < maxBookedPriorities) {
            this.bookedUntilMs.set(priority, atMs + Math.min(maxSpreadMs, workMs / slots));
        }
        return atMs - nowMs;
    }

    /** Forgets what is no longer used. */
    removeUnused(nowMs: number): void {
        if (Math.abs(nowMs - this.lastRemovalMs) < removalIntervalMs) {
            return;
        }
        this.lastRemovalMs = nowMs;
        this.reservedSlots.removeUnused(nowMs);
        this.callers.removeUnused(nowMs);
        for (const [priority, untilMs] of this.bookedUntilMs) {
            if (untilMs < nowMs) {
                this.bookedUntilMs.delete(priority);
            }
        }
    }

    /** Describes the shares for operators. */
    describe(nowMs: number): SharingDescription {
        const { reserved, lent } = this.reservedSlots.totals(nowMs);
        return {
            reservedSlots: reserved, lentSlots: lent, callersAboveShare: this.callers.countAboveShare(nowMs),
            kinds: this.reservedSlots.describe(nowMs),
        };
    }
}
