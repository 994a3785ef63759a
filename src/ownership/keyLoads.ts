/**
 * Recent load by key, over all hosts.
 *
 * Load pattern: load by key is noisy, since single requests make it up, and changes within a fraction of a second when a
 * key turns hot. So a slow average counts, and a quick one where it is higher by more than chance explains.
 */
import type { Key, KeyRange } from "../model/names.js";
import { maxKey } from "../model/names.js";

/** Times after which a request counts only by a third, in the two averages. */
const slowMemoryMs = 2_500;
const quickMemoryMs = 300;

/** Standard deviations that are taken off the quick average before it counts. */
const surprise = 1;

/** Load that all keys together are taken to have at least, besides what was counted, so that idle ranges are spread by their width. */
const leastUncounted = 0.5;

/** Quick averages below this are forgotten. */
const negligibleLoad = leastUncounted / (maxKey + 1);

const meanWeight = 0.05;

/** The averages hold less than their full load until they have run for a while. */
const minWarmth = 0.15;

/** Load by key of one service, as slots that an average target needs for it. */
export class KeyLoads {
    private readonly slow = new Float64Array(maxKey + 1);
    private readonly quick = new Map<number, number>();
    private readonly load = new Float64Array(maxKey + 1);
    private readonly sums = new Float64Array(maxKey + 2);
    private startedMs: number | undefined;
    private decayedMs = 0;
    private meanWorkMs = 0;
    private expected = 0;
    private summed = false;

    /**
     * Sets the load that is expected of all keys together. As long as less was counted, the rest is taken to be spread evenly:
     * before the first requests, and after a quiet time, nothing else is known of where they will come.
     * @param slots the load
     */
    expect(slots: number): void {
        this.summed &&= this.expected === slots;
        this.expected = slots;
    }

    /**
     * Adds work.
     * @param pairs keys and milliseconds of work by turns
     * @param nowMs now
     */
    add(pairs: readonly number[], nowMs: number): void {
        this.decay(nowMs);
        for (let index = 0; index + 1 < pairs.length; index += 2) {
            const key = pairs[index] as number;
            const workMs = pairs[index + 1] as number;
            if (key >= 0 && key <= maxKey) {
                this.slow[key] = (this.slow[key] as number) + workMs / slowMemoryMs;
                this.quick.set(key, (this.quick.get(key) ?? 0) + workMs / quickMemoryMs);
                this.meanWorkMs += (workMs - this.meanWorkMs) * meanWeight;
            }
        }
        this.summed = false;
    }

    /** Lets old load fade. */
    decay(nowMs: number): void {
        this.startedMs ??= nowMs;
        const passedMs = nowMs - Math.max(this.decayedMs, this.startedMs);
        this.decayedMs = nowMs;
        if (passedMs <= 0) {
            return;
        }
        const slowFactor = Math.exp(-passedMs / slowMemoryMs);
        for (let key = 0; key <= maxKey; key++) {
            this.slow[key] = (this.slow[key] as number) * slowFactor;
        }
        const quickFactor = Math.exp(-passedMs / quickMemoryMs);
        for (const [key, load] of this.quick) {
            if (load * quickFactor < negligibleLoad) {
                this.quick.delete(key);
            }
            else {
                this.quick.set(key, load * quickFactor);
            }
        }
        this.summed = false;
    }

    /** Load of a range. */
    of({ from, to }: KeyRange): number {
        this.sum();
        return (this.sums[to + 1] as number) - (this.sums[from] as number);
    }

    /**
     * Lists the keys of a range that have at least some load each.
     * @param range where to look
     * @param least the load; more than nothing
     */
    keysAbove({ from, to }: KeyRange, least: number): Key[] {
        if (this.of({ from, to }) < least) {
            return [];
        }
        const keys: Key[] = [];
        for (let key: number = from; key <= to; key++) {
            if ((this.load[key] as number) >= least) {
                keys.push(key as Key);
            }
        }
        return keys;
    }

    /**
     * Finds the longest range from a key on that has no more than some load.
     * @param from its first key
     * @param to its last possible key
     * @param load the load
     * @returns its last key; at least `from`
     */
    endOfLoad(from: Key, to: Key, load: number): Key {
        this.sum();
        const limit = (this.sums[from] as number) + load;
        let low: number = from;
        let high: number = to;
        while (low < high) {
            const middle = (low + high + 1) >>> 1;
            if ((this.sums[middle + 1] as number) <= limit) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return low as Key;
    }

    private sum(): void {
        if (this.summed) {
            return;
        }
        const ranMs = this.decayedMs - (this.startedMs ?? 0);
        const warmth = Math.max(minWarmth, 1 - Math.exp(-ranMs / slowMemoryMs));
        for (let key = 0; key <= maxKey; key++) {
            this.load[key] = (this.slow[key] as number) / warmth;
        }
        for (const [key, quick] of this.quick) {
            const certain = quick - surprise * Math.sqrt(quick * this.meanWorkMs / quickMemoryMs);
            this.load[key] = Math.max(this.load[key] as number, certain);
        }
        const counted = this.load.reduce((sum, load) => sum + load, 0);
        const uncountedLoad = Math.max(leastUncounted, this.expected - counted) / (maxKey + 1);
        let total = 0;
        for (let key = 0; key <= maxKey; key++) {
            total += (this.load[key] as number) + uncountedLoad;
            this.sums[key + 1] = total;
        }
        this.summed = true;
    }
}
