/**
 * Rendezvous hashing (highest random weight): when a candidate is removed, only the subjects that were assigned to it are assigned
 * to others.
 */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Ranks candidates by their weight for a subject.
 * @param subject name of what is to be assigned to a candidate
 * @param candidates candidates to rank
 * @param nameOf returns a candidate's unique name
 * @returns the candidates by descending weight; the first is the one to choose
 */
export function rankCandidates<T>(subject: string, candidates: readonly T[], nameOf: (candidate: T) => string): T[] {
    return candidates
        .map((candidate) => ({ candidate, weight: hash(`${nameOf(candidate)}|${subject}`) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ candidate }) => candidate);
}

/**
 * Computes a 32-bit hash: FNV-1a over the UTF-16 code units, followed by an avalanche step so that similar names get unrelated
 * hashes.
 */
export function hash(text: string): number {
    let value = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), fnvPrime);
    }
    value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
    return (value ^ (value >>> 16)) >>> 0;
}
