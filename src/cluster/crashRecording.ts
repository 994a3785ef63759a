/**
 * Keeps evidence of crashes in the ledger: the coordinator records what concerns suspected requests, and a host that follows no coordinator
 * records what it observes itself, so that hosts which can't reach each other learn from each other through the store.
 */
import type { CrashEvidenceUpdate, CrashReport, TargetProcess } from "../crashes/crashReport.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { CrashRecord } from "../crashes/crashRecords.js";
import {
    completionKeyOf, crashKeyOf, quarantineReleaseKeyOf, toCompletionRecord, toCompletionReport, toCrashRecord, toCrashReport,
    toTrialReport, trialKeyOf,
} from "../crashes/crashRecords.js";
import { describeFailure } from "../model/failure.js";
import type { HostId, Offset } from "../model/names.js";
import { waitFor } from "../model/signal.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { encodeLedgerRecord } from "../ownership/ledger.js";
import type { Ledger } from "../ownership/ledger.js";
import type { LedgerWriter } from "../ownership/ledgerWriter.js";
import type { DraftedRecord } from "../ownership/ownershipDraft.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";

/** Limit on the crashes that are kept in the ledger. */
const maxRecordedCrashes = 48;

/**
 * A completion, a crash at which no suspected request was, or a trial of a request that is not suspected any more is removed after this
 * time; until then other hosts may need it.
 */
const minRetentionMs = 60_000;

/** The release or trial of a quarantined request is forgotten after this time, by when the crashes before it are forgotten too. */
const maxRetentionMs = 6 * 60 * 60_000;

/** No host's clock is believed to be ahead of another one's by more. */
const maxClockErrorMs = 6 * 60 * 60_000;

/** Interval at which records are checked for what has become too old. */
const checkPeriodMs = 10_000;

/** Time after which an append of crashes that failed is tried again. */
const retryMs = 1_000;

/** Minimum time between two appends of crashes. */
const appendGapMs = 100;

/** A host that has lost its coordinator records what happened within this time before; its last reports may not have arrived. */
const unconfirmedMs = 4_000;

/** A host records its observations itself after it has followed no coordinator for this long. */
const aloneAfterMs = 700;
const aloneCheckPeriodMs = 200;

/**
 * Drafts the changes of the ledger that the evidence calls for.
 * @param ledger the current ledger
 * @param evidence what is known of crashes
 * @param recordedBy this host
 * @param now current time
 */
export function draftCrashRecords(ledger: Ledger, evidence: CrashEvidence, recordedBy: HostId, now: Instant): DraftedRecord[] {
    const recorded = ledger.crashes();
    const wanted = evidence.crashesOfSuspects(now.monoMs).slice(0, maxRecordedCrashes);
    const isRecorded = (report: CrashReport) => recorded.some((record) => isSameProcess(record, report));
    const added = wanted.filter((report) => !isRecorded(report))
        .map((report) => toCrashRecord(report, recordedBy, now))
        .map((record) => ({ key: crashKeyOf(record, recordedBy), record: { ...record, requests: notCleared(record, evidence) } }));
    const oldCrashes = recorded
        .filter((record) => !wanted.some((report) => isSameProcess(record, report)) && isOutdated(record.atWallMs, minRetentionMs, now))
        .map((record) => ({ key: crashKeyOf(record, record.recordedBy), record: undefined }));
    const outdated = recorded.flatMap((record) => withoutCleared(record, evidence));
    const oldReleases = ledger.quarantineReleases()
        .filter(({ releasedWallMs }) => isOutdated(releasedWallMs, maxRetentionMs, now))
        .map(({ fingerprint }) => ({ key: quarantineReleaseKeyOf(fingerprint), record: undefined }));
    const oldCompletions = ledger.completions()
        .filter(({ atWallMs }) => isOutdated(atWallMs, minRetentionMs, now))
        .map(({ fingerprint }) => ({ key: completionKeyOf(fingerprint), record: undefined }));
    return [...added, ...outdated, ...oldCrashes, ...oldCompletions, ...oldReleases, ...draftOldTrials(ledger, evidence, now)];
}

function draftOldTrials(ledger: Ledger, evidence: CrashEvidence, now: Instant): DraftedRecord[] {
    const suspected = new Set(evidence.adverseStandings(now.monoMs).map(({ fingerprint }) => fingerprint));
    return ledger.trials()
        .filter(({ fingerprint, grantedWallMs }) =>
            now.wallMs - grantedWallMs > (suspected.has(fingerprint) ? maxRetentionMs : minRetentionMs))
        .map(({ fingerprint }) => ({ key: trialKeyOf(fingerprint), record: undefined }));
}

/** Tells whether a record is too old, or so far in the future that no clock can be that wrong; the latter would stay forever. */
function isOutdated(atWallMs: number, retentionMs: number, now: Instant): boolean {
    const ageMs = now.wallMs - atWallMs;
    return ageMs > retentionMs || ageMs < -maxClockErrorMs;
}

function notCleared(record: CrashRecord, evidence: CrashEvidence): CrashRecord["requests"] {
    return record.requests.filter((request) => !evidence.isClearedSince(record, request));
}

/** Drafts a record anew if it has requests that were run to their end since. */
function withoutCleared(record: CrashRecord, evidence: CrashEvidence): DraftedRecord[] {
    const requests = notCleared(record, evidence);
    return requests.length === record.requests.length
        ? []
        : [{ key: crashKeyOf(record, record.recordedBy), record: { ...record, requests } }];
}

function isSameProcess(left: TargetProcess, right: TargetProcess): boolean {
    return left.targetId === right.targetId && left.bornWallMs === right.bornWallMs;
}

/** Dependencies of `recordCrashes`. */
export interface CrashRecordingDependencies {
    view: ClusterView;
    evidence: CrashEvidence;
    self: HostId;
    writer: LedgerWriter;
    clock: Clock;
    log: Log;
}

/** Keeps the ledger's records of crashes up to date until `signal` aborts; called at the coordinator. */
export async function recordCrashes(
    { view, evidence, self, writer, clock, log }: CrashRecordingDependencies, signal: AbortSignal,
): Promise<void> {
    let hasChanged = false;
    const stopListening = evidence.changed.listen(() => {
        hasChanged = true;
    });
    while (!signal.aborted) {
        hasChanged = false;
        let waitMs = checkPeriodMs;
        const changes = draftCrashRecords(view.ledger, evidence, self, clock.now());
        if (changes.length > 0) {
            const result = await writer.record(changes);
            waitMs = result.isOk() ? checkPeriodMs : retryMs;
            log.info("crashes recorded", {
                keys: changes.map(({ key }) => key), outcome: result.isOk() ? "recorded" : describeFailure(result.error),
            });
        }
        await clock.sleep(appendGapMs, signal);
        if (!hasChanged) {
            await waitFor(clock, waitMs, [evidence.changed], signal);
        }
    }
    stopListening();
}

/** Dependencies of `recordWhileAlone`. */
export interface AloneRecordingDependencies {
    store: StorePort;
    evidence: CrashEvidence;
    observer: Pick<CrashObserver, "takeUnreported" | "observed">;
    self: HostId;
    clock: Clock;
    log: Log;
    /** Tells whether this host coordinates, or follows a coordinator. */
    isConnected: () => boolean;
}

/** Records what this host observes while it is connected to no coordinator, until `signal` aborts. */
export async function recordWhileAlone(dependencies: AloneRecordingDependencies, signal: AbortSignal): Promise<void> {
    const { store, evidence, observer, self, clock, log, isConnected } = dependencies;
    let connectedAtMs = clock.now().monoMs;
    /** What the store has not accepted yet; undefined while this host is not alone. */
    let waiting: CrashEvidenceUpdate | undefined;
    while (!signal.aborted) {
        await waitFor(clock, aloneCheckPeriodMs, [observer.observed], signal);
        const now = clock.now();
        connectedAtMs = isConnected() ? now.monoMs : connectedAtMs;
        if (now.monoMs - connectedAtMs < aloneAfterMs) {
            waiting = undefined;
            continue;
        }
        waiting = appendObservations(waiting ?? recentPart(evidence.snapshot(now.monoMs)), observer.takeUnreported());
        if (waiting.crashes.length + waiting.completions.length === 0) {
            continue;
        }
        const records = [
            ...waiting.crashes.map((report) => encodeLedgerRecord(crashKeyOf(report, self), toCrashRecord(report, self, now))),
            ...waiting.completions.map((report) =>
                encodeLedgerRecord(completionKeyOf(report.fingerprint), toCompletionRecord(report, now))),
        ];
        const outcome = await store.append(records, undefined);
        log.info("evidence of crashes recorded without a coordinator", {
            targets: waiting.crashes.map(({ targetId }) => targetId), completed: waiting.completions.map(({ fingerprint }) => fingerprint),
            outcome: outcome.isOk() ? outcome.value.kind : describeFailure(outcome.error),
        });
        waiting = outcome.isOk() ? nothing : waiting;
    }
}

const nothing: CrashEvidenceUpdate = { crashes: [], completions: [] };

function recentPart({ crashes, completions }: CrashEvidenceUpdate): CrashEvidenceUpdate {
    const isRecent = ({ agoMs }: { agoMs: number }) => agoMs < unconfirmedMs;
    return { crashes: crashes.filter(isRecent), completions: completions.filter(isRecent) };
}

function appendObservations(waiting: CrashEvidenceUpdate, observed: CrashEvidenceUpdate | undefined): CrashEvidenceUpdate {
    return {
        crashes: [...waiting.crashes, ...observed?.crashes ?? []].slice(-maxRecordedCrashes),
        completions: [...waiting.completions, ...observed?.completions ?? []].slice(-maxRecordedCrashes),
    };
}

/** Adds the ledger's records of crashes, completions, trials and releases to the evidence, now and whenever the ledger changes. */
export function watchCrashRecords(view: ClusterView, evidence: CrashEvidence, clock: Clock): void {
    let appliedUpTo = 0 as Offset;
    const apply = () => {
        const now = clock.now();
        const isFirstReading = appliedUpTo === 0;
        const records = view.ledger.changesFrom(appliedUpTo).flatMap(({ record }) => record ?? []);
        appliedUpTo = view.ledger.upTo;
        const crashes = records.filter((record) => record.kind === "crash")
            .map((record) => toCrashReport(record, evidence.crashAgeMs(record, now.monoMs), now));
        const completions = records.filter((record) => record.kind === "completion" || record.kind === "quarantine-release")
            .map((record) => toCompletionReport(record, now));
        if (crashes.length > 0 || completions.length > 0) {
            evidence.merge({ crashes, completions }, now.monoMs);
        }
        evidence.addTrials(records.filter((record) => record.kind === "trial")
            .map((record) => toTrialReport(record, !isFirstReading, now)), now.monoMs);
    };
    apply();
    view.ledgerChanged.listen(apply);
}
