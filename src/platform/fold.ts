/**
 * Folds the log into the agreed state. Every reader applies the same rules in the same order, so all readers agree:
 * a record names the offset that it was based on, and loses to an earlier change of the same subject.
 */
import type { CellId, Offset, RecordId } from "../model/ids.js";
import { noOffset } from "../model/ids.js";
import type { ConfigDocument } from "../config/document.js";
import { documentSchema, forbiddenChanges } from "../config/document.js";
import type { ConfigRecord, LogRecord, SnapshotRecord, StoredRecord, TermRecord } from "./records.js";
import { recordSchema } from "./records.js";

const maxHistory = 50;

/** Versions whose whole document is kept, so that one can be reverted to. */
const maxDocuments = 5;
const maxVerdicts = 200;

/** Longest text in one snapshot record, in bytes of ASCII. */
export const maxPartBytes = 60_000;

/** A term in force, with the offset that its fences derive from. */
export interface TermInForce {
    offset: Offset;
    term: TermRecord;
}

/** A configuration that was once in force. */
export interface PastVersion {
    offset: Offset;
    basedOn: Offset;
    recordId: RecordId;
    author: string;
    reason: string;
    publishedWallMs: number;
    /** Only kept for the newest versions. */
    document?: ConfigDocument;
}

/** The configuration in force. */
export interface ConfigVersion extends PastVersion {
    document: ConfigDocument;
}

/** What became of a record that names a base. */
export interface Verdict {
    recordId: RecordId;
    offset: Offset;
    accepted: boolean;
    /** Offset of the change that won, when this one lost. */
    wonBy?: Offset;
    why?: string;
}

/** Everything that the log agrees on, up to one offset. */
export interface FoldedState {
    offset: Offset;
    config?: ConfigVersion;
    history: PastVersion[];
    terms: Record<CellId, TermInForce>;
    verdicts: Verdict[];
    /** Offset up to which the newest snapshot on the log reaches. */
    snapshotUpTo: Offset;
    /** When that snapshot was taken, by its host's wall clock; 0 when there is none. */
    snapshotWallMs: number;
}

/** State before any record. */
export const emptyState: FoldedState = {
    offset: noOffset, history: [], terms: {}, verdicts: [], snapshotUpTo: noOffset, snapshotWallMs: 0,
};

const foldByKind: { [K in LogRecord["kind"]]: (state: FoldedState, offset: Offset, record: LogRecord & { kind: K }) => FoldedState } = {
    term: foldTerm,
    config: foldConfig,
    snapshot: (state, _offset, record) => ({
        ...state,
        snapshotUpTo: Math.max(state.snapshotUpTo, record.upTo) as Offset,
        snapshotWallMs: Math.max(state.snapshotWallMs, record.takenWallMs),
    }),
    notice: (state) => state,
};

/**
 * Folds the next record. Records at or before the state's offset change nothing, so the state never goes back.
 * @param state the state so far
 * @param stored the next record
 * @returns the state after it
 */
export function foldRecord(state: FoldedState, stored: StoredRecord): FoldedState {
    if (stored.offset <= state.offset) {
        return state;
    }
    const parsed = recordSchema.safeParse(stored.payload);
    const next = parsed.success
        ? (foldByKind[parsed.data.kind] as (s: FoldedState, o: Offset, r: LogRecord) => FoldedState)(state, stored.offset, parsed.data)
        : state;
    return { ...next, offset: stored.offset };
}

/**
 * Builds the state of a reader that has none, from the records that the log still keeps.
 * @param stored records in order, from the first that is kept
 * @param first offset of the first record that the log still keeps, or would keep next
 * @returns the state, or undefined when the log does not reach back and no whole snapshot fills the gap
 */
export function foldFromStart(stored: readonly StoredRecord[], first: Offset): FoldedState | undefined {
    const start = first <= 1 ? emptyState : newestSnapshot(stored, first);
    return start === undefined ? undefined : stored.reduce(foldRecord, start);
}

/**
 * Looks up what became of a record.
 * @param state the folded state
 * @param recordId the record
 * @returns its verdict, or undefined when it is not on the log so far
 */
export function verdictOf(state: FoldedState, recordId: RecordId): Verdict | undefined {
    return state.verdicts.find((verdict) => verdict.recordId === recordId);
}

function foldTerm(state: FoldedState, offset: Offset, record: TermRecord): FoldedState {
    const current = state.terms[record.cell];
    const currentOffset = current?.offset ?? noOffset;
    if (record.basedOn !== currentOffset) {
        return withVerdict(state, { recordId: record.recordId, offset, accepted: false, wonBy: currentOffset });
    }
    const terms = { ...state.terms, [record.cell]: { offset, term: record } };
    return withVerdict({ ...state, terms }, { recordId: record.recordId, offset, accepted: true });
}

function foldConfig(state: FoldedState, offset: Offset, record: ConfigRecord): FoldedState {
    const currentOffset = state.config?.offset ?? noOffset;
    const lost = { recordId: record.recordId, offset, accepted: false };
    if (state.verdicts.some((verdict) => verdict.recordId === record.recordId)) {
        return state;
    }
    if (record.basedOn !== currentOffset) {
        return withVerdict(state, { ...lost, wonBy: currentOffset });
    }
    const checked = documentSchema.safeParse(record.document);
    if (!checked.success) {
        return withVerdict(state, { ...lost, why: "the document does not pass the schema" });
    }
    const forbidden = state.config === undefined ? [] : forbiddenChanges(state.config.document, checked.data);
    if (forbidden.length > 0) {
        return withVerdict(state, { ...lost, why: forbidden.join("; ") });
    }
    const { basedOn, recordId, author, reason, publishedWallMs } = record;
    const version: ConfigVersion = { offset, basedOn, recordId, author, reason, publishedWallMs, document: checked.data };
    const history = withoutOldDocuments([...state.history, version].slice(-maxHistory));
    return withVerdict({ ...state, config: version, history }, { recordId, offset, accepted: true });
}

function withoutOldDocuments(history: PastVersion[]): PastVersion[] {
    return history.map((version, index) => index < history.length - maxDocuments ? { ...version, document: undefined } : version);
}

function withVerdict(state: FoldedState, verdict: Verdict): FoldedState {
    return { ...state, verdicts: [...state.verdicts, verdict].slice(-maxVerdicts) };
}

function newestSnapshot(stored: readonly StoredRecord[], first: Offset): FoldedState | undefined {
    const chunksById = new Map<string, SnapshotRecord[]>();
    for (const { payload } of stored) {
        const parsed = recordSchema.safeParse(payload);
        if (parsed.success && parsed.data.kind === "snapshot") {
            const chunks = chunksById.get(parsed.data.snapshotId) ?? [];
            chunksById.set(parsed.data.snapshotId, [...chunks, parsed.data]);
        }
    }
    const states = [...chunksById.values()].flatMap((chunks) => {
        const state = joinChunks(chunks);
        return state === undefined || state.offset < first - 1 ? [] : [state];
    });
    return states.sort((left, right) => right.offset - left.offset)[0];
}

/**
 * Splits a state into snapshot records.
 * @param state the state to keep
 * @param snapshotId names the snapshot
 * @param maxPartBytes length of the text in one record
 * @param takenWallMs wall clock now
 * @returns the records in order
 */
export function splitSnapshot(
    state: FoldedState,
    snapshotId: string,
    maxPartBytes: number,
    takenWallMs: number,
): SnapshotRecord[] {
    const text = JSON.stringify(state);
    const chunks = Math.ceil(text.length / maxPartBytes);
    return Array.from({ length: chunks }, (_, chunk) => ({
        kind: "snapshot" as const,
        recordId: `${snapshotId}-${String(chunk)}` as RecordId,
        snapshotId, takenWallMs, chunk, chunks,
        upTo: state.offset,
        part: text.slice(chunk * maxPartBytes, (chunk + 1) * maxPartBytes),
    }));
}

function joinChunks(chunks: readonly SnapshotRecord[]): FoldedState | undefined {
    const byNumber = new Map(chunks.map((chunk) => [chunk.chunk, chunk.part]));
    const count = chunks[0]?.chunks ?? 0;
    const parts = Array.from({ length: count }, (_, number) => byNumber.get(number));
    if (count === 0 || parts.includes(undefined)) {
        return undefined;
    }
    return JSON.parse(parts.join("")) as FoldedState;
}
