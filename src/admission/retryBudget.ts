/** Bounds retries to a share of the first attempts, so that a failing target is not flooded. */

/** A token bucket that first attempts fill and retries empty. */
export class RetryBudget {
    private tokens: number | undefined;

    /**
     * @param ratio retries allowed for each first attempt
     * @param maxTokens retries allowed in a burst
     */
    constructor(private readonly ratio: number, private readonly maxTokens: () => number) {}

    /** Counts a first attempt. */
    onFirstAttempt(): void {
        this.tokens = Math.min(this.maxTokens(), this.available() + this.ratio);
    }

    /**
     * Takes one retry out of the budget.
     * @returns false when it is spent
     */
    tryRetry(): boolean {
        const available = this.available();
        if (available < 1) {
            return false;
        }
        this.tokens = available - 1;
        return true;
    }

    private available(): number {
        return Math.min(this.maxTokens(), this.tokens ?? this.maxTokens());
    }
}
