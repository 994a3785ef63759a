/** Arithmetic on ranges of keys. */
import type { Key, KeyRange } from "../model/names.js";

/**
 * Takes a range out of others.
 * @param ranges ranges that do not overlap
 * @param taken what to take out
 */
export function withoutRange(ranges: readonly KeyRange[], taken: KeyRange): KeyRange[] {
    return ranges.flatMap((range) => {
        if (!overlaps(range, taken)) {
            return [range];
        }
        const before = { from: range.from, to: taken.from - 1 as Key };
        const behind = { from: taken.to + 1 as Key, to: range.to };
        return [before, behind].filter(({ from, to }) => from <= to);
    });
}

/**
 * Adds a range to others, joining neighbours.
 * @param ranges ranges that do not overlap
 * @param added a range that overlaps none of them
 */
export function withRange(ranges: readonly KeyRange[], added: KeyRange): KeyRange[] {
    const sorted = [...ranges, added].sort((left, right) => left.from - right.from);
    const joined: KeyRange[] = [];
    for (const range of sorted) {
        const last = joined.at(-1);
        if (last !== undefined && last.to + 1 === range.from) {
            joined[joined.length - 1] = { from: last.from, to: range.to };
        }
        else {
            joined.push({ from: range.from, to: range.to });
        }
    }
    return joined;
}

/** Tells whether two ranges have a key in common. */
export function overlaps(left: KeyRange, right: KeyRange): boolean {
    return left.from <= right.to && right.from <= left.to;
}

/** Tells whether a range lies within another. */
export function contains(outer: KeyRange, inner: KeyRange): boolean {
    return outer.from <= inner.from && inner.to <= outer.to;
}

/** Tells whether two ranges are the same. */
export function isSameRange(left: KeyRange, right: KeyRange): boolean {
    return left.from === right.from && left.to === right.to;
}
