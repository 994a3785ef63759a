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

/** Quick averages below this are forgotten; chance explains what is many times as high. */
const negligibleLoad = 0.02;

const meanWeight = 0.05;

/** Fading sums are kept as of one moment for so many times their memory, well within what a number can hold. */
const maxMemories = 20;

/** The averages hold less than their full load until they have run for a while. */
const minWarmth = 0.15;

/** Load by key of one service, as slots that an average target needs for it. */
export class KeyLoads {
    private readonly slow = new FadingSum(slowMemoryMs);
    private readonly quick = new Map<number, { load: number; atMs: number }>();
    private readonly load = new Float64Array(maxKey + 1);
    private readonly sums = new Float64Array(maxKey + 2);
    private startedMs: number | undefined;
    private nowMs = 0;
    private meanWorkMs = 0;
    private expected = 0;
    private counted = false;
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
        this.counted ||= pairs.length > 0;
        for (let index = 0; index + 1 < pairs.length; index += 2) {
            const key = pairs[index] as number;
            const workMs = pairs[index + 1] as number;
            if (key >= 0 && key <= maxKey) {
                this.slow.add(key, workMs / slowMemoryMs, this.nowMs);
                this.quick.set(key, { load: this.quickLoad(key) + workMs / quickMemoryMs, atMs: this.nowMs });
                this.meanWorkMs += (workMs - this.meanWorkMs) * meanWeight;
            }
        }
    }

    /** True once any work was counted. */
    get hasCounted(): boolean {
        return this.counted;
    }

    /** Lets old load fade. */
    decay(nowMs: number): void {
        this.startedMs ??= nowMs;
        this.summed &&= nowMs <= this.nowMs;
        this.nowMs = Math.max(this.nowMs, nowMs);
    }

    private quickLoad(key: number): number {
        const quick = this.quick.get(key);
        return quick === undefined ? 0 : quick.load * Math.exp((quick.atMs - this.nowMs) / quickMemoryMs);
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
        const counted = this.countSlow() + this.countQuick();
        const uncountedLoad = Math.max(leastUncounted, this.expected - counted) / (maxKey + 1);
        const { load, sums } = this;
        let total = 0;
        for (let key = 0; key <= maxKey; key++) {
            total += (load[key] as number) + uncountedLoad;
            sums[key + 1] = total;
        }
        this.summed = true;
    }

    /** Puts the slow average into `load`; gives its sum. */
    private countSlow(): number {
        const ranMs = this.nowMs - (this.startedMs ?? 0);
        const warmth = Math.max(minWarmth, 1 - Math.exp(-ranMs / slowMemoryMs));
        return this.slow.copyTo(this.load, 1 / warmth, this.nowMs);
    }

    /** Raises `load` where the quick average is higher by more than chance; gives what that adds. */
    private countQuick(): number {
        let added = 0;
        for (const key of this.quick.keys()) {
            const quick = this.quickLoad(key);
            if (quick < negligibleLoad) {
                this.quick.delete(key);
                continue;
            }
            const certain = quick - surprise * Math.sqrt(quick * this.meanWorkMs / quickMemoryMs);
            const more = certain - (this.load[key] as number);
            if (more > 0) {
                this.load[key] = certain;
                added += more;
            }
        }
        return added;
    }
}

/**
 * Sums by key that fade with time. They are kept as of one moment, and what is added later counts for more instead, so that
 * adding touches single keys only.
 */
class FadingSum {
    private readonly sums = new Float64Array(maxKey + 1);
    private asOfMs = 0;

    /** @param memoryMs time after which a sum has faded to a third */
    constructor(private readonly memoryMs: number) {}

    add(key: number, amount: number, nowMs: number): void {
        if (nowMs - this.asOfMs > this.memoryMs * maxMemories) {
            this.rebase(nowMs);
        }
        this.sums[key] = (this.sums[key] as number) + amount * Math.exp((nowMs - this.asOfMs) / this.memoryMs);
    }

    /** Copies the sums as of now, times a factor; gives their total. */
    copyTo(into: Float64Array, factor: number, nowMs: number): number {
        const { sums } = this;
        const scale = factor * Math.exp((this.asOfMs - nowMs) / this.memoryMs);
        let total = 0;
        for (let key = 0; key <= maxKey; key++) {
            const sum = (sums[key] as number) * scale;
            into[key] = sum;
            total += sum;
        }
        return total;
    }

    private rebase(nowMs: number): void {
        const scale = Math.exp((this.asOfMs - nowMs) / this.memoryMs);
        for (let key = 0; key <= maxKey; key++) {
            this.sums[key] = (this.sums[key] as number) * scale;
        }
        this.asOfMs = nowMs;
    }
}
