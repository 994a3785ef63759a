/** Fencing tokens: later terms have higher ones, and within a term every grant of a new kind has a higher one. */
import type { Fence, Term } from "../model/names.js";

/** Fences that one term may use. */
const fencesPerTerm = 2 ** 28;

/** Gives the fences of one term. */
export class FenceCounter {
    private used = 0;

    /** @param term the term */
    constructor(private readonly term: Term) {}

    /** A fence above all that this term and every earlier one used. */
    next(): Fence {
        this.used += 1;
        return this.term * fencesPerTerm + this.used as Fence;
    }
}
