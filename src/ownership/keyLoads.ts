/** Recent load by key, over all hosts. */
import type { Key, KeyRange } from "../model/names.js";
import { maxKey } from "../model/names.js";

/** Time after which a request counts only by a third. */
const memoryMs = 1_500;

/** Load that every key is taken to have, so that idle ranges are spread by their width. */
const idleLoad = 0.5 / (maxKey + 1);

/** Load by key of one service, as slots that an average target needs for it. */
export class KeyLoads {
    private readonly load = new Float64Array(maxKey + 1);
    private readonly sums = new Float64Array(maxKey + 2);
    private decayedMs: number | undefined;
    private summed = false;

    /**
     * Adds work.
     * @param pairs keys and milliseconds of work by turns
     * @param nowMs now
     */
    add(pairs: readonly number[], nowMs: number): void {
        this.decay(nowMs);
        for (let index = 0; index + 1 < pairs.length; index += 2) {
            const key = pairs[index] as number;
            if (key >= 0 && key <= maxKey) {
                this.load[key] = (this.load[key] as number) + (pairs[index + 1] as number) / memoryMs;
            }
        }
        this.summed = false;
    }

    /** Lets old load fade. */
    decay(nowMs: number): void {
        const passedMs = nowMs - (this.decayedMs ?? nowMs);
        this.decayedMs = nowMs;
        if (passedMs <= 0) {
            return;
        }
        const factor = Math.exp(-passedMs / memoryMs);
        for (let key = 0; key <= maxKey; key++) {
            this.load[key] = (this.load[key] as number) * factor;
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
        let total = 0;
        for (let key = 0; key <= maxKey; key++) {
            total += (this.load[key] as number) + idleLoad;
            this.sums[key + 1] = total;
        }
        this.summed = true;
    }
}
