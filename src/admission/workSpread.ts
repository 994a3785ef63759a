/**
 * Learns how much longer than expected work takes at times.
 *
 * Load pattern: requests of one kind whose work differs by several times. What is planned by the average alone ends late in half
 * of all cases, so plans use a time that most work stays below.
 */

/** Share of the work that is to stay below `ratio`. */
const coveredShare = 0.85;

const initialRatio = 1.5;
const minRatio = 1;
const maxRatio = 4;

/** Largest step by one observation. */
const step = 0.04;

/** The ratio to the expected time that most work stays below. */
export class WorkSpread {
    private current = initialRatio;

    /** Most work takes at most this many times its expected time. */
    get ratio(): number {
        return this.current;
    }

    /**
     * Takes an observation in.
     * @param ratio time that work took over the time that was expected
     */
    learn(ratio: number): void {
        this.current += ratio > this.current ? step * coveredShare : -step * (1 - coveredShare);
        this.current = Math.min(maxRatio, Math.max(minRatio, this.current));
    }
}
