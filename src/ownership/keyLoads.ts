/**
 * Recent load by key, summed over all hosts.
 *
 * Load pattern: the load of a key is noisy, since it consists of single requests, and it changes within a fraction of a second when
 * the key becomes hot. So each key has a slow moving average, which is used unless a fast one is higher by more than random variation
 * explains.
 */
import type { Key, KeyRange } from "../model/names.js";
import { maxKey } from "../model/names.js";

/** Time constants of the two averages: after this time the weight of a request has decayed to 1/e. */
const slowTimeConstantMs = 2_500;
const fastTimeConstantMs = 300;

/** Number of standard deviations that are subtracted from the fast average before it is compared with the slow one. */
const noiseDeviations = 1;

/** Least load in slots that is spread over all keys besides the counted load, so that idle ranges have load by their width. */
const minUncountedLoad = 0.5;

/** Fast averages below this, in slots, are dropped; random variation explains averages many times as high. */
const negligibleLoad = 0.02;

/** Weight of a new value in the moving average of the work per key and report. */
const meanWeight = 0.05;

/** Decaying sums keep one reference time for so many time constants, so that the scaled values stay well within a number's range. */
const maxTimeConstants = 20;

/** The slow average reaches the full load only after a while; this limits the factor that compensates for it. */
const minWarmUpShare = 0.15;

/** Longest work on one key that one report may state. */
const maxWorkMs = 1_000_000_000;

/** Load by key of one service, in slots of an average target. */
export class KeyLoads {
    private readonly slowSums = new DecayingSums(slowTimeConstantMs);
    private readonly fastAverages = new Map<number, { load: number; atMs: number }>();
    private readonly load = new Float64Array(maxKey + 1);
    /** Keys to which work was ever added, ascending; only these have counted load. */
    private countedKeys = new Uint16Array(0);
    /** The element at an index is the load of all counted keys below that index. */
    private countedSums = new Float64Array(1);
    private uncountedPerKey = 0;
    private startedMs: number | undefined;
    private nowMs = 0;
    private meanWorkMs = 0;
    private expectedSlots = 0;
    private hasAddedWork = false;
    private areSumsValid = false;

    /**
     * Sets the load that is expected of all keys together. While less is counted, the difference is spread evenly over the keys: before
     * the first requests and after a time without any, nothing else is known about where they will arrive.
     * @param slots the load
     */
    setExpectedLoad(slots: number): void {
        this.areSumsValid &&= this.expectedSlots === slots;
        this.expectedSlots = slots;
    }

    /**
     * Adds work.
     * @param pairs alternating keys and milliseconds of work
     * @param nowMs current monotonic time
     */
    add(pairs: readonly number[], nowMs: number): void {
        this.advanceTo(nowMs);
        this.hasAddedWork ||= pairs.length > 0;
        this.areSumsValid &&= pairs.length === 0;
        for (let index = 0; index + 1 < pairs.length; index += 2) {
            const key = pairs[index] as number;
            const workMs = pairs[index + 1] as number;
            // Another host may report a work that is no number, and one such value would stay in every sum.
            if (Number.isInteger(key) && key >= 0 && key <= maxKey && workMs >= 0 && workMs <= maxWorkMs) {
                this.slowSums.add(key, workMs / slowTimeConstantMs, this.nowMs);
                this.fastAverages.set(key, { load: this.fastLoad(key) + workMs / fastTimeConstantMs, atMs: this.nowMs });
                this.meanWorkMs += (workMs - this.meanWorkMs) * meanWeight;
            }
        }
    }

    /** True once any work has been added. */
    get hasWork(): boolean {
        return this.hasAddedWork;
    }

    /** Advances the time at which the loads are evaluated, so that older work counts less. */
    advanceTo(nowMs: number): void {
        this.startedMs ??= nowMs;
        this.areSumsValid &&= nowMs <= this.nowMs;
        this.nowMs = Math.max(this.nowMs, nowMs);
    }

    private fastLoad(key: number): number {
        const average = this.fastAverages.get(key);
        return average === undefined ? 0 : average.load * Math.exp((average.atMs - this.nowMs) / fastTimeConstantMs);
    }

    /** Returns the load of a range. */
    loadOf({ from, to }: KeyRange): number {
        this.updateSums();
        return this.loadBelow(to + 1) - this.loadBelow(from);
    }

    /**
     * Lists the keys of a range whose own load reaches a limit.
     * @param range the range
     * @param minLoad the limit; must be above 0
     */
    keysAbove({ from, to }: KeyRange, minLoad: number): Key[] {
        if (this.loadOf({ from, to }) < minLoad) {
            return [];
        }
        const keys: Key[] = [];
        const end = this.countedBelow(to + 1);
        for (let index = this.countedBelow(from); index < end; index++) {
            const key = this.countedKeys[index] as number;
            if ((this.load[key] as number) >= minLoad) {
                keys.push(key as Key);
            }
        }
        return keys;
    }

    /**
     * Finds the longest range that starts at a key and has at most some load.
     * @param from first key of the range
     * @param to last key that it may contain
     * @param load the largest load
     * @returns last key of the range; at least `from`, even if that key alone has more load
     */
    lastKeyWithinLoad(from: Key, to: Key, load: number): Key {
        this.updateSums();
        const limit = this.loadBelow(from) + load;
        let low: number = from;
        let high: number = to;
        while (low < high) {
            const middle = (low + high + 1) >>> 1;
            if (this.loadBelow(middle + 1) <= limit) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return low as Key;
    }

    private updateSums(): void {
        if (this.areSumsValid) {
            return;
        }
        this.countedKeys = this.slowSums.sortedKeys();
        const counted = this.applySlowAverages() + this.applyFastAverages();
        this.uncountedPerKey = Math.max(minUncountedLoad, this.expectedSlots - counted) / (maxKey + 1);
        const { countedKeys, load } = this;
        if (this.countedSums.length !== countedKeys.length + 1) {
            this.countedSums = new Float64Array(countedKeys.length + 1);
        }
        let total = 0;
        for (let index = 0; index < countedKeys.length; index++) {
            total += load[countedKeys[index] as number] as number;
            this.countedSums[index + 1] = total;
        }
        this.areSumsValid = true;
    }

    /** Returns the load of all keys below a key. */
    private loadBelow(key: number): number {
        return (this.countedSums[this.countedBelow(key)] as number) + key * this.uncountedPerKey;
    }

    /** Returns the number of counted keys below a key. */
    private countedBelow(key: number): number {
        let low = 0;
        let high = this.countedKeys.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.countedKeys[middle] as number) < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    /** Sets `load` to the slow averages and returns their sum. */
    private applySlowAverages(): number {
        const ranMs = this.nowMs - (this.startedMs ?? 0);
        const warmUpShare = Math.max(minWarmUpShare, 1 - Math.exp(-ranMs / slowTimeConstantMs));
        return this.slowSums.copyTo(this.load, 1 / warmUpShare, this.nowMs);
    }

    /** Raises `load` where the fast average is higher by more than random variation, and returns the load that this adds. */
    private applyFastAverages(): number {
        let added = 0;
        for (const key of this.fastAverages.keys()) {
            const average = this.fastLoad(key);
            if (average < negligibleLoad) {
                this.fastAverages.delete(key);
                continue;
            }
            const lowerBound = average - noiseDeviations * Math.sqrt(average * this.meanWorkMs / fastTimeConstantMs);
            const excess = lowerBound - (this.load[key] as number);
            if (excess > 0) {
                this.load[key] = lowerBound;
                added += excess;
            }
        }
        return added;
    }
}

/**
 * Sums by key that decay exponentially. They are stored as of a reference time, and amounts that are added later are scaled up instead,
 * so that adding an amount changes the sum of a single key only.
 */
class DecayingSums {
    private readonly sums = new Float64Array(maxKey + 1);
    private readonly keys = new Set<number>();
    /** The keys, ascending; too short after a key has been added. */
    private sorted = new Uint16Array(0);
    private referenceMs = 0;

    /** @param timeConstantMs time after which a sum has decayed to 1/e */
    constructor(private readonly timeConstantMs: number) {}

    add(key: number, amount: number, nowMs: number): void {
        if (nowMs - this.referenceMs > this.timeConstantMs * maxTimeConstants) {
            this.rebase(nowMs);
        }
        this.keys.add(key);
        this.sums[key] = (this.sums[key] as number) + amount * Math.exp((nowMs - this.referenceMs) / this.timeConstantMs);
    }

    /** Returns the keys to which any amount was added, ascending. */
    sortedKeys(): Uint16Array<ArrayBuffer> {
        if (this.sorted.length !== this.keys.size) {
            this.sorted = Uint16Array.from(this.keys).sort();
        }
        return this.sorted;
    }

    /** Writes the current sums of these keys, multiplied by a factor, to an array and returns their total. */
    copyTo(destination: Float64Array, factor: number, nowMs: number): number {
        const { sums } = this;
        const scale = factor * Math.exp((this.referenceMs - nowMs) / this.timeConstantMs);
        let total = 0;
        for (const key of this.sortedKeys()) {
            const sum = (sums[key] as number) * scale;
            destination[key] = sum;
            total += sum;
        }
        return total;
    }

    /** Moves the reference time. */
    private rebase(nowMs: number): void {
        const scale = Math.exp((this.referenceMs - nowMs) / this.timeConstantMs);
        for (const key of this.keys) {
            this.sums[key] = (this.sums[key] as number) * scale;
        }
        this.referenceMs = nowMs;
    }
}
