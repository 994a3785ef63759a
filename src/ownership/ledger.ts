/**
 * The ledger: a topic of the store in which hosts record the coordinator's term, the owners of keys and crashes of targets, and operators
 * the configuration document, the targets to drain and the requests that may run again. A grant is sent only after its ownership record
 * was acknowledged.
 */
import type { CompletionRecord, CrashRecord, QuarantineReleaseRecord, TrialRecord } from "../crashes/crashRecords.js";
import type { Offset, TargetId } from "../model/names.js";
import { eraOf, offsetInEra } from "../model/storePosition.js";
import type { DocumentRecord, LedgerChange, LedgerRecord, OwnershipRecord, TermRecord } from "./ledgerRecords.js";
import { documentVersionOf, drainKey, isKeyOfCoordinators, ownershipKeyOf, termKey } from "./ledgerRecords.js";
import type { LedgerContent } from "./lostRecords.js";
import { contentOf, hasClaimOfItsEra, isSameRecord, knowsLostRecords, mergeWithReturned } from "./lostRecords.js";
import { eraOfTerm } from "./termNumbers.js";

/** What the ledger is changed by. */
export type { LedgerChange } from "./ledgerRecords.js";

/** Limit on the keys of unreadable records that are remembered; more are not written by mistake. */
const maxUnreadableKeys = 10_000;

/** Newest known change of each key of the ledger. */
export class Ledger {
    /** True while this host coordinates: it alone writes owners, so that no copy of the store holds more of them than it knows. */
    isSoleWriter = false;
    /** Highest offset at which the ledger ended in any era, as far as this host knows. */
    highestEnd = 0;
    private changes = new Map<string, LedgerChange>();
    private end = 0 as Offset;
    /** What the store holds, while this host knows records that the store has lost; undefined otherwise. */
    private recorded: Map<string, LedgerChange> | undefined;
    /** Offsets of the records under keys of coordinators that could not be decoded, unless a later one could. */
    private readonly unreadable = new Map<string, Offset>();
    /** Newest version of the configuration document that could not be decoded; 0 if there is none. */
    private unreadableDocumentVersion = 0;
    /** Result of the last `ownerships()`, until a record changes. */
    private cachedOwnerships: readonly OwnershipRecord[] | undefined;

    /** Offset after the last applied record. */
    get upTo(): Offset {
        return this.end;
    }

    /** Term in force, or undefined before the first one. */
    get term(): TermRecord | undefined {
        const record = this.changes.get(termKey)?.record;
        return record?.kind === "term" ? record : undefined;
    }

    /** True if the store has come back from an older copy since the term was claimed; it has to be claimed anew. */
    get isTermOutdated(): boolean {
        return this.term !== undefined && eraOfTerm(this.term.term) < eraOf(this.end);
    }

    /** Returns what is in force although the store has lost it; a record is undefined if its removal was lost. */
    lost(): { key: string; record: LedgerRecord | undefined }[] {
        const { recorded } = this;
        return recorded === undefined ? [] : [...this.changes.values()]
            .filter((change) => change.key !== termKey && !isSameRecord(change, recorded.get(change.key)))
            .map(({ key, record }) => ({ key, record }));
    }

    /** True if there is a record of the term in force, but this host has read none that it can decode; then `term` is undefined. */
    get isTermUnreadable(): boolean {
        return this.unreadable.has(termKey) && this.term === undefined;
    }

    /** True if keys may be assigned to a target by a record that this host could never decode. */
    get isOwnershipUnreadable(): boolean {
        return [...this.unreadable.keys()].some((key) => key !== termKey && !this.changes.has(key));
    }

    /** True if a version of the configuration document that is newer than all that this host knows could not be decoded. */
    get isDocumentUnreadable(): boolean {
        return this.unreadableDocumentVersion > 0 && this.unreadableDocumentVersion > (this.documents()[0]?.version ?? 0);
    }

    /** Remembers that a record could not be decoded. What this host knew under its key before stays in force. */
    markUnreadable(key: string, offset: Offset): void {
        this.unreadableDocumentVersion = Math.max(this.unreadableDocumentVersion, documentVersionOf(key) ?? 0);
        if (isKeyOfCoordinators(key) && offset > (this.changes.get(key)?.offset ?? -1) && this.unreadable.size < maxUnreadableKeys) {
            this.unreadable.set(key, offset);
        }
    }

    /** Returns what is in force under keys of coordinators although the newest records there could not be decoded. */
    overwritten(): { key: string; record: LedgerRecord }[] {
        return [...this.unreadable.keys()].flatMap((key) => {
            const record = this.changes.get(key)?.record;
            return record === undefined ? [] : [{ key, record }];
        });
    }

    private set(change: LedgerChange): void {
        this.changes.set(change.key, change);
        this.cachedOwnerships = undefined;
        if (change.offset > (this.unreadable.get(change.key) ?? Number.POSITIVE_INFINITY)) {
            this.unreadable.delete(change.key);
        }
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

    /** Returns the ownership records of all targets; the same list until a record changes. */
    ownerships(): readonly OwnershipRecord[] {
        this.cachedOwnerships ??= this.records().filter((record) => record.kind === "ownership");
        return this.cachedOwnerships;
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
     * Applies changes. Changes that are already applied are ignored, and so are all when offsets before them are missing. Changes of a
     * later era replace the content if they cover all of it and a term was claimed in that era.
     * @param changes all changes from `from` up to `upTo`
     * @param from first offset that the changes cover; 0 for the whole ledger
     * @param upTo offset after the last one that they cover
     * @returns whether any change was new
     */
    apply(changes: readonly LedgerChange[], from: Offset, upTo: Offset): boolean {
        if (eraOf(upTo) > eraOf(this.end)) {
            return from === 0 && hasClaimOfItsEra(contentOf(changes, upTo)) && this.replace(changes, upTo);
        }
        if (from > this.end) {
            return false;
        }
        let changed = false;
        for (const change of changes) {
            if (change.offset >= this.end) {
                // Without a claim in this era, a record of a coordinator is a late append of an earlier one.
                if (this.recorded === undefined || !isKeyOfCoordinators(change.key)) {
                    this.set(change);
                }
                this.recorded?.set(change.key, change);
                changed = true;
            }
        }
        this.end = Math.max(this.end, upTo) as Offset;
        this.highestEnd = Math.max(this.highestEnd, offsetInEra(upTo));
        this.dropLostRecords();
        return changed;
    }

    /** Once a term is claimed, its coordinator has recorded what is in force; what it did not record is not. */
    private dropLostRecords(): void {
        if (this.recorded !== undefined && hasClaimOfItsEra({ changes: this.recorded, upTo: this.end })) {
            this.changes = this.recorded;
            this.cachedOwnerships = undefined;
            this.recorded = undefined;
        }
    }

    /**
     * Replaces the content by a snapshot, unless the snapshot is older. Of a snapshot of a store that came back from an older copy, and
     * lost records that this host knows, only what is newer is taken.
     * @param changes newest change of every key
     * @param upTo offset after the last one that the snapshot covers
     * @param unreadableKeys keys whose records in the snapshot could not be decoded; what is known under them stays
     * @returns whether the content was replaced
     */
    replace(changes: readonly LedgerChange[], upTo: Offset, unreadableKeys: readonly string[] = []): boolean {
        if (upTo < this.end) {
            return false;
        }
        const known: LedgerContent = { changes: this.changes, upTo: this.end };
        const returned = contentOf(changes, upTo);
        this.end = upTo;
        this.highestEnd = Math.max(this.highestEnd, offsetInEra(upTo));
        const isFirstOfEra = eraOf(upTo) > eraOf(known.upTo);
        const isUnclaimed = this.recorded !== undefined && !hasClaimOfItsEra(returned);
        if (isFirstOfEra ? knowsLostRecords(known, returned, this.isSoleWriter) : isUnclaimed) {
            this.recorded = returned.changes;
            this.changes = mergeWithReturned(known.changes, returned.changes);
            this.cachedOwnerships = undefined;
            return true;
        }
        const kept = unreadableKeys.flatMap((key) => known.changes.get(key) ?? []);
        this.recorded = undefined;
        this.changes = new Map();
        this.cachedOwnerships = undefined;
        kept.forEach((change) => {
            this.set(change);
        });
        changes.forEach((change) => {
            this.set(change);
        });
        return true;
    }

    private records(): LedgerRecord[] {
        return [...this.changes.values()].flatMap(({ record }) => record === undefined ? [] : [record]);
    }
}
