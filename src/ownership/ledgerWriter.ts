/**
 * Appends to the ledger on behalf of the coordinator. An append takes effect only if nobody else appended before it.
 *
 * Load pattern: many moves at once, which end one after the other, and a store that is slow for seconds but answers. Calls are
 * few and dear, so what ends within a short time is recorded together. A slow store is not taken for one that is away: keys are
 * moved off slow targets all the same.
 */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Offset } from "../model/names.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AppendOutcome, StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { LedgerChange } from "./ledger.js";
import { encodeLedgerRecord } from "./ledger.js";
import type { Assignment, DraftedRecord } from "./ownershipDraft.js";
import { draftOwnerships } from "./ownershipDraft.js";

/** Pauses between attempts grow from the first to the second, since the store may be in trouble for seconds. */
const firstRetryMs = 40;
const longestRetryMs = 320;

/** An append that takes this many times as long as the one before, within bounds, shows that the store is in trouble. */
const patienceRatio = 3;
const leastPatienceMs = 150;
const mostPatienceMs = 900;

/** Least time between two appends. */
const appendGapMs = 40;

/** An append without an answer may have taken effect; the ledger is looked at this often. */
const lookMs = 250;

/** A failed append shows trouble for this long; later ones are tried again. */
const troubleLastsMs = 1_000;

const storeInTrouble = failure("refused", "store-append", "ledger", "the store is in trouble");

/** What a writer works with. */
export interface LedgerWriterParts {
    store: StorePort;
    reader: TopicReader;
    view: ClusterView;
    clock: Clock;
    log: Log;
    /** Tells whether this process may write now. */
    mayWrite: (now: Instant) => boolean;
    /** True once another term is in force; this process never writes again. */
    isDeposed: () => boolean;
    /** Told of each append that took effect, with the time at which it was sent. */
    onWritten: (changes: readonly LedgerChange[], from: Offset, upTo: Offset, sentAt: Instant) => void;
}

/** What becomes of an append that has not been sent when the store is in trouble. */
export type InTrouble = "wait" | "or-refuse";

type AppendResult = Result<AppendOutcome, Failure> | "seen";

interface Job {
    assignments: readonly Assignment[];
    inTrouble: InTrouble;
    settle: (result: Result<void, Failure>) => void;
}

/** Writes to the ledger. */
export interface LedgerWriter {
    /**
     * Gives ranges to targets. Resolves when that is in force, or when it certainly is not and never will be.
     * A failure of kind `lost` leaves it open; it comes only when this process will never write again.
     * @param assignments who gets which range
     * @param inTrouble whether it is refused when the store is in trouble
     */
    assign(assignments: readonly Assignment[], inTrouble: InTrouble): Promise<Result<void, Failure>>;
    /** True unless an append failed a moment ago, or one has been unanswered for a while. */
    isSound(nowMs: number): boolean;
}

/**
 * Creates the writer.
 * @param parts what it works with
 */
export function createLedgerWriter(parts: LedgerWriterParts): LedgerWriter {
    const { store, reader, view, clock, log } = parts;
    let queue: Job[] = [];
    let working = false;
    let underWay: { sentMs: number } | undefined;
    let failedMs = Number.NEGATIVE_INFINITY;
    let patienceMs = leastPatienceMs;
    let sentMs = Number.NEGATIVE_INFINITY;

    const work = async () => {
        working = true;
        while (queue.length > 0) {
            const gapMs = sentMs + appendGapMs - clock.now().monoMs;
            if (gapMs > 0) {
                await clock.sleep(gapMs);
            }
            const jobs = queue;
            queue = [];
            const result = await appendUntilKnown(jobs.flatMap(({ assignments }) => assignments));
            jobs.forEach(({ settle }) => {
                settle(result);
            });
        }
        working = false;
    };

    /** Refuses what has not been sent and can be left undone. */
    const refuseWaiting = () => {
        const refused = queue.filter(({ inTrouble }) => inTrouble === "or-refuse");
        queue = queue.filter(({ inTrouble }) => inTrouble === "wait");
        refused.forEach(({ settle }) => {
            settle(err(storeInTrouble));
        });
    };

    /** Watches an append until it is answered. */
    const watch = async (answered: AbortSignal) => {
        await clock.sleep(patienceMs, answered);
        if (!answered.aborted) {
            refuseWaiting();
        }
    };

    /** Ends when the append is answered, or when the ledger shows that it took effect. */
    const appendOnce = async (records: readonly DraftedRecord[], expectedEnd: Offset, nowMs: number): Promise<AppendResult> => {
        const known = new AbortController();
        underWay = { sentMs: nowMs };
        sentMs = nowMs;
        void watch(known.signal);
        const outcome = await Promise.race([
            store.append(records.map(({ key, record }) => encodeLedgerRecord(key, record)), expectedEnd),
            seenInLedger(records, expectedEnd, known.signal),
        ]);
        known.abort();
        underWay = undefined;
        if (outcome !== "seen" && outcome.isOk()) {
            const tookMs = clock.now().monoMs - nowMs;
            patienceMs = Math.min(mostPatienceMs, Math.max(leastPatienceMs, tookMs * patienceRatio));
        }
        failedMs = outcome === "seen" || outcome.isErr() ? clock.now().monoMs : Number.NEGATIVE_INFINITY;
        return outcome;
    };

    /** Resolves when the ledger shows an append that has no answer; otherwise it never does. */
    const seenInLedger = (records: readonly DraftedRecord[], from: Offset, known: AbortSignal): Promise<"seen"> => new Promise((resolve) => {
        const look = async () => {
            while (!known.aborted) {
                await clock.sleep(lookMs, known);
                if (!known.aborted && (await reader.read("ledger", 0)).isOk() && isInForce(records, from)) {
                    resolve("seen");
                    return;
                }
            }
        };
        void look();
    });

    const isSound = (nowMs: number): boolean =>
        nowMs - failedMs > troubleLastsMs && (underWay === undefined || nowMs - underWay.sentMs < patienceMs);

    /** An append without an answer may take effect later; appending again at the same end makes one of the two fail. */
    const appendUntilKnown = async (assignments: readonly Assignment[]): Promise<Result<void, Failure>> => {
        let uncertain: { from: Offset; sentAt: Instant } | undefined;
        let retryMs = firstRetryMs;
        for (;;) {
            const now = clock.now();
            const records = draftOwnerships(view.ledger, assignments);
            if (parts.isDeposed()) {
                return err(failure(uncertain === undefined ? "refused" : "lost", "store-append", "ledger", "another term is in force"));
            }
            if (!parts.mayWrite(now)) {
                if (uncertain === undefined) {
                    return err(failure("refused", "store-append", "ledger", "the term is not confirmed"));
                }
                await clock.sleep(retryMs);
                continue;
            }
            const expectedEnd = view.ledger.upTo;
            const outcome = await appendOnce(records, expectedEnd, now.monoMs);
            if (outcome === "seen") {
                log.info("append without an answer in force", { end: expectedEnd, afterMs: Math.round(clock.now().monoMs - now.monoMs) });
                announce(expectedEnd, now);
                return ok(undefined);
            }
            if (outcome.isOk() && outcome.value.kind === "appended") {
                take(records, outcome.value.offset, now);
                return ok(undefined);
            }
            if (outcome.isErr()) {
                refuseWaiting();
                log.warn("append failed", { kind: outcome.error.kind, why: outcome.error.message, end: expectedEnd });
                uncertain ??= outcome.error.kind === "lost" ? { from: expectedEnd, sentAt: now } : undefined;
                if (uncertain === undefined) {
                    return err(outcome.error);
                }
                await clock.sleep(retryMs);
                retryMs = Math.min(longestRetryMs, retryMs * 2);
            }
            await reader.read("ledger", 0);
            if (uncertain !== undefined && isInForce(records, uncertain.from)) {
                announce(uncertain.from, uncertain.sentAt);
                return ok(undefined);
            }
        }
    };

    const take = (records: readonly DraftedRecord[], offset: Offset, sentAt: Instant) => {
        const changes = records.map((record, index) => ({ ...record, offset: offset + index as Offset }));
        const upTo = offset + records.length as Offset;
        view.applyLedger(changes, offset, upTo);
        parts.onWritten(changes, offset, upTo, sentAt);
    };

    /** Tells of an append that was read back, with all that was read behind it. */
    const announce = (from: Offset, sentAt: Instant) => {
        parts.onWritten(view.ledger.all().filter(({ offset }) => offset >= from), from, view.ledger.upTo, sentAt);
    };

    const isInForce = (records: readonly DraftedRecord[], from: Offset): boolean => records.every(({ key, record }) => {
        const change = view.ledger.get(key);
        return change !== undefined && change.offset >= from && JSON.stringify(change.record) === JSON.stringify(record);
    });

    return {
        assign: (assignments, inTrouble) => new Promise((settle) => {
            if (inTrouble === "or-refuse" && !isSound(clock.now().monoMs)) {
                settle(err(storeInTrouble));
                return;
            }
            queue.push({ assignments, inTrouble, settle });
            if (!working) {
                void work();
            }
        }),
        isSound,
    };
}
