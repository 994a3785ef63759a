/** Compares what a host knows of the ledger with what the store holds after it came back from an older copy. */
import type { Offset, Term } from "../model/names.js";
import { eraOf, offsetInEra } from "../model/storePosition.js";
import type { LedgerChange } from "./ledgerRecords.js";
import { isKeyOfCoordinators, termKey } from "./ledgerRecords.js";
import { eraOfTerm } from "./termNumbers.js";

/** Newest change of each key, and the position up to which they are complete. */
export interface LedgerContent {
    changes: Map<string, LedgerChange>;
    upTo: Offset;
}

/** Returns a content, from the newest change of each key. */
export function contentOf(changes: readonly LedgerChange[], upTo: Offset): LedgerContent {
    return { changes: new Map(changes.map((change) => [change.key, change])), upTo };
}

/** Returns the number of the term that was claimed last; 0 without one. */
function termOf({ changes }: LedgerContent): Term {
    const record = changes.get(termKey)?.record;
    return record?.kind === "term" ? record.term : 0 as Term;
}

/** Tells whether a host has claimed a term in the content's era; it has recorded again what was lost. */
export function hasClaimOfItsEra(content: LedgerContent): boolean {
    return termOf(content) > 0 && eraOfTerm(termOf(content)) === eraOf(content.upTo);
}

/**
 * Tells whether a host knows records that the store has lost.
 * @param known what the host knows, from an earlier era
 * @param returned what the store holds now
 * @param isSoleWriter true if the host coordinates, so that no other one has written owners
 */
export function knowsLostRecords(known: LedgerContent, returned: LedgerContent, isSoleWriter: boolean): boolean {
    if (hasClaimOfItsEra(returned) || termOf(known) !== termOf(returned)) {
        return !hasClaimOfItsEra(returned) && termOf(known) > termOf(returned);
    }
    const isLater = ({ key, offset }: LedgerChange) => {
        const other = returned.changes.get(key);
        return other !== undefined && offsetInEra(offset) > offsetInEra(other.offset);
    };
    return isSoleWriter || offsetInEra(known.upTo) > offsetInEra(returned.upTo) || [...known.changes.values()].some(isLater);
}

/**
 * Returns what is in force after a return: the records of coordinators that the host knows, and of the others the later ones.
 * @param known what the host knows, from an earlier era
 * @param returned what the store holds now
 */
export function mergeWithReturned(known: LedgerContent["changes"], returned: LedgerContent["changes"]): Map<string, LedgerChange> {
    const merged = new Map(known);
    for (const [key, change] of returned) {
        const own = known.get(key);
        const isLater = !isKeyOfCoordinators(key) && offsetInEra(change.offset) > offsetInEra(own?.offset ?? -1 as Offset);
        if (isLater || isSameRecord(own, change)) {
            merged.set(key, change);
        }
        else if (own === undefined) {
            merged.set(key, { ...change, record: undefined });
        }
    }
    return merged;
}

/** Tells whether two changes leave the same under their key. */
export function isSameRecord(left: LedgerChange | undefined, right: LedgerChange | undefined): boolean {
    return JSON.stringify(left?.record) === JSON.stringify(right?.record);
}
