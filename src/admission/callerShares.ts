/**
 * Orders the requests of one kind by how many slots their callers have, so that each caller gets a slot before any gets a second one.
 *
 * Load pattern: a third of the clients retry at once and three times as often while most requests are refused. Without shares, whoever
 * asks most often is most often there when a place in the queue becomes free.
 */
import type { AdmissionRequest } from "./admissionRequest.js";

/** Time constant of the decay of a caller's recent slots. */
const decayMs = 2_000;

/** Callers with more slots than this rank equal. */
const maxRank = 8;

/** How much a caller that came back at its time precedes new callers; less than a slot. */
const returnPrecedence = 0.5;

/** Share of the delay by which a caller may come back early, for clients that round it. */
const earlyTolerance = 0.1;

/** Time after its retry time during which a caller counts as coming back. */
const returnWindowMs = 2_000;

/** Largest number of callers known at once; the one not seen for the longest time is forgotten. */
const maxCallers = 4_096;

/** A caller with fewer recent slots than this and no waiting request is forgotten. */
const negligibleSlots = 0.05;

/** A caller that has or waits for more slots than this counts as above its share. */
const shareSlots = 1.5;

interface Caller {
    /** Requests that wait for a slot; a granted one counts in `recent`. */
    waiting: number;
    /** Decayed number of granted slots, and of attempts before the retry time. */
    recent: number;
    updatedMs: number;
    /** Earliest time to come back after a refusal, and end of the time in which that counts; undefined if it was not refused. */
    returnFromMs: number | undefined;
    returnUntilMs: number;
}

/** Shares of the callers in a queue. Times are monotonic milliseconds. */
export class CallerShares {
    /** By caller and priority, in the order in which they were last seen. */
    private readonly callers = new Map<number | string, Caller>();

    /**
     * Counts a request that asks for a slot.
     * @returns its rank among the requests of its kind; the lowest goes first
     */
    arrive(request: AdmissionRequest, nowMs: number): number {
        const key = keyOf(request);
        const caller = this.callers.get(key) ?? { waiting: 0, recent: 0, updatedMs: nowMs, returnFromMs: undefined, returnUntilMs: 0 };
        this.callers.delete(key);
        this.callers.set(key, caller);
        this.forgetOldest();
        decay(caller, nowMs);
        let precedence = 0;
        if (caller.returnFromMs !== undefined && nowMs < caller.returnFromMs) {
            caller.recent = Math.min(maxRank, caller.recent + 1);
        }
        else if (caller.returnFromMs !== undefined) {
            precedence = nowMs < caller.returnUntilMs ? returnPrecedence : 0;
            caller.returnFromMs = undefined;
        }
        const rank = Math.min(maxRank, Math.round(caller.waiting + caller.recent)) - precedence;
        caller.waiting += 1;
        return rank;
    }

    /** Records that a request got a slot. */
    grant(request: AdmissionRequest, nowMs: number): void {
        const caller = this.callers.get(keyOf(request));
        if (caller !== undefined) {
            decay(caller, nowMs);
            caller.recent = Math.min(maxRank, caller.recent + 1);
            // From here on the slot counts among the recent ones.
            caller.waiting = Math.max(0, caller.waiting - 1);
        }
    }

    /** Records that a request was withdrawn while it waited. */
    leave(request: AdmissionRequest): void {
        const caller = this.callers.get(keyOf(request));
        if (caller !== undefined) {
            caller.waiting = Math.max(0, caller.waiting - 1);
        }
    }

    /** Records that a request was refused, and when its caller may come back. */
    refuse(request: AdmissionRequest, retryAfterMs: number, nowMs: number): void {
        this.leave(request);
        const caller = this.callers.get(keyOf(request));
        if (caller !== undefined && caller.returnFromMs === undefined) {
            caller.returnFromMs = nowMs + retryAfterMs * (1 - earlyTolerance);
            caller.returnUntilMs = nowMs + retryAfterMs + returnWindowMs;
        }
    }

    /** Forgets callers that have had no slots for some time. */
    removeUnused(nowMs: number): void {
        for (const [key, caller] of this.callers) {
            decay(caller, nowMs);
            if (caller.waiting === 0 && caller.recent < negligibleSlots && nowMs >= caller.returnUntilMs) {
                this.callers.delete(key);
            }
        }
    }

    /** Number of callers that are known. */
    get count(): number {
        return this.callers.size;
    }

    /** Counts the callers that have or wait for more than one slot. */
    countAboveShare(nowMs: number): number {
        let count = 0;
        for (const caller of this.callers.values()) {
            decay(caller, nowMs);
            count += caller.waiting + caller.recent > shareSlots ? 1 : 0;
        }
        return count;
    }

    private forgetOldest(): void {
        if (this.callers.size > maxCallers) {
            this.callers.delete(this.callers.keys().next().value as number | string);
        }
    }
}

/** Returns the key of a request's caller. Requests without one count as those of one caller for each sending host. */
function keyOf({ caller, sender, priority }: AdmissionRequest): number | string {
    return caller === undefined ? `${sender} ${String(priority)}` : priority * 0x1_0000_0000 + caller;
}

/** Decays a caller's recent slots; a clock that steps back changes nothing. */
function decay(caller: Caller, nowMs: number): void {
    const elapsedMs = nowMs - caller.updatedMs;
    if (elapsedMs > 0) {
        caller.recent *= Math.exp(-elapsedMs / decayMs);
        caller.updatedMs = nowMs;
    }
}
