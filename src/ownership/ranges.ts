/** Operations on ranges of keys. */
import type { Key, KeyRange } from "../model/names.js";

/**
 * Removes the keys of a range from other ranges.
 * @param ranges ranges that do not overlap each other
 * @param removed the range to remove
 */
export function withoutRange(ranges: readonly KeyRange[], removed: KeyRange): KeyRange[] {
    return ranges.flatMap((range) => {
        if (!overlaps(range, removed)) {
            return [range];
        }
        const before = { from: range.from, to: removed.from - 1 as Key };
        const after = { from: removed.to + 1 as Key, to: range.to };
        return [before, after].filter(({ from, to }) => from <= to);
    });
}

/**
 * Removes the keys of several ranges from other ranges.
 * @param ranges ranges that do not overlap each other
 * @param removed the ranges to remove
 */
export function withoutRanges(ranges: readonly KeyRange[], removed: readonly KeyRange[]): readonly KeyRange[] {
    return removed.filter((one) => overlapsAny(one, ranges)).reduce<readonly KeyRange[]>(withoutRange, ranges);
}

/**
 * Adds a range to other ranges and joins adjacent ones.
 * @param ranges ranges that do not overlap each other
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

/** Tells whether two ranges share a key. */
export function overlaps(left: KeyRange, right: KeyRange): boolean {
    return left.from <= right.to && right.from <= left.to;
}

/** Tells whether a range contains all keys of another. */
export function contains(outer: KeyRange, inner: KeyRange): boolean {
    return outer.from <= inner.from && inner.to <= outer.to;
}

/** Tells whether two ranges contain the same keys. */
export function isSameRange(left: KeyRange, right: KeyRange): boolean {
    return left.from === right.from && left.to === right.to;
}

/** Returns whether a range overlaps any of the others. */
export function overlapsAny(range: KeyRange, others: readonly KeyRange[]): boolean {
    return others.some((other) => overlaps(range, other));
}
