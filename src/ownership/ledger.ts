/**
 * The ledger: a topic of the store in which hosts record the coordinator's term, the owners of keys and crashes of targets, and operators
 * the configuration document, the targets to drain and the requests that may run again. A grant is sent only after its ownership record
 * was acknowledged.
 */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import * as z from "zod/mini";
import "../model/zodLocale.js";
import type { ConfigDocument } from "../config/documentSchema.js";
import type { CompletionRecord, CrashRecord, QuarantineReleaseRecord, TrialRecord } from "../crashes/crashRecords.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address, HostId, KeyRange, Offset, RunId, ServiceId, TargetId, Term } from "../model/names.js";
import { maxKey } from "../model/names.js";
import type { NewRecord, StoreRecord } from "../store/storePort.js";

/** A term with its coordinator. */
export interface TermRecord {
    kind: "term";
    term: Term;
    hostId: HostId;
    runId: RunId;
    peerAddress: Address;
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
    z.object({
        kind: z.literal("crash"), recordedBy: z.string(), targetId: z.string(), bornWallMs: z.number(), serviceId: z.string(), atWallMs: z.number(),
        requests: z.array(z.object({ content: z.string(), exact: z.string(), sentWallMs: z.number() })),
        others: z.object({ asked: z.int(), down: z.array(z.object({ targetId: z.string(), bornWallMs: z.number() })) }),
    }),
    z.object({
        kind: z.literal("trial"), fingerprint: z.string(), number: z.int(), excessCount: z.int(), grantedWallMs: z.number(),
        expectedMs: z.number(), outcomeWithinMs: z.number(),
    }),
    z.object({ kind: z.literal("completion"), fingerprint: z.string(), atWallMs: z.number() }),
    z.object({
        kind: z.literal("quarantine-release"), fingerprint: z.string(), releasedWallMs: z.number(), author: z.string(), reason: z.string(),
    }),
]);

/** Key of the term in force. */
export const termKey = "term";

/** Key of the targets that operators drain. */
export const drainKey = "drain";

/** Returns the key of a version of the configuration document. */
export function documentKeyOf(version: number): string {
    return `document/${String(version)}`;
}

/** Returns the key of a target's ownership record. */
export function ownershipKeyOf(targetId: TargetId): string {
    return `ownership/${targetId}`;
}

/**
 * Encodes a record for the store.
 * @param key key of the record
 * @param record the record, or undefined to remove the key
 */
export function encodeLedgerRecord(key: string, record: LedgerRecord | undefined): NewRecord {
    return { key, value: record === undefined ? undefined : Buffer.from(JSON.stringify(record)) };
}

/**
 * Decodes a record of the store.
 * @returns the change, or a failure of kind `invalid` when the value is not a record of a known kind
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

/** Newest known change of each key of the ledger. */
export class Ledger {
    private readonly changes = new Map<string, LedgerChange>();
    private end = 0 as Offset;

    /** Offset after the last applied record. */
    get upTo(): Offset {
        return this.end;
    }

    /** Term in force, or undefined before the first one. */
    get term(): TermRecord | undefined {
        const record = this.changes.get(termKey)?.record;
        return record?.kind === "term" ? record : undefined;
    }

    /** Returns the stored versions of the configuration document, newest first. */
    documents(): DocumentRecord[] {
        return this.records().filter((record) => record.kind === "document").sort((left, right) => right.version - left.version);
    }

    /** Returns the targets that operators drain. */
    drained(): readonly TargetId[] {
        const record = this.changes.get(drainKey)?.record;
        return record?.kind === "drain" ? record.targetIds : [];
    }

    /** Returns the newest change of a key. */
    get(key: string): LedgerChange | undefined {
        return this.changes.get(key);
    }

    /** Returns the ownership record of a target. */
    ownershipOf(targetId: TargetId): OwnershipRecord | undefined {
        const record = this.changes.get(ownershipKeyOf(targetId))?.record;
        return record?.kind === "ownership" ? record : undefined;
    }

    /** Returns the ownership records of all targets. */
    ownerships(): OwnershipRecord[] {
        return this.records().filter((record) => record.kind === "ownership");
    }

    /** Returns the recorded crashes of targets. */
    crashes(): CrashRecord[] {
        return this.records().filter((record) => record.kind === "crash");
    }

    /** Returns the recorded completions of requests. */
    completions(): CompletionRecord[] {
        return this.records().filter((record) => record.kind === "completion");
    }

    /** Returns the recorded trials of quarantined requests. */
    trials(): TrialRecord[] {
        return this.records().filter((record) => record.kind === "trial");
    }

    /** Returns the requests that operators released from quarantine. */
    quarantineReleases(): QuarantineReleaseRecord[] {
        return this.records().filter((record) => record.kind === "quarantine-release");
    }

    /** Returns the newest change of every key that changed at or after an offset. */
    changesFrom(from: Offset): LedgerChange[] {
        return [...this.changes.values()].filter(({ offset }) => offset >= from);
    }

    /** Returns the newest change of every key, from which another host can build the ledger. */
    all(): LedgerChange[] {
        return [...this.changes.values()];
    }

    /**
     * Applies changes. Changes that are already applied are ignored, and so are all when offsets before them are missing.
     * @param changes all changes from `from` up to `upTo`
     * @param from first offset that the changes cover
     * @param upTo offset after the last one that they cover
     * @returns whether any change was new
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
     * Replaces the content by a snapshot, unless the snapshot is older.
     * @param changes newest change of every key
     * @param upTo offset after the last one that the snapshot covers
     * @returns whether the content was replaced
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
