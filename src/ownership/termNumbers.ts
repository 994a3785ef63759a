/**
 * Numbers of terms. The store's era is in their high bits, so that a term claimed in a later era, and its fencing tokens, are above all
 * earlier ones, also above those whose records the store has lost.
 */
import type { Era, Term } from "../model/names.js";

/** Number of terms that are reserved for one era. */
const termsPerEra = 2 ** 16;

/** Returns the era in which a term was claimed. */
export function eraOfTerm(term: Term): Era {
    return Math.floor(term / termsPerEra) as Era;
}

/**
 * Returns the number of the next term.
 * @param previous number of the latest known term; 0 if there is none
 * @param era era in which the next term is claimed
 */
export function nextTerm(previous: number, era: Era): Term {
    return Math.max(previous + 1, era * termsPerEra) as Term;
}
