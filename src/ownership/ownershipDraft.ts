/** Derives new ownership records from assignments of ranges. */
import type { Address, KeyRange, ServiceId, TargetId } from "../model/names.js";
import type { Ledger } from "./ledger.js";
import type { LedgerRecord, OwnershipRecord } from "./ledgerRecords.js";
import { ownershipKeyOf } from "./ledgerRecords.js";
import { overlapsAny, withoutRange, withRange } from "./ranges.js";

/** A range and its new owner. */
export interface Assignment {
    serviceId: ServiceId;
    range: KeyRange;
    targetId: TargetId;
    address: Address;
}

/** A key of the ledger with its new record; undefined removes the key. */
export interface DraftedRecord {
    key: string;
    record: LedgerRecord | undefined;
}

/** A drafted change of a target's ownership. */
export interface DraftedOwnership extends DraftedRecord {
    record: OwnershipRecord | undefined;
}

/**
 * Drafts the ownership records that change when ranges get new owners.
 * @param ledger the current ledger
 * @param assignments new owners; a later assignment of the same keys overrides an earlier one
 */
export function draftOwnerships(ledger: Ledger, assignments: readonly Assignment[]): DraftedOwnership[] {
    const owned = new Map<TargetId, OwnershipRecord>(ledger.ownerships().map((record) => [record.targetId, record]));
    const changed = new Set<TargetId>();
    for (const { serviceId, range, targetId, address } of assignments) {
        for (const record of owned.values()) {
            if (record.serviceId === serviceId && record.targetId !== targetId && overlapsAny(range, record.ranges)) {
                owned.set(record.targetId, { ...record, ranges: withoutRange(record.ranges, range) });
                changed.add(record.targetId);
            }
        }
        const before = owned.get(targetId)?.ranges ?? [];
        owned.set(targetId, { kind: "ownership", targetId, serviceId, address, ranges: withRange(withoutRange(before, range), range) });
        changed.add(targetId);
    }
    return [...changed].map((targetId) => {
        const record = owned.get(targetId);
        return { key: ownershipKeyOf(targetId), record: record === undefined || record.ranges.length === 0 ? undefined : record };
    });
}
