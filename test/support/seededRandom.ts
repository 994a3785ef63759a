/** Seeded random numbers for tests. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Pseudo-random generator; equal seeds give equal sequences of values. */
export class SeededRandom {
    private readonly generator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns an integer from 0 to `bound`, both included. */
    integerUpTo(bound: number): number {
        return uniformInt(this.generator, 0, Math.max(0, Math.floor(bound)));
    }

    /** Returns true with the given probability; a probability of 0 takes no value from the sequence. */
    chance(probability: number): boolean {
        return probability > 0 && this.integerUpTo(999_999) < probability * 1_000_000;
    }

    /** Returns a number that is uniformly distributed in [0, 1). */
    uniform(): number {
        return this.integerUpTo(999_999) / 1_000_000;
    }

    pick<T>(items: readonly T[]): T {
        return items[this.integerUpTo(items.length - 1)] as T;
    }
}
