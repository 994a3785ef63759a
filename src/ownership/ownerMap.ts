/** Finds the target that owns a key. */
import type { Key, KeyRange, ServiceId, TargetId } from "../model/names.js";
import type { OwnershipRecord } from "./ledgerRecords.js";

/** A range with its owner. */
export interface OwnedRange extends KeyRange {
    targetId: TargetId;
}

/** Owned ranges by service, sorted by key. */
export class OwnerMap {
    private readonly rangesByService = new Map<ServiceId, OwnedRange[]>();

    /** @param records ownership records of the ledger */
    constructor(records: readonly OwnershipRecord[]) {
        for (const { serviceId, targetId, ranges } of records) {
            const owned = this.rangesByService.get(serviceId) ?? [];
            owned.push(...ranges.map(({ from, to }) => ({ from, to, targetId })));
            this.rangesByService.set(serviceId, owned);
        }
        for (const owned of this.rangesByService.values()) {
            owned.sort((left, right) => left.from - right.from);
        }
    }

    /** Returns the owned ranges of a service, sorted by key. */
    rangesOf(serviceId: ServiceId): readonly OwnedRange[] {
        return this.rangesByService.get(serviceId) ?? [];
    }

    /** Returns the owner of a key, or undefined when it has none. */
    ownerOf(serviceId: ServiceId, key: Key): TargetId | undefined {
        const ranges = this.rangesOf(serviceId);
        let low = 0;
        let high = ranges.length - 1;
        while (low <= high) {
            const middle = (low + high) >>> 1;
            const range = ranges[middle] as OwnedRange;
            if (key < range.from) {
                high = middle - 1;
            }
            else if (key > range.to) {
                low = middle + 1;
            }
            else {
                return range.targetId;
            }
        }
        return undefined;
    }
}
