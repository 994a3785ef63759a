/** Fencing tokens. Tokens of a later term are higher, and within a term each new token is higher than the ones before. */
import type { FencingToken, Term } from "../model/names.js";

/** Number of fencing tokens that are reserved for one term. */
const fencesPerTerm = 2 ** 28;

/** Generates the fencing tokens of one term. */
export class FenceCounter {
    private used = 0;

    constructor(private readonly term: Term) {}

    /** Returns a token that is higher than all that this term and earlier ones have used. */
    next(): FencingToken {
        this.used += 1;
        return this.term * fencesPerTerm + this.used as FencingToken;
    }
}
