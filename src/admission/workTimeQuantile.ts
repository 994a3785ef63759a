/**
 * Estimates a quantile of the ratio between actual and expected work time.
 *
 * Load pattern: requests of one kind whose work times differ several-fold. Planning by the average alone makes half of the answers
 * late, so the queue plans with a work time that most requests do not exceed.
 */

/** The estimated quantile: the share of requests whose ratio is at most the estimate. */
const quantile = 0.85;

const initialRatio = 1.5;
const minRatio = 1;
const maxRatio = 4;

/** Upper bound of the change of the estimate by one observation. */
const maxStep = 0.04;

/** Running estimate of the quantile, adjusted by a small step at each observation. */
export class WorkTimeQuantile {
    private estimate = initialRatio;

    /** Current estimate: most requests take at most this many times their expected work time. */
    get ratio(): number {
        return this.estimate;
    }

    /**
     * Updates the estimate with an observation.
     * @param ratio actual work time divided by the expected one
     */
    observe(ratio: number): void {
        this.estimate += ratio > this.estimate ? maxStep * quantile : -maxStep * (1 - quantile);
        this.estimate = Math.min(maxRatio, Math.max(minRatio, this.estimate));
    }
}
