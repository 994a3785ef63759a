/** Retry budgets of this host, one per service. */
import type { ServiceId } from "../model/names.js";
import { RetryBudget } from "./retryBudget.js";

/** Share of the allowance that hosts use; the rest is a margin for differences between the counts of the hosts. */
const usedAllowanceShare = 0.8;

/** Number of retries that all hosts together may send. */
export interface RetryAllowance {
    /** Retries per request. */
    ratio: number;
    /** Retries beyond the ratio in one window. */
    extra: number;
}

/** Retry budgets by service. */
export interface RetryBudgets {
    /** Counts a first attempt for a service. */
    onRequest(serviceId: ServiceId): void;
    /** Takes one retry out of the service's budget; returns false if the budget is exhausted. */
    take(serviceId: ServiceId): boolean;
    /** Returns the retries left in the service's budget; a fraction counts towards the next one. */
    left(serviceId: ServiceId): number;
}

/**
 * Creates the budgets.
 * @param allowance retries that all hosts together may send
 * @param hostCount returns the number of hosts that share the allowance
 */
export function createRetryBudgets(allowance: RetryAllowance, hostCount: () => number): RetryBudgets {
    const budgets = new Map<ServiceId, RetryBudget>();
    const budgetOf = (serviceId: ServiceId): RetryBudget => {
        const budget = budgets.get(serviceId) ?? new RetryBudget(
            allowance.ratio * usedAllowanceShare, () => Math.max(1, allowance.extra * usedAllowanceShare / Math.max(1, hostCount())));
        budgets.set(serviceId, budget);
        return budget;
    };
    return {
        onRequest: (serviceId) => {
            budgetOf(serviceId).onFirstAttempt();
        },
        take: (serviceId) => budgetOf(serviceId).tryRetry(),
        left: (serviceId) => budgetOf(serviceId).availableTokens(),
    };
}
