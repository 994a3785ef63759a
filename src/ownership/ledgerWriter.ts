/**
 * Appends records to the ledger for the coordinator, above all those of ownership. An append takes effect only if no other append came
 * before it.
 *
 * Load pattern: many moves at once, which finish one after the other, and a store that answers but is slow for seconds. Appends are
 * expensive and have to be few, so assignments that come within a short time are recorded together. A store that is only slow is not
 * treated as unavailable, since keys must still be moved off slow targets.
 */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Offset } from "../model/names.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AppendOutcome, NewRecord, StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { LedgerChange } from "./ledgerRecords.js";
import { encodeLedgerRecord } from "./ledgerRecords.js";
import type { Assignment, DraftedRecord } from "./ownershipDraft.js";
import { draftOwnerships } from "./ownershipDraft.js";
import { StoreResponse } from "./storeResponse.js";

/** The delay between attempts doubles from the first to the second value, since the store may be unavailable for seconds. */
const firstRetryMs = 40;
const maxRetryMs = 320;

/** Minimum time between two appends. */
const appendIntervalMs = 40;

/** An append without an answer may have taken effect, so the ledger is read again at this interval. */
const rereadIntervalMs = 250;

const storeUnavailable = failure("refused", "store-append", "ledger", "the store is unavailable: an append failed or has no answer");

/** Dependencies and callbacks of the ledger writer. */
export interface LedgerWriterDependencies {
    store: StorePort;
    reader: TopicReader;
    view: ClusterView;
    clock: Clock;
    log: Log;
    /** Tells whether this process may write now. */
    mayWrite: (now: Instant) => boolean;
    /** True once another term is in force; this process never writes again. */
    isSuperseded: () => boolean;
    /** Called for each append that took effect, with the time at which it was sent. */
    onWritten: (changes: readonly LedgerChange[], from: Offset, upTo: Offset, sentAt: Instant) => void;
}

/** What happens to records that have not been sent when the store fails: they wait, or they are refused. */
export type StoreFailurePolicy = "wait" | "refuse";

type AppendResult = Result<AppendOutcome, Failure> | "seen";

/** Changes of the ledger: new owners of ranges, and records that don't depend on others. */
interface LedgerChanges {
    assignments: readonly Assignment[];
    records: readonly DraftedRecord[];
}

/** Records as they are compared with those in the ledger, and as they are sent. */
interface Draft {
    records: readonly DraftedRecord[];
    encoded: readonly NewRecord[];
}

interface QueuedChanges extends LedgerChanges {
    onStoreFailure: StoreFailurePolicy;
    settle: (result: Result<void, Failure>) => void;
}

/** Writes records to the ledger. */
export interface LedgerWriter {
    /**
     * Records new owners of ranges. Resolves when the records are in force, or when they certainly never will be. Only a failure of kind
     * `lost` leaves it open whether they are; it is returned only when this process will never write again.
     * @param assignments ranges and their new owners
     * @param onStoreFailure what to do when the store fails before they are sent
     */
    assign(assignments: readonly Assignment[], onStoreFailure: StoreFailurePolicy): Promise<Result<void, Failure>>;
    /**
     * Writes records that don't depend on others. Resolves as `assign` does; they are refused when the store fails before they are sent.
     * @param records keys with their new records
     */
    record(records: readonly DraftedRecord[]): Promise<Result<void, Failure>>;
    /** Tells whether the store responds: no append has failed recently, and none has been unanswered for too long. */
    isStoreResponding(nowMs: number): boolean;
}

/** Creates the writer. */
export function createLedgerWriter(dependencies: LedgerWriterDependencies): LedgerWriter {
    const { store, reader, view, clock, log } = dependencies;
    let queue: QueuedChanges[] = [];
    let isProcessing = false;
    const response = new StoreResponse();
    let lastSentMs = Number.NEGATIVE_INFINITY;

    /** Logs an error that none of the steps is expected to throw. */
    const unexpected = (step: string, kind: Failure["kind"], error: unknown): Failure => {
        log.error("unexpected error while the ledger was written", {
            step, end: view.ledger.upTo, why: error instanceof Error ? error.stack : String(error),
        });
        return failure(kind, "store-append", "ledger", `unexpected error: ${String(error)}`);
    };

    const processQueue = async () => {
        isProcessing = true;
        while (queue.length > 0) {
            const delayMs = lastSentMs + appendIntervalMs - clock.now().monoMs;
            if (delayMs > 0) {
                await clock.sleep(delayMs);
            }
            const batch = queue;
            queue = [];
            const result = await appendUntilKnown({
                assignments: batch.flatMap(({ assignments }) => assignments), records: batch.flatMap(({ records }) => records),
            });
            batch.forEach(({ settle }) => {
                settle(result);
            });
        }
        isProcessing = false;
    };

    /** Refuses the queued changes that need not be recorded. */
    const refuseOptional = () => {
        const refused = queue.filter(({ onStoreFailure }) => onStoreFailure === "refuse");
        queue = queue.filter(({ onStoreFailure }) => onStoreFailure === "wait");
        refused.forEach(({ settle }) => {
            settle(err(storeUnavailable));
        });
    };

    /** Refuses optional changes when an append is not answered in time. */
    const watchForSlowAppend = async (answered: AbortSignal) => {
        await clock.sleep(response.slowAppendMs, answered);
        if (!answered.aborted) {
            refuseOptional();
        }
    };

    /** Sends an append. After an unexpected error it is unknown whether it takes effect. */
    const sendAppend = async (records: readonly NewRecord[], expectedEnd: Offset): Promise<Result<AppendOutcome, Failure>> => {
        try {
            return await store.append(records, expectedEnd);
        }
        catch (error) {
            return err(unexpected("append", "lost", error));
        }
    };

    /** Runs a step; returns a failure of the given kind after an unexpected error. */
    const runStep = <T>(step: string, kind: Failure["kind"], run: () => T): Result<T, Failure> => {
        try {
            return ok(run());
        }
        catch (error) {
            return err(unexpected(step, kind, error));
        }
    };

    /** Resolves when the append is answered, or when a reading of the ledger shows that it took effect. */
    const appendOnce = async ({ records, encoded }: Draft, expectedEnd: Offset, nowMs: number): Promise<AppendResult> => {
        const finished = new AbortController();
        response.recordSent(nowMs);
        lastSentMs = nowMs;
        void watchForSlowAppend(finished.signal);
        const outcome = await Promise.race([
            sendAppend(encoded, expectedEnd),
            seenInLedger(records, expectedEnd, finished.signal),
        ]);
        finished.abort();
        response.recordOutcome(outcome !== "seen" && outcome.isOk(), clock.now().monoMs);
        return outcome;
    };

    /** Resolves when the ledger contains an append that has not been answered; never resolves otherwise. */
    const seenInLedger = (
        records: readonly DraftedRecord[], from: Offset, finished: AbortSignal,
    ): Promise<"seen"> => new Promise((resolve) => {
        const poll = async () => {
            while (!finished.aborted) {
                await clock.sleep(rereadIntervalMs, finished);
                if (!finished.aborted && (await reader.read("ledger", 0)).isOk() && isInForce(records, from)) {
                    resolve("seen");
                    return;
                }
            }
        };
        void poll();
    });

    /**
     * Appends until the outcome is known. An append without an answer may still take effect later; the retry expects the same end of the
     * ledger, so only one of the two can succeed.
     */
    const appendUntilKnown = async (changes: LedgerChanges): Promise<Result<void, Failure>> => {
        let unanswered: { from: Offset; sentAt: Instant } | undefined;
        let retryMs = firstRetryMs;
        for (;;) {
            const now = clock.now();
            if (dependencies.isSuperseded()) {
                return err(failure(unanswered === undefined ? "refused" : "lost", "store-append", "ledger", "another term is in force"));
            }
            if (!dependencies.mayWrite(now)) {
                if (unanswered === undefined) {
                    return err(failure("refused", "store-append", "ledger", "the term is not confirmed"));
                }
                await clock.sleep(retryMs);
                continue;
            }
            const drafted = runStep("draft", "refused", (): Draft => {
                const records = [...draftOwnerships(view.ledger, changes.assignments), ...changes.records];
                return { records, encoded: records.map(({ key, record }) => encodeLedgerRecord(key, record)) };
            });
            if (drafted.isErr()) {
                if (unanswered === undefined) {
                    return err(drafted.error);
                }
                await clock.sleep(maxRetryMs);
                continue;
            }
            const { records } = drafted.value;
            const expectedEnd = view.ledger.upTo;
            const outcome = await appendOnce(drafted.value, expectedEnd, now.monoMs);
            if (outcome === "seen") {
                log.info("unanswered append found in ledger", { end: expectedEnd, afterMs: Math.round(clock.now().monoMs - now.monoMs) });
                reportRead(expectedEnd, now);
                return ok(undefined);
            }
            if (outcome.isOk() && outcome.value.kind === "appended") {
                applyAppended(records, outcome.value.offset, now);
                return ok(undefined);
            }
            if (outcome.isErr()) {
                refuseOptional();
                log.warn("append failed", { kind: outcome.error.kind, why: outcome.error.message, end: expectedEnd });
                unanswered ??= outcome.error.kind === "lost" ? { from: expectedEnd, sentAt: now } : undefined;
                if (unanswered === undefined) {
                    return err(outcome.error);
                }
                await clock.sleep(retryMs);
                retryMs = Math.min(maxRetryMs, retryMs * 2);
            }
            await reader.read("ledger", 0);
            if (unanswered !== undefined && isInForce(records, unanswered.from)) {
                reportRead(unanswered.from, unanswered.sentAt);
                return ok(undefined);
            }
        }
    };

    const applyAppended = (records: readonly DraftedRecord[], offset: Offset, sentAt: Instant) => {
        const changes = records.map((record, index) => ({ ...record, offset: offset + index as Offset }));
        const upTo = offset + records.length as Offset;
        // The records are in force, whatever goes wrong in what follows from them.
        runStep("apply", "lost", () => {
            view.applyLedger(changes, offset, upTo);
        });
        runStep("report", "lost", () => {
            dependencies.onWritten(changes, offset, upTo, sentAt);
        });
    };

    /** Reports an append that was found by reading the ledger, with all changes from its offset on. */
    const reportRead = (from: Offset, sentAt: Instant) => {
        runStep("report", "lost", () => {
            dependencies.onWritten(view.ledger.all().filter(({ offset }) => offset >= from), from, view.ledger.upTo, sentAt);
        });
    };

    const isInForce = (records: readonly DraftedRecord[], from: Offset): boolean => records.every(({ key, record }) => {
        const change = view.ledger.get(key);
        return change !== undefined && change.offset >= from && JSON.stringify(change.record) === JSON.stringify(record);
    });

    const enqueue = (changes: LedgerChanges, onStoreFailure: StoreFailurePolicy) => new Promise<Result<void, Failure>>((settle) => {
        if (changes.assignments.length + changes.records.length === 0) {
            settle(ok(undefined));
            return;
        }
        if (onStoreFailure === "refuse" && !response.isResponding(clock.now().monoMs)) {
            settle(err(storeUnavailable));
            return;
        }
        queue.push({ ...changes, onStoreFailure, settle });
        if (!isProcessing) {
            void processQueue();
        }
    });

    return {
        assign: (assignments, onStoreFailure) => enqueue({ assignments, records: [] }, onStoreFailure),
        record: (records) => enqueue({ assignments: [], records }, "refuse"),
        isStoreResponding: (nowMs) => response.isResponding(nowMs),
    };
}
