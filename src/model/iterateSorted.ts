/** Lazy sorting for callers that usually need only the first few items. */

/** Number of items that are found by a linear search each; the remaining ones are sorted when the next item is requested. */
const selectionCount = 3;

/**
 * Yields items in ascending order. The order is stable: items that compare equal keep their relative order.
 * @param items the items, left unchanged
 * @param compare comparator as for `Array.prototype.sort`
 */
export function* iterateSorted<T>(items: readonly T[], compare: (left: T, right: T) => number): Generator<T> {
    const remaining = [...items];
    for (let count = 0; count < selectionCount && remaining.length > 0; count++) {
        yield* remaining.splice(indexOfMinimum(remaining, compare), 1);
    }
    yield* remaining.sort(compare);
}

function indexOfMinimum<T>(items: readonly T[], compare: (left: T, right: T) => number): number {
    let minimum = 0;
    for (let index = 1; index < items.length; index++) {
        if (compare(items[index] as T, items[minimum] as T) < 0) {
            minimum = index;
        }
    }
    return minimum;
}
