/**
 * Keeps evidence of crashes in the ledger: the coordinator records what concerns suspected requests, and each recent crash, since all
 * hosts may end before the next one; a host that follows no coordinator records what it observes itself, so that hosts which can't reach
 * each other learn from each other through the store.
 */
import { distinctFingerprints, maxCoincidentCrashes, simultaneousMs, suspectedCrashCount } from "../crashes/crashAssessment.js";
import type { CrashEvidenceUpdate, CrashReport, TargetProcess } from "../crashes/crashReport.js";
import { processKeyOf } from "../crashes/crashReport.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { CrashRecord } from "../crashes/crashRecords.js";
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import {
    completionKeyOf, crashKeyOf, quarantineReleaseKeyOf, toClearedReports, toCompletionRecord, toCompletionReport, toCrashRecord,
    toCrashReport, toTrialReport, trialKeyOf,
} from "../crashes/crashRecords.js";
import { describeFailure } from "../model/failure.js";
import type { HostId, Offset } from "../model/names.js";
import { waitFor } from "../model/signal.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { encodeLedgerRecord } from "../ownership/ledgerRecords.js";
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

/** A change of the ledger that the evidence calls for. */
export interface CrashRecordChange extends DraftedRecord {
    /** False if the change may wait until others are written, since it changes no request's standing. */
    isUrgent: boolean;
}

/**
 * Drafts the changes of the ledger that the evidence calls for.
 * @param ledger the current ledger
 * @param evidence what is known of crashes
 * @param recordedBy this host
 * @param now current time
 */
export function draftCrashRecords(ledger: Ledger, evidence: CrashEvidence, recordedBy: HostId, now: Instant): CrashRecordChange[] {
    const recorded = ledger.crashes();
    const ofSuspects = evidence.crashesOfSuspects(now.monoMs);
    const wanted = [...ofSuspects, ...otherRecentCrashes(ofSuspects, evidence, now.monoMs)].slice(0, maxRecordedCrashes);
    const isRecorded = (report: CrashReport) => recorded.some((record) => isSameProcess(record, report));
    const added = wanted.filter((report) => !isRecorded(report))
        .map((report) => toCrashRecord(report, recordedBy, now))
        .map((record) => moveCleared(record, evidence))
        .map((record) => ({ key: crashKeyOf(record, recordedBy), record, isUrgent: true }));
    const oldCrashes = recorded
        .filter((record) => !wanted.some((report) => isSameProcess(record, report)) && isOutdated(record.atWallMs, minRetentionMs, now))
        .map((record) => crashKeyOf(record, record.recordedBy));
    const oldReleases = ledger.quarantineReleases()
        .filter(({ releasedWallMs }) => isOutdated(releasedWallMs, maxRetentionMs, now))
        .map(({ fingerprint }) => quarantineReleaseKeyOf(fingerprint));
    const oldCompletions = ledger.completions()
        .filter(({ atWallMs }) => isOutdated(atWallMs, minRetentionMs, now))
        .map(({ fingerprint }) => completionKeyOf(fingerprint));
    const removed = [...oldCrashes, ...oldCompletions, ...oldReleases, ...findOldTrials(ledger, evidence, now)]
        .map((key) => ({ key, record: undefined, isUrgent: false }));
    return [...added, ...draftCleared(recorded, evidence), ...removed];
}

/** Lists the recent crashes that may be a request's first one: no suspect was there, and others did not crash for the same reason. */
function otherRecentCrashes(ofSuspects: readonly CrashReport[], evidence: CrashEvidence, nowMs: number): CrashReport[] {
    const known = new Set(ofSuspects.map(processKeyOf));
    const crashes = evidence.snapshot(nowMs).crashes.filter((crash) => !known.has(processKeyOf(crash)));
    const coincidentCount = (crash: CrashReport) => crashes.filter((other) => other.serviceId === crash.serviceId
        && other.targetId !== crash.targetId && Math.abs(other.agoMs - crash.agoMs) <= simultaneousMs).length;
    return crashes.filter((crash) => crash.agoMs <= minRetentionMs && coincidentCount(crash) <= maxCoincidentCrashes
        && crash.requests.some((request) => !evidence.isClearedSince(crash, request)));
}

function findOldTrials(ledger: Ledger, evidence: CrashEvidence, now: Instant): string[] {
    const suspected = new Set(evidence.adverseStandings(now.monoMs).map(({ fingerprint }) => fingerprint));
    return ledger.trials()
        .filter(({ fingerprint, grantedWallMs }) =>
            now.wallMs - grantedWallMs > (suspected.has(fingerprint) ? maxRetentionMs : minRetentionMs))
        .map(({ fingerprint }) => trialKeyOf(fingerprint));
}

/** Tells whether a record is too old, or so far in the future that no clock can be that wrong; the latter would stay forever. */
function isOutdated(atWallMs: number, retentionMs: number, now: Instant): boolean {
    const ageMs = now.wallMs - atWallMs;
    return ageMs > retentionMs || ageMs < -maxClockErrorMs;
}

/** Moves the requests that were run to their end since to those that are cleared; returns the same record if there are none. */
function moveCleared(record: CrashRecord, evidence: CrashEvidence): CrashRecord {
    const requests = record.requests.filter((request) => !evidence.isClearedSince(record, request));
    const cleared = distinctFingerprints(record.requests.filter((request) => !requests.includes(request)));
    return cleared.size === 0 ? record : { ...record, requests, cleared: [...new Set([...record.cleared ?? [], ...cleared])] };
}

/** Drafts the records anew that have requests which were run to their end since; urgent if a host would suspect these by the records. */
function draftCleared(recorded: readonly CrashRecord[], evidence: CrashEvidence): CrashRecordChange[] {
    const crashCounts = countCrashes(recorded);
    return recorded.flatMap((record) => {
        const changed = moveCleared(record, evidence);
        const isUrgent = record.requests.some((request) =>
            (crashCounts.get(request.content) ?? 0) >= suspectedCrashCount && !changed.requests.includes(request));
        return changed === record ? [] : [{ key: crashKeyOf(record, record.recordedBy), record: changed, isUrgent }];
    });
}

/** Returns the number of recorded crashes at which requests with each content were. */
function countCrashes(recorded: readonly CrashRecord[]): Map<Fingerprint, number> {
    const targets = new Map<Fingerprint, Set<string>>();
    for (const record of recorded) {
        for (const { content } of record.requests) {
            targets.set(content, (targets.get(content) ?? new Set()).add(processKeyOf(record)));
        }
    }
    return new Map([...targets].map(([content, processes]) => [content, processes.size]));
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
    let checkedMs = Number.NEGATIVE_INFINITY;
    let hasChanged = false;
    const stopListening = evidence.changed.listen(() => {
        hasChanged = true;
    });
    while (!signal.aborted) {
        hasChanged = false;
        let waitMs = checkPeriodMs;
        const now = clock.now();
        const isCheckDue = now.monoMs - checkedMs >= checkPeriodMs;
        checkedMs = isCheckDue ? now.monoMs : checkedMs;
        const drafted = draftCrashRecords(view.ledger, evidence, self, now);
        if (drafted.some(({ isUrgent }) => isUrgent || isCheckDue)) {
            const changes = drafted.map(({ key, record }) => ({ key, record }));
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
        const crashRecords = records.filter((record) => record.kind === "crash");
        const crashes = crashRecords.map((record) => toCrashReport(record, evidence.crashAgeMs(record, now.monoMs), now));
        const cleared = crashRecords.flatMap((record) => toClearedReports(record, evidence.crashAgeMs(record, now.monoMs)));
        const completions = [...cleared, ...records
            .filter((record) => record.kind === "completion" || record.kind === "quarantine-release")
            .map((record) => toCompletionReport(record, now))];
        if (crashes.length > 0 || completions.length > 0) {
            evidence.merge({ crashes, completions }, now.monoMs);
        }
        evidence.addTrials(records.filter((record) => record.kind === "trial")
            .map((record) => toTrialReport(record, !isFirstReading, now)), now.monoMs);
    };
    apply();
    view.ledgerChanged.listen(apply);
}
