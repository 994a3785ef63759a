/**
 * Records of crashes in the ledger. They let hosts that lost everything at once, and hosts that are cut off from the others, know which
 * requests crash targets. Times are wall-clock times there, since monotonic clocks of different hosts and runs can't be compared.
 */
import type { Fingerprint } from "./requestFingerprint.js";
import type { HostId, ServiceId } from "../model/names.js";
import type { Instant } from "../model/time.js";
import type { CompletionReport, CrashReport, Survey, TargetProcess } from "./crashReport.js";
import type { TrialReport, TrialTerms } from "./trial.js";

/** A crash in the ledger. */
export interface CrashRecord extends TargetProcess {
    kind: "crash";
    recordedBy: HostId;
    serviceId: ServiceId;
    atWallMs: number;
    /** Those that were not run to their end since. */
    requests: readonly { content: Fingerprint; exact: Fingerprint; sentWallMs: number }[];
    /** Fingerprints of the others, for hosts that knew of the crash before; absent if there are none. */
    cleared?: readonly Fingerprint[];
    others: Survey;
}

/** The completion of a request in the ledger; see `CompletionReport`. */
export interface CompletionRecord {
    kind: "completion";
    fingerprint: Fingerprint;
    atWallMs: number;
}

/** A trial in the ledger. */
export interface TrialRecord extends TrialTerms {
    kind: "trial";
    grantedWallMs: number;
}

/** An operator's decision that requests with a fingerprint may run again. */
export interface QuarantineReleaseRecord {
    kind: "quarantine-release";
    fingerprint: Fingerprint;
    releasedWallMs: number;
    author: string;
    reason: string;
}

/** Returns the key of a host's record of a crash. Hosts that can't reach each other know different requests that were there. */
export function crashKeyOf({ targetId, bornWallMs }: TargetProcess, recordedBy: HostId): string {
    return `crash/${targetId}/${String(bornWallMs)}/${recordedBy}`;
}

/** Returns the key of the record of a completion. */
export function completionKeyOf(fingerprint: Fingerprint): string {
    return `completion/${fingerprint}`;
}

/** Returns the key of the record of the last trial of requests with a fingerprint. */
export function trialKeyOf(fingerprint: Fingerprint): string {
    return `trial/${fingerprint}`;
}

/** Returns the key of the record of a release. */
export function quarantineReleaseKeyOf(fingerprint: Fingerprint): string {
    return `quarantine-release/${fingerprint}`;
}

/** Converts a report to a record. */
export function toCrashRecord(report: CrashReport, recordedBy: HostId, { wallMs }: Instant): CrashRecord {
    const { targetId, bornWallMs, serviceId, agoMs, requests, others } = report;
    return {
        kind: "crash", recordedBy, targetId, bornWallMs, serviceId, others,
        atWallMs: Math.round(wallMs - agoMs),
        requests: requests.map(({ content, exact, sentAgoMs }) => ({ content, exact, sentWallMs: Math.round(wallMs - sentAgoMs) })),
    };
}

/**
 * Converts a record to a report.
 * @param record the record
 * @param knownAgoMs time since the crash as this host knows it, which is more accurate than wall-clock times of another host; undefined if
 * it does not know the crash
 * @param now current time of this host
 */
export function toCrashReport(record: CrashRecord, knownAgoMs: number | undefined, now: Instant): CrashReport {
    const { targetId, bornWallMs, serviceId, atWallMs, requests, others } = record;
    const agoMs = knownAgoMs ?? Math.max(0, now.wallMs - atWallMs);
    return {
        targetId, bornWallMs, serviceId, others, agoMs,
        requests: requests.map(({ content, exact, sentWallMs }) => ({ content, exact, sentAgoMs: agoMs + atWallMs - sentWallMs })),
    };
}

/**
 * Converts a completion to a report. The release of a request has the same effect: earlier crashes don't count against it any more.
 * @param record completion or release
 * @param now current time of this host
 */
export function toCompletionReport(record: CompletionRecord | QuarantineReleaseRecord, now: Instant): CompletionReport {
    const atWallMs = record.kind === "completion" ? record.atWallMs : record.releasedWallMs;
    return { fingerprint: record.fingerprint, agoMs: Math.max(0, now.wallMs - atWallMs) };
}

/**
 * Converts what a record says of requests that were run to their end after the crash. They count as run just after it, since the record
 * does not say when.
 * @param record the record
 * @param knownAgoMs time since the crash as this host knows it; undefined if it does not know the crash, and needs no such reports
 */
export function toClearedReports({ cleared }: CrashRecord, knownAgoMs: number | undefined): CompletionReport[] {
    return knownAgoMs === undefined ? [] : (cleared ?? []).map((fingerprint) => ({ fingerprint, agoMs: Math.max(0, knownAgoMs - 1) }));
}

/** Converts a report of a completion to a record. */
export function toCompletionRecord({ fingerprint, agoMs }: CompletionReport, { wallMs }: Instant): CompletionRecord {
    return { kind: "completion", fingerprint, atWallMs: Math.round(wallMs - agoMs) };
}

/**
 * Converts a trial to a report.
 * @param record the trial
 * @param isNew true if this host has been following the ledger and meets the record for the first time; then the trial counts as granted
 * just now, whatever the clocks of the hosts say
 * @param now current time of this host
 */
export function toTrialReport(record: TrialRecord, isNew: boolean, now: Instant): TrialReport {
    const { fingerprint, number, excessCount, expectedMs, outcomeWithinMs, grantedWallMs, isReturned } = record;
    return {
        fingerprint, number, excessCount, expectedMs, outcomeWithinMs, agoMs: isNew ? 0 : Math.max(0, now.wallMs - grantedWallMs),
        ...isReturned === undefined ? {} : { isReturned },
    };
}
