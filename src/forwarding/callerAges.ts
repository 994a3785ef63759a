/**
 * Estimates for how long a client account has already waited when one of its attempts arrives.
 *
 * Load pattern: a key receives several times the work that its owner can do. Client accounts whose attempts were refused retry,
 * each time with a shorter deadline, and soon make up most of the arriving attempts. Their target latency has already passed, so a
 * slot given to a retry is a slot less for a first attempt that could still be answered in time.
 *
 * An attempt states its remaining budget. First attempts of one kind state nearly the same budget. An attempt with a much smaller
 * budget is taken for a retry, provided that a request of its kind was refused recently.
 */

/** An attempt whose budget is below this share of the typical budget counts as a retry. */
const returnedBelowShare = 0.75;

/**
 * Weights of an observed budget above and below the typical budget. The lower one is small, because at times most attempts are retries,
 * whose smaller budgets must not reduce the typical budget.
 */
const raiseWeight = 0.15;
const lowerWeight = 0.005;

/** An observed budget is limited to this multiple of the typical budget. */
const maxRatio = 1.5;

/** Time after a refusal in which retries are expected, as a multiple of the typical budget. */
const returnsLastTimes = 1;

interface Observed {
    usualMs: number;
    turnedAwayMs: number;
}

/** Estimates the waiting times of client accounts from the budgets of their attempts, separately for each kind of request. */
export class CallerAges {
    private readonly observedByKind = new Map<string, Observed>();

    /**
     * Records the budget of an attempt and estimates for how long its client account has already waited.
     * @param kind the kind of request
     * @param budgetMs remaining time that the attempt states; undefined if it states none
     * @param nowMs current monotonic time
     * @returns the time already waited in milliseconds; 0 for a first attempt
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
     * Records that a request was refused, so that retries are to be expected.
     * @param kind the kind of request
     * @param nowMs current monotonic time
     */
    noteTurnedAway(kind: string, nowMs: number): void {
        const observed = this.observedByKind.get(kind);
        if (observed !== undefined) {
            observed.turnedAwayMs = nowMs;
        }
    }
}
