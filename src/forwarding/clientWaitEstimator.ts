/**
 * Estimates for how long a client has already waited when one of its attempts arrives.
 *
 * Load pattern: a key receives several times the work that its owner can do. Clients whose attempts were refused retry, each time
 * with a shorter deadline, and soon make up most of the arriving attempts. Their target latency has already passed, so a slot given
 * to a retry is a slot less for a first attempt that could still be answered in time.
 *
 * An attempt, which here is one request sent by a client, states the client's remaining budget. First attempts of one kind state
 * nearly the same budget. An attempt with a much smaller budget is taken for a retry, provided that a request of its kind was
 * refused recently.
 */

/** An attempt whose budget is below this share of the typical budget counts as a retry. */
const retryBelowShare = 0.75;

/**
 * Weights of an observed budget above and below the typical budget. The second one is small, because at times most attempts are
 * retries, whose smaller budgets must not reduce the typical budget.
 */
const aboveTypicalWeight = 0.15;
const belowTypicalWeight = 0.005;

/** An observed budget is limited to this multiple of the typical budget. */
const maxBudgetRatio = 1.5;

/** Time after a refusal in which retries are expected, as a multiple of the typical budget. */
const retryWindowRatio = 1;

interface ObservedBudgets {
    typicalBudgetMs: number;
    lastRefusalMs: number;
}

/** Estimates the waiting times of clients from the budgets of their attempts, separately for each kind of request. */
export class ClientWaitEstimator {
    private readonly observedByKind = new Map<string, ObservedBudgets>();

    /**
     * Records the budget of an attempt and estimates for how long its client has already waited.
     * @param kind the kind of request
     * @param budgetMs remaining time that the attempt states; undefined if it states none
     * @param nowMs current monotonic time
     * @returns the time already waited in milliseconds; 0 for a first attempt, or if no budget is stated
     */
    estimateWaitMs(kind: string, budgetMs: number | undefined, nowMs: number): number {
        if (budgetMs === undefined) {
            return 0;
        }
        const observed = this.observedByKind.get(kind) ?? { typicalBudgetMs: budgetMs, lastRefusalMs: Number.NEGATIVE_INFINITY };
        this.observedByKind.set(kind, observed);
        const { typicalBudgetMs, lastRefusalMs } = observed;
        const limitedBudgetMs = Math.min(budgetMs, typicalBudgetMs * maxBudgetRatio);
        observed.typicalBudgetMs += (limitedBudgetMs - typicalBudgetMs)
            * (limitedBudgetMs > typicalBudgetMs ? aboveTypicalWeight : belowTypicalWeight);
        const mayBeRetry = nowMs - lastRefusalMs <= typicalBudgetMs * retryWindowRatio;
        return mayBeRetry && budgetMs < typicalBudgetMs * retryBelowShare ? typicalBudgetMs - budgetMs : 0;
    }

    /**
     * Records that a request was refused, so that retries are to be expected.
     * @param kind the kind of request
     * @param nowMs current monotonic time
     */
    recordRefusal(kind: string, nowMs: number): void {
        const observed = this.observedByKind.get(kind);
        if (observed !== undefined) {
            observed.lastRefusalMs = nowMs;
        }
    }
}
