/** Limits retries to a share of the first attempts, so that retries do not overload a failing target. */

/**
 * Tokens of a bucket at first, if its capacity permits. A host that has just started does not know the other hosts yet, so its capacity
 * may be that of all of them.
 */
const initialTokens = 5;

/** A token bucket: each first attempt adds a fraction of a token and each retry takes one. */
export class RetryBudget {
    private tokens = initialTokens;

    /**
     * @param ratio retries allowed per first attempt
     * @param maxTokens returns the capacity of the bucket, which is the number of retries allowed in a burst
     */
    constructor(private readonly ratio: number, private readonly maxTokens: () => number) {}

    /** Counts a first attempt. */
    onFirstAttempt(): void {
        this.tokens = Math.min(this.maxTokens(), this.availableTokens() + this.ratio);
    }

    /**
     * Takes the token for one retry.
     * @returns false if there is none
     */
    tryRetry(): boolean {
        const available = this.availableTokens();
        if (available < 1) {
            return false;
        }
        this.tokens = available - 1;
        return true;
    }

    /** Retries that may be sent now; a fraction counts towards the next one. */
    availableTokens(): number {
        return Math.min(this.maxTokens(), this.tokens);
    }
}
