/**
 * Positions in the store's topics. A store that comes back from an older copy gives offsets out again, and its era rises by one. A position
 * is a single number with the era in its high bits, so that any position of a later era is above all earlier ones.
 */
import type { Era, Offset } from "./names.js";

/** Number of offsets in one era. */
const offsetsPerEra = 2 ** 44;

/** The position in a higher era would not be a safe integer. */
export const maxEra = 2 ** 9 - 1;

/**
 * Returns a position.
 * @param era the store's era
 * @param offset offset in that era, as the store states it
 */
export function positionOf(era: Era, offset: number): Offset {
    return era * offsetsPerEra + offset as Offset;
}

/** Returns the era of a position; the first era for a negative position, which stands before all records. */
export function eraOf(position: Offset): Era {
    return Math.max(0, Math.floor(position / offsetsPerEra)) as Era;
}

/** Returns the offset of a position in its era. */
export function offsetInEra(position: Offset): number {
    return position - eraOf(position) * offsetsPerEra;
}
