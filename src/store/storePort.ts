/** Port to the platform's store: topics of records in which the newest record of each key is kept. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Offset } from "../model/names.js";

/** Topics that the router reads. It writes to `ledger` only. */
export type TopicName = "configuration" | "targets" | "ledger";

/** One record. */
export interface StoreRecord {
    offset: Offset;
    key: string;
    /** Undefined when the key was removed. */
    value: Buffer | undefined;
}

/** The newest record of each key. It reflects every record below `upTo`, and possibly some later ones. */
export interface TopicSnapshot {
    records: readonly StoreRecord[];
    upTo: Offset;
}

/** Records from a certain offset on; a part of them if there are many. */
export interface TopicPage {
    records: readonly StoreRecord[];
    /** Offset from which the next read continues. */
    next: Offset;
    /** Offset after the last record of the topic. */
    end: Offset;
}

/** Outcome of a read. */
export type ReadOutcome =
    | { kind: "page"; page: TopicPage }
    /** The records asked for are no longer kept; a snapshot is needed. */
    | { kind: "expired" };

/** Outcome of an append. */
export type AppendOutcome =
    | { kind: "appended"; offset: Offset }
    /** Nothing was appended, since the topic does not end at the expected offset. */
    | { kind: "conflict" };

/** A record to append. */
export interface NewRecord {
    key: string;
    /** Undefined removes the key. */
    value: Buffer | undefined;
}

/** The store. After a failure of kind `lost`, an append may or may not have taken effect, and may still do so later. */
export interface StorePort {
    snapshot(topic: TopicName): Promise<Result<TopicSnapshot, Failure>>;
    /**
     * Reads records.
     * @param topic the topic
     * @param from offset of the first record to return
     * @param waitMs time for which the store may hold the call while there is no such record
     */
    read(topic: TopicName, from: Offset, waitMs: number): Promise<Result<ReadOutcome, Failure>>;
    /**
     * Appends records, all or none.
     * @param records the records
     * @param expectedEnd the append takes effect only if the topic ends here; undefined for no condition
     */
    append(records: readonly NewRecord[], expectedEnd: Offset | undefined): Promise<Result<AppendOutcome, Failure>>;
}
