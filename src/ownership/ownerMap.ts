/** Finds the target that owns a key. */
import type { Key, KeyRange, ServiceId, TargetId } from "../model/names.js";
import type { OwnershipRecord } from "./ledger.js";

/** A range with its owner. */
export interface OwnedRange extends KeyRange {
    targetId: TargetId;
}

/** Owners of one service's keys, in the order of the keys. */
export class OwnerMap {
    private readonly rangesByService = new Map<ServiceId, OwnedRange[]>();

    /** @param records what the ledger says that each target was given */
    constructor(records: readonly OwnershipRecord[]) {
        for (const { serviceId, targetId, ranges } of records) {
            const list = this.rangesByService.get(serviceId) ?? [];
            list.push(...ranges.map(({ from, to }) => ({ from, to, targetId })));
            this.rangesByService.set(serviceId, list);
        }
        for (const list of this.rangesByService.values()) {
            list.sort((left, right) => left.from - right.from);
        }
    }

    /** Lists a service's ranges in the order of their keys. */
    rangesOf(serviceId: ServiceId): readonly OwnedRange[] {
        return this.rangesByService.get(serviceId) ?? [];
    }

    /**
     * Finds the owner of a key.
     * @param serviceId the service
     * @param key the key
     */
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
