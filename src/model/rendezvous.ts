/** Chooses among candidates by highest random weight, so that losing one moves only what that one had. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Orders candidates by their weight for a subject.
 * @param subject what is to be placed
 * @param candidates names to choose from
 * @param nameOf gives a candidate's name
 * @returns the candidates, the chosen one first
 */
export function rankCandidates<T>(subject: string, candidates: readonly T[], nameOf: (candidate: T) => string): T[] {
    return candidates
        .map((candidate) => ({ candidate, weight: hash(`${nameOf(candidate)}|${subject}`) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ candidate }) => candidate);
}

/** FNV-1a over the characters, with a final mix, since similar names must spread well. */
export function hash(text: string): number {
    let value = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), fnvPrime);
    }
    value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
    return (value ^ (value >>> 16)) >>> 0;
}
