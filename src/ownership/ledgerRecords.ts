/** The records of the ledger, and the keys under which they stand. */
import type { ConfigDocument } from "../config/documentSchema.js";
import type { CompletionRecord, CrashRecord, QuarantineReleaseRecord, TrialRecord } from "../crashes/crashRecords.js";
import type { Address, HostId, KeyRange, Offset, RunId, ServiceId, TargetId, Term } from "../model/names.js";
import type { NewRecord } from "../store/storePort.js";

/** A term with its coordinator. */
export interface TermRecord {
    kind: "term";
    term: Term;
    hostId: HostId;
    runId: RunId;
    peerAddress: Address;
    /** True while leases that coordinators granted on records which the store has lost may be in force. */
    unsettled?: true;
}

/** Keys that are assigned to one target. */
export interface OwnershipRecord {
    kind: "ownership";
    targetId: TargetId;
    serviceId: ServiceId;
    /** Address at which the target is called when it is missing from the service directory. */
    address: Address;
    ranges: readonly KeyRange[];
}

/** A version of the router's own configuration document. */
export interface DocumentRecord {
    kind: "document";
    version: number;
    /** Version that this one replaced; 0 for the first. */
    basedOn: number;
    document: ConfigDocument;
    author: string;
    reason: string;
    publishedWallMs: number;
}

/** Targets that operators drain. */
export interface DrainRecord {
    kind: "drain";
    targetIds: readonly TargetId[];
}

export type LedgerRecord = TermRecord | OwnershipRecord | DocumentRecord | DrainRecord | CrashRecord | CompletionRecord
    | TrialRecord | QuarantineReleaseRecord;

/** A change of one key; `record` is undefined when the key was removed. */
export interface LedgerChange {
    offset: Offset;
    key: string;
    record: LedgerRecord | undefined;
}

/** Key of the term in force. */
export const termKey = "term";

/** Key of the targets that operators drain. */
export const drainKey = "drain";

/** Returns the key of a version of the configuration document. */
export function documentKeyOf(version: number): string {
    return `document/${String(version)}`;
}

const documentKeyPattern = /^document\/([0-9]{1,15})$/;

/** Returns the version of the configuration document that stands under a key; undefined for any other key. */
export function documentVersionOf(key: string): number | undefined {
    const version = documentKeyPattern.exec(key)?.[1];
    return version === undefined ? undefined : Number(version);
}

const ownershipPrefix = "ownership/";

/** Returns the key of a target's ownership record. */
export function ownershipKeyOf(targetId: TargetId): string {
    return `${ownershipPrefix}${targetId}`;
}

/** Tells whether only coordinators write records under a key. */
export function isKeyOfCoordinators(key: string): boolean {
    return key === termKey || key.startsWith(ownershipPrefix);
}

/**
 * Encodes a record for the store.
 * @param key key of the record
 * @param record the record, or undefined to remove the key
 */
export function encodeLedgerRecord(key: string, record: LedgerRecord | undefined): NewRecord {
    return { key, value: record === undefined ? undefined : Buffer.from(JSON.stringify(record)) };
}
