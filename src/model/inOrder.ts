/** Goes through items in order without sorting all of them, for callers that mostly take the first. */

/** So many are looked for one by one; whoever wants more gets the rest sorted. */
const fewFirst = 3;

/**
 * Gives items in order; those that compare alike in the order in which they stand.
 * @param items the items
 * @param compare negative when the left one comes first
 */
export function* inOrder<T>(items: readonly T[], compare: (left: T, right: T) => number): Generator<T> {
    const rest = [...items];
    for (let count = 0; count < fewFirst && rest.length > 0; count++) {
        yield* rest.splice(indexOfFirst(rest, compare), 1);
    }
    yield* rest.sort(compare);
}

function indexOfFirst<T>(items: readonly T[], compare: (left: T, right: T) => number): number {
    let first = 0;
    for (let index = 1; index < items.length; index++) {
        if (compare(items[index] as T, items[first] as T) < 0) {
            first = index;
        }
    }
    return first;
}
