/** Seeded randomness for tests. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A stream of random values that a seed fixes. */
export class Random {
    private readonly generator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** An integer from 0 up to and including a bound. */
    upTo(bound: number): number {
        return uniformInt(this.generator, 0, Math.max(0, Math.floor(bound)));
    }

    chance(probability: number): boolean {
        return probability > 0 && this.upTo(999_999) < probability * 1_000_000;
    }

    /** Uniform in [0, 1). */
    unit(): number {
        return this.upTo(999_999) / 1_000_000;
    }

    pick<T>(of: readonly T[]): T {
        return of[this.upTo(of.length - 1)] as T;
    }
}
