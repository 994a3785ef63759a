/**
 * Estimates for how long a caller has already been waiting when one of its attempts arrives.
 *
 * Load pattern: a key with several times the work that its owner can do. Callers that were turned away come back, each with a
 * shorter deadline, and soon are most of what arrives. Their target latency has passed, so a slot spent on one of them is an
 * answer in time less for a caller that comes for the first time.
 *
 * An attempt says how long its caller still waits. Callers that come for the first time say nearly the same; one that says much
 * less has been here before, provided that requests of its kind were turned away of late.
 */

/** A caller that still waits for less than this share of the usual time has been here before. */
const returnedBelowShare = 0.75;

/** Weights of one observation above and below the usual time; returned callers are many at times, and must not pull it down. */
const raiseWeight = 0.15;
const lowerWeight = 0.005;

/** An observation counts as this many times the usual time at most. */
const maxRatio = 1.5;

/** Requests that were turned away longer ago than this many usual times do not come back any more. */
const returnsLastTimes = 1;

interface Observed {
    usualMs: number;
    turnedAwayMs: number;
}

/** Ages of callers, by kind of request. */
export class CallerAges {
    private readonly observedByKind = new Map<string, Observed>();

    /**
     * Takes in the budget of an attempt and estimates its caller's age.
     * @param kind the kind of request
     * @param budgetMs how long the caller still waits, as it says itself; undefined when it does not
     * @param nowMs now
     * @returns time for which the caller has waited; 0 for one that comes for the first time
     */
    ageMs(kind: string, budgetMs: number | undefined, nowMs: number): number {
        if (budgetMs === undefined) {
            return 0;
        }
        const observed = this.observedByKind.get(kind) ?? { usualMs: budgetMs, turnedAwayMs: Number.NEGATIVE_INFINITY };
        this.observedByKind.set(kind, observed);
        const { usualMs, turnedAwayMs } = observed;
        const countedMs = Math.min(budgetMs, usualMs * maxRatio);
        observed.usualMs += (countedMs - usualMs) * (countedMs > usualMs ? raiseWeight : lowerWeight);
        const mayReturn = nowMs - turnedAwayMs <= usualMs * returnsLastTimes;
        return mayReturn && budgetMs < usualMs * returnedBelowShare ? usualMs - budgetMs : 0;
    }

    /**
     * Notes that a request was turned away, so that its caller may come back.
     * @param kind the kind of request
     * @param nowMs now
     */
    noteTurnedAway(kind: string, nowMs: number): void {
        const observed = this.observedByKind.get(kind);
        if (observed !== undefined) {
            observed.turnedAwayMs = nowMs;
        }
    }
}
