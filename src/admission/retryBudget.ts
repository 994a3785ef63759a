/** Bounds retries to a share of the first attempts, so that a failing target is not flooded. */

/** A token bucket that first attempts fill and retries empty. */
export class RetryBudget {
    private tokens: number;

    /**
     * @param ratio retries allowed for each first attempt
     * @param maxTokens retries allowed in a burst
     */
    constructor(private readonly ratio: number, private readonly maxTokens: number) {
        this.tokens = maxTokens;
    }

    /** Counts a first attempt. */
    onFirstAttempt(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.ratio);
    }

    /**
     * Takes one retry out of the budget.
     * @returns false when it is spent
     */
    tryRetry(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
