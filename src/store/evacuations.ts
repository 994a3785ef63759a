/** The data centres that operators have evacuated, as far as this host has read the records of that. */
import type { DataCentreId, Offset } from "../model/names.js";

/** Beginning or end of an evacuation. */
export interface EvacuationChange {
    dataCentreId: DataCentreId;
    /** Offset of the record. */
    offset: Offset;
    isInForce: boolean;
}

/** What is known of a data centre that is evacuated, or was. Times are monotonic milliseconds at which this host learned of it. */
interface EvacuationRecord {
    offset: Offset;
    sinceMs: number | undefined;
    endedMs: number | undefined;
}

/** Limit on the data centres that are remembered; records of further ones are ignored. */
const maxDataCentres = 1_000;

/** Evacuations by data centre. A record with a lower offset than the newest known one of its data centre changes nothing. */
export class Evacuations {
    private readonly records = new Map<DataCentreId, EvacuationRecord>();

    /** Returns when this host learned that a data centre is evacuated; undefined if it isn't. */
    sinceMs(dataCentreId: DataCentreId): number | undefined {
        return this.records.get(dataCentreId)?.sinceMs;
    }

    /** Returns when this host learned that the last evacuation of a data centre ended; undefined if none has, or one is in force. */
    endedMs(dataCentreId: DataCentreId): number | undefined {
        return this.records.get(dataCentreId)?.endedMs;
    }

    /** True if no data centre is evacuated, or was. */
    get isEmpty(): boolean {
        return this.records.size === 0;
    }

    /** Lists the evacuations in force. */
    inForce(): EvacuationChange[] {
        return [...this.records].filter(([, { sinceMs }]) => sinceMs !== undefined)
            .map(([dataCentreId, { offset }]) => ({ dataCentreId, offset, isInForce: true }));
    }

    /**
     * Applies changes.
     * @param changes the changes, in any order
     * @param nowMs current monotonic time
     * @returns the changes that had an effect
     */
    apply(changes: readonly EvacuationChange[], nowMs: number): EvacuationChange[] {
        return changes.filter((change) => this.applyOne(change, nowMs));
    }

    /**
     * Applies a complete list of the evacuations in force.
     * @param listed the list
     * @param upTo offset up to which the list reflects the records; an evacuation with a lower offset that is not in the list has ended
     * @param nowMs current monotonic time
     * @returns the changes that had an effect
     */
    replace(listed: readonly EvacuationChange[], upTo: Offset, nowMs: number): EvacuationChange[] {
        const listedIds = new Set(listed.map(({ dataCentreId }) => dataCentreId));
        const ended = this.inForce().filter(({ dataCentreId, offset }) => !listedIds.has(dataCentreId) && offset < upTo)
            .map(({ dataCentreId }) => ({ dataCentreId, offset: upTo - 1 as Offset, isInForce: false }));
        return this.apply([...ended, ...listed], nowMs);
    }

    /**
     * Applies a snapshot of a store that came back from an older copy. What is known of a data centre stands: the copy may lack the record
     * of an evacuation, or of its end, that the store had acknowledged before. Only what is not known is taken from the copy.
     * @param listed the evacuations in force by the copy
     * @param upTo offset up to which the copy reflects the records, after which operators' further records stand
     * @param nowMs current monotonic time
     * @returns the changes that had an effect
     */
    mergeOlderCopy(listed: readonly EvacuationChange[], upTo: Offset, nowMs: number): EvacuationChange[] {
        const unknown = listed.filter(({ dataCentreId }) => !this.records.has(dataCentreId));
        for (const record of this.records.values()) {
            record.offset = Math.max(record.offset, upTo - 1) as Offset;
        }
        return this.apply(unknown, nowMs);
    }

    private applyOne({ dataCentreId, offset, isInForce }: EvacuationChange, nowMs: number): boolean {
        const known = this.records.get(dataCentreId);
        if (known === undefined && (!isInForce || this.records.size >= maxDataCentres)) {
            return false;
        }
        if (known !== undefined && offset < known.offset) {
            return false;
        }
        const wasInForce = known?.sinceMs !== undefined;
        const sinceMs = isInForce ? known?.sinceMs ?? nowMs : undefined;
        const endedMs = isInForce ? undefined : wasInForce ? nowMs : known?.endedMs;
        this.records.set(dataCentreId, { offset, sinceMs, endedMs });
        return wasInForce !== isInForce;
    }
}
