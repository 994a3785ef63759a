/** Retry budgets of this host, one for each service. */
import type { ServiceId } from "../model/names.js";
import { RetryBudget } from "./retryBudget.js";

/** Share of the allowance that is used; the rest covers what other hosts count differently. */
const usedShare = 0.8;

/** What all hosts together may repeat. */
export interface RetryAllowance {
    /** Repeats for each request. */
    ratio: number;
    /** Repeats beyond the ratio, in one window. */
    extra: number;
}

/** Budgets by service. */
export interface RetryBudgets {
    /** Counts a request for a service. */
    onRequest(serviceId: ServiceId): void;
    /** Takes one repeat; false when the budget is spent. */
    take(serviceId: ServiceId): boolean;
}

/**
 * Creates the budgets.
 * @param allowance what all hosts together may repeat
 * @param hostCount hosts that share it
 */
export function createRetryBudgets(allowance: RetryAllowance, hostCount: () => number): RetryBudgets {
    const budgets = new Map<ServiceId, RetryBudget>();
    const budgetOf = (serviceId: ServiceId): RetryBudget => {
        const budget = budgets.get(serviceId)
            ?? new RetryBudget(allowance.ratio * usedShare, () => Math.max(1, allowance.extra * usedShare / Math.max(1, hostCount())));
        budgets.set(serviceId, budget);
        return budget;
    };
    return {
        onRequest: (serviceId) => {
            budgetOf(serviceId).onFirstAttempt();
        },
        take: (serviceId) => budgetOf(serviceId).tryRetry(),
    };
}
