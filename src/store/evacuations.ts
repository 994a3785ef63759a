/** The data centres that operators have evacuated, by the records that this host has read. */
import type { DataCentreId, Offset } from "../model/names.js";

/** Beginning or end of an evacuation. */
export interface EvacuationChange {
    dataCentreId: DataCentreId;
    /** Offset of the record. */
    offset: Offset;
    isInForce: boolean;
}

/** What is known of a data centre that is evacuated, or was. */
interface EvacuationRecord {
    offset: Offset;
    /** Monotonic time at which this host learned of the evacuation in force; undefined if there is none. */
    sinceMs: number | undefined;
    /** Monotonic time from which the targets of the data centre count as leaving; undefined if no evacuation is in force. */
    leavingSinceMs: number | undefined;
}

/** Limit on the data centres that are remembered; records of further ones are ignored. */
const maxDataCentres = 1_000;

/** Evacuations by data centre. A record with a lower offset than the newest known one of its data centre changes nothing. */
export class Evacuations {
    private readonly records = new Map<DataCentreId, EvacuationRecord>();
    private confirmedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param learnWithinMs a host that learns of an evacuation at most this long after its beginning sends to the targets of the data
     *     centre for as long as to other leaving targets. A host that may have learned of it later, for example by its first reading,
     *     stops earlier by the excess, so that it keeps the bound of the evacuation.
     */
    constructor(private readonly learnWithinMs: number) {}

    /** Records that this host knew, at a monotonic time, every evacuation that the store had acknowledged by then. */
    confirm(atMs: number): void {
        this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    }

    /** Returns when this host learned that a data centre is evacuated; undefined if it isn't. */
    sinceMs(dataCentreId: DataCentreId): number | undefined {
        return this.records.get(dataCentreId)?.sinceMs;
    }

    /** Returns the time from which the targets of a data centre count as leaving; undefined if it isn't evacuated. */
    leavingSinceMs(dataCentreId: DataCentreId): number | undefined {
        return this.records.get(dataCentreId)?.leavingSinceMs;
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
        this.records.set(dataCentreId, {
            offset,
            sinceMs: isInForce ? known?.sinceMs ?? nowMs : undefined,
            leavingSinceMs: isInForce ? known?.leavingSinceMs ?? Math.min(nowMs, this.confirmedAtMs + this.learnWithinMs) : undefined,
        });
        return wasInForce !== isInForce;
    }
}
