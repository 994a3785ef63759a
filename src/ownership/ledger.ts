/**
 * Folds the ledger: the topic in which the hosts record who coordinates and which target was given which keys, and operators
 * their document. A grant is sent only after its record was acknowledged.
 */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import * as z from "zod/mini";
import "../model/schema.js";
import type { ConfigDocument } from "../config/documentSchema.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address, HostId, KeyRange, Offset, RunId, ServiceId, TargetId, Term } from "../model/names.js";
import { maxKey } from "../model/names.js";
import type { NewRecord, StoreRecord } from "../store/storePort.js";

/** Who coordinates. */
export interface TermRecord {
    kind: "term";
    term: Term;
    hostId: HostId;
    runId: RunId;
    peerAddress: Address;
}

/** Keys that one target may hold. */
export interface OwnershipRecord {
    kind: "ownership";
    targetId: TargetId;
    serviceId: ServiceId;
    /** Where the target listens, so that it can be reached when the service directory has lost it. */
    address: Address;
    ranges: readonly KeyRange[];
}

/** A version of the project's own configuration document. */
export interface DocumentRecord {
    kind: "document";
    version: number;
    /** Version that it replaced; 0 for the first. */
    basedOn: number;
    document: ConfigDocument;
    author: string;
    reason: string;
    publishedWallMs: number;
}

/** Targets that operators want without work. */
export interface DrainRecord {
    kind: "drain";
    targetIds: readonly TargetId[];
}

export type LedgerRecord = TermRecord | OwnershipRecord | DocumentRecord | DrainRecord;

/** A record with its place; `record` is undefined when its key was removed. */
export interface LedgerChange {
    offset: Offset;
    key: string;
    record: LedgerRecord | undefined;
}

const keyNumber = z.int().check(z.gte(0), z.lte(maxKey));
const recordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("term"), term: z.int(), hostId: z.string(), runId: z.string(), peerAddress: z.string() }),
    z.object({
        kind: z.literal("document"), version: z.int(), basedOn: z.int(), document: z.looseObject({}), author: z.string(), reason: z.string(),
        publishedWallMs: z.number(),
    }),
    z.object({ kind: z.literal("drain"), targetIds: z.array(z.string()) }),
    z.object({
        kind: z.literal("ownership"), targetId: z.string(), serviceId: z.string(), address: z.string(),
        ranges: z.array(z.object({ from: keyNumber, to: keyNumber })),
    }),
]);

/** Key of the term in force. */
export const termKey = "term";

/** Key of the targets that operators drain. */
export const drainKey = "drain";

/** Names the key of a version of the document. */
export function documentKeyOf(version: number): string {
    return `document/${String(version)}`;
}

/** Names the key of what a target was given. */
export function ownershipKeyOf(targetId: TargetId): string {
    return `ownership/${targetId}`;
}

/**
 * Encodes a record for the store.
 * @param key its key
 * @param record the record, or undefined to remove the key
 */
export function encodeLedgerRecord(key: string, record: LedgerRecord | undefined): NewRecord {
    return { key, value: record === undefined ? undefined : Buffer.from(JSON.stringify(record)) };
}

/**
 * Decodes a record of the store.
 * @param stored the record
 */
export function decodeLedgerRecord(stored: StoreRecord): Result<LedgerChange, Failure> {
    if (stored.value === undefined) {
        return ok({ offset: stored.offset, key: stored.key, record: undefined });
    }
    try {
        const record = recordSchema.parse(JSON.parse(stored.value.toString("utf8"))) as LedgerRecord;
        return ok({ offset: stored.offset, key: stored.key, record });
    }
    catch (error) {
        return err(failure("invalid", "fold", stored.key, error instanceof Error ? error.message : String(error)));
    }
}

/** The ledger as last read. */
export class Ledger {
    private readonly changes = new Map<string, LedgerChange>();
    private end = 0 as Offset;

    /** Offset behind the last record that was applied. */
    get upTo(): Offset {
        return this.end;
    }

    /** Term in force, or undefined before the first. */
    get term(): TermRecord | undefined {
        const record = this.changes.get(termKey)?.record;
        return record?.kind === "term" ? record : undefined;
    }

    /** Versions of the document that are kept, the newest first. */
    documents(): DocumentRecord[] {
        return this.records().filter((record) => record.kind === "document").sort((left, right) => right.version - left.version);
    }

    /** Targets that operators want without work. */
    drained(): readonly TargetId[] {
        const record = this.changes.get(drainKey)?.record;
        return record?.kind === "drain" ? record.targetIds : [];
    }

    /** Newest change of a key. */
    get(key: string): LedgerChange | undefined {
        return this.changes.get(key);
    }

    /** What one target was given. */
    ownershipOf(targetId: TargetId): OwnershipRecord | undefined {
        const record = this.changes.get(ownershipKeyOf(targetId))?.record;
        return record?.kind === "ownership" ? record : undefined;
    }

    /** What each target was given. */
    ownerships(): OwnershipRecord[] {
        return this.records().filter((record) => record.kind === "ownership");
    }

    /** Every change in force, to bring another host up to date. */
    all(): LedgerChange[] {
        return [...this.changes.values()];
    }

    /**
     * Applies changes; those that were applied before are ignored, and so are all if there is a gap before them.
     * @param changes every change between two offsets
     * @param from the first offset that they account for
     * @param upTo offset behind the last of them
     * @returns whether any was new
     */
    apply(changes: readonly LedgerChange[], from: Offset, upTo: Offset): boolean {
        if (from > this.end) {
            return false;
        }
        let changed = false;
        for (const change of changes) {
            if (change.offset >= this.end) {
                this.changes.set(change.key, change);
                changed = true;
            }
        }
        this.end = Math.max(this.end, upTo) as Offset;
        return changed;
    }

    /**
     * Replaces everything by a snapshot, unless it is older.
     * @param changes every key's newest change
     * @param upTo offset that the snapshot accounts for
     * @returns whether it was taken
     */
    replace(changes: readonly LedgerChange[], upTo: Offset): boolean {
        if (upTo < this.end) {
            return false;
        }
        this.changes.clear();
        changes.forEach((change) => this.changes.set(change.key, change));
        this.end = upTo;
        return true;
    }

    private records(): LedgerRecord[] {
        return [...this.changes.values()].flatMap(({ record }) => record === undefined ? [] : [record]);
    }
}
