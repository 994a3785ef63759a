/** What this host knows of crashes of targets and of the requests that were there, from its own observations and from other hosts. */
import { Signal } from "../model/signal.js";
import type { TargetId } from "../model/names.js";
import type { Crash, Suspicion } from "./crashAssessment.js";
import { assessCrashes, distinctFingerprints, quarantineExcess, suspectedCrashCount } from "./crashAssessment.js";
import type { CompletionReport, CrashEvidenceUpdate, CrashReport, TargetProcess } from "./crashReport.js";
import { processKeyOf } from "./crashReport.js";
import type { Fingerprint, RequestFingerprints } from "./requestFingerprint.js";
import type { Trial, TrialReport, TrialTerms } from "./trial.js";
import { countTrials, quarantineRemainingMs } from "./trial.js";

/** Limits on what is kept. */
const maxCrashes = 128;
const maxRequestsPerCrash = 32;

/** Number of crashes left after some were forgotten because there were too many; less than the limit, so that this is rarely done. */
const crashesLeft = 96;

/** Reports of one crash that differ by less in time agree; a host that was suspended notices a crash later than others. */
const crashTimeToleranceMs = 20;

/** A crash is forgotten after this time, or after the second one if a request that was there is suspected. */
const retentionMs = 10 * 60_000;
const suspectRetentionMs = 5 * 60 * 60_000;

/** How a request is to be treated. */
export type Standing =
    | { kind: "clear" }
    /** It may run, but not together with another suspected request. */
    | { kind: "suspected"; fingerprint: Fingerprint; crashCount: number; processCount: number; unexplainedCount: number }
    /** Its quarantine has ended: it may run once, if the coordinator grants a trial. */
    | { kind: "trial-due"; fingerprint: Fingerprint; crashCount: number }
    | { kind: "quarantined"; fingerprint: Fingerprint; crashCount: number; remainingMs: number };

/** The standing of all requests with one fingerprint, unless it is clear. */
export type AdverseStanding = Exclude<Standing, { kind: "clear" }>;

/** Part of a host's dump. */
export interface CrashEvidenceDescription {
    /** Number of crashes that are known. */
    crashes: number;
    standings: (AdverseStanding & { targets: readonly TargetId[] })[];
}

const clear: Standing = { kind: "clear" };

/** Of a request's two standings, the one that comes first here applies. */
const adverseKindsBySeverity: readonly AdverseStanding["kind"][] = ["quarantined", "trial-due", "suspected"];

/** Crashes, and requests that were run to their end since. Bounded in size; what is old is forgotten. */
export class CrashEvidence {
    /** Fires when anything new is known. */
    readonly changed = new Signal();
    /** By process; see `processKeyOf`. */
    private readonly crashes = new Map<string, Crash>();
    private readonly completedMs = new Map<Fingerprint, number>();
    /** The last trial of requests with each fingerprint. */
    private readonly trials = new Map<Fingerprint, Trial>();
    /** Fingerprints of the requests in `crashes`. */
    private fingerprints = new Set<Fingerprint>();
    /** Undefined when `crashes` or `completedMs` has changed since. */
    private suspicions: Map<Fingerprint, Suspicion> | undefined = new Map();

    /** True if there is nothing against any request. */
    get isEmpty(): boolean {
        return this.crashes.size === 0;
    }

    /** Number of crashes that are kept. */
    get crashCount(): number {
        return this.crashes.size;
    }

    /** Tells whether a request with this fingerprint was at a crash. */
    knows(fingerprint: Fingerprint): boolean {
        return this.fingerprints.has(fingerprint);
    }

    /** Returns the time since a crash, or undefined if it is not known. */
    crashAgeMs(process: TargetProcess, nowMs: number): number | undefined {
        const crash = this.crashes.get(processKeyOf(process));
        return crash === undefined ? undefined : ageMs(crash.atMs, nowMs);
    }

    /** Tells whether a request was run to its end after a crash at which it was. */
    isClearedSince(process: TargetProcess, { content, exact }: RequestFingerprints): boolean {
        const atMs = this.crashes.get(processKeyOf(process))?.atMs ?? Number.POSITIVE_INFINITY;
        return [content, exact].every((fingerprint) => (this.completedMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY) > atMs);
    }

    /**
     * Adds what is new in an update.
     * @param update observations of this host, or an update from another one
     * @param nowMs current monotonic time
     * @returns the part that was new, or undefined if nothing was
     */
    merge(update: CrashEvidenceUpdate, nowMs: number): CrashEvidenceUpdate | undefined {
        const crashes = update.crashes.filter((report) => this.mergeCrash(report, nowMs));
        this.forgetOld(nowMs);
        const completions = update.completions.filter((report) => this.mergeCompletion(report, nowMs));
        if (crashes.length === 0 && completions.length === 0) {
            return undefined;
        }
        this.suspicions = undefined;
        this.changed.fire();
        return { crashes, completions };
    }

    /** Adds trials that the coordinator has granted, each of them later than those that are known. */
    addTrials(reports: readonly TrialReport[], nowMs: number): void {
        reports.forEach(({ agoMs, ...terms }) => this.trials.set(terms.fingerprint, { ...terms, grantedMs: nowMs - agoMs }));
        if (reports.length > 0) {
            this.changed.fire();
        }
    }

    /** Lists the trials to grant so that a request may run once; empty if none is due, or if one of its fingerprints is quarantined. */
    dueTrials(request: RequestFingerprints, nowMs: number): Pick<TrialTerms, "fingerprint" | "number" | "excessCount">[] {
        return this.standingOf(request, nowMs).kind !== "trial-due" ? [] : [request.content, request.exact].flatMap((fingerprint) => {
            const suspicion = this.assess().get(fingerprint);
            return suspicion === undefined || this.standingOfFingerprint(fingerprint, nowMs).kind !== "trial-due" ? [] : [{
                fingerprint, number: countTrials(this.lastTrialOf(fingerprint)) + 1, excessCount: quarantineExcess(suspicion),
            }];
        });
    }

    /** Returns everything that is known, except for trials, which hosts learn from the ledger. */
    snapshot(nowMs: number): CrashEvidenceUpdate {
        return {
            crashes: [...this.crashes.values()].map((crash) => toReport(crash, nowMs)),
            completions: [...this.completedMs].map(([fingerprint, atMs]) => ({ fingerprint, agoMs: ageMs(atMs, nowMs) })),
        };
    }

    /** Lists the crashes at which a suspected request was, the latest first. */
    crashesOfSuspects(nowMs: number): CrashReport[] {
        return [...this.crashes.values()].filter((crash) => this.hasSuspect(crash)).map((crash) => toReport(crash, nowMs))
            .sort((left, right) => left.agoMs - right.agoMs);
    }

    /** Returns the standing of a request. */
    standingOf({ content, exact }: RequestFingerprints, nowMs: number): Standing {
        const standings = [this.standingOfFingerprint(content, nowMs), this.standingOfFingerprint(exact, nowMs)];
        return adverseKindsBySeverity.flatMap((wanted) => standings.filter(({ kind }) => kind === wanted))[0] ?? clear;
    }

    /** Lists every standing that is not clear. */
    adverseStandings(nowMs: number): AdverseStanding[] {
        return [...this.assess().keys()].flatMap((fingerprint) => {
            const standing = this.standingOfFingerprint(fingerprint, nowMs);
            return standing.kind === "clear" ? [] : [standing];
        });
    }

    /** Describes what is known for operators. */
    describe(nowMs: number): CrashEvidenceDescription {
        return {
            crashes: this.crashes.size,
            standings: this.adverseStandings(nowMs).map((standing) => ({
                ...standing, targets: this.targetsCrashedWith(standing.fingerprint),
                ...standing.kind === "quarantined" ? { remainingMs: Math.round(standing.remainingMs) } : {},
            })),
        };
    }

    /** Lists the targets that crashed while they had a request with this fingerprint. */
    targetsCrashedWith(fingerprint: Fingerprint): TargetId[] {
        return this.crashesWith(fingerprint).map(({ targetId }) => targetId);
    }

    /** Forgets what is old. */
    forgetOld(nowMs: number): void {
        const isAnyOld = [...this.crashes.values()].some(({ atMs }) => nowMs - atMs > retentionMs);
        if (!isAnyOld && this.crashes.size <= maxCrashes) {
            return;
        }
        const byDispensability = [...this.crashes]
            .map(([id, crash]) => ({ id, ageMs: nowMs - crash.atMs, hasSuspect: this.hasSuspect(crash) }))
            .sort((left, right) => Number(left.hasSuspect) - Number(right.hasSuspect) || right.ageMs - left.ageMs);
        const excess = this.crashes.size > maxCrashes ? this.crashes.size - crashesLeft : 0;
        byDispensability.filter(({ ageMs, hasSuspect }, index) => index < excess || ageMs > (hasSuspect ? suspectRetentionMs : retentionMs))
            .forEach(({ id }) => this.crashes.delete(id));
        [...this.trials.values()].filter(({ grantedMs }) => nowMs - grantedMs > suspectRetentionMs)
            .forEach(({ fingerprint }) => this.trials.delete(fingerprint));
        this.updateFingerprints();
    }

    private hasSuspect({ requests }: Crash): boolean {
        return [...distinctFingerprints(requests)]
            .some((fingerprint) => (this.assess().get(fingerprint)?.crashCount ?? 0) >= suspectedCrashCount);
    }

    private mergeCrash(report: CrashReport, nowMs: number): boolean {
        const id = processKeyOf(report);
        const known = this.crashes.get(id);
        const reported = toCrash(report, nowMs);
        const crash = known === undefined ? reported : joinCrashes(known, reported);
        if (crash === known) {
            return false;
        }
        this.crashes.set(id, crash);
        distinctFingerprints(crash.requests).forEach((fingerprint) => this.fingerprints.add(fingerprint));
        this.suspicions = undefined;
        return true;
    }

    /** Keeps a completion only if it makes a crash not count any more. */
    private mergeCompletion({ fingerprint, agoMs }: CompletionReport, nowMs: number): boolean {
        const atMs = nowMs - agoMs;
        const previousMs = this.completedMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY;
        const isOfUse = this.crashesWith(fingerprint).some((crash) => crash.atMs > previousMs && crash.atMs < atMs);
        if (!isOfUse) {
            return false;
        }
        this.completedMs.set(fingerprint, atMs);
        this.suspicions = undefined;
        return true;
    }

    private crashesWith(fingerprint: Fingerprint): Crash[] {
        return !this.fingerprints.has(fingerprint)
            ? []
            : [...this.crashes.values()].filter(({ requests }) =>
                requests.some(({ content, exact }) => content === fingerprint || exact === fingerprint));
    }

    private updateFingerprints(): void {
        this.fingerprints = distinctFingerprints([...this.crashes.values()].flatMap(({ requests }) => requests));
        [...this.completedMs.keys()].filter((fingerprint) => !this.fingerprints.has(fingerprint))
            .forEach((fingerprint) => this.completedMs.delete(fingerprint));
        this.suspicions = undefined;
    }

    private assess(): Map<Fingerprint, Suspicion> {
        this.suspicions ??= assessCrashes([...this.crashes.values()], this.completedMs);
        return this.suspicions;
    }

    private standingOfFingerprint(fingerprint: Fingerprint, nowMs: number): Standing {
        const suspicion = this.assess().get(fingerprint);
        if (suspicion === undefined || suspicion.crashCount < suspectedCrashCount) {
            return clear;
        }
        const { crashCount, processCount, unexplainedCount, lastCrashMs } = suspicion;
        const excessCount = quarantineExcess(suspicion);
        if (excessCount < 0) {
            return { kind: "suspected", fingerprint, crashCount, processCount, unexplainedCount };
        }
        const remainingMs = quarantineRemainingMs({ lastCrashMs, excessCount, trial: this.lastTrialOf(fingerprint) }, nowMs);
        return remainingMs > 0
            ? { kind: "quarantined", fingerprint, crashCount, remainingMs }
            : { kind: "trial-due", fingerprint, crashCount };
    }

    /** Returns the last trial since requests with a fingerprint were clear. */
    private lastTrialOf(fingerprint: Fingerprint): Trial | undefined {
        const trial = this.trials.get(fingerprint);
        return trial === undefined || (this.completedMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY) > trial.grantedMs ? undefined : trial;
    }
}

function toReport({ targetId, bornWallMs, serviceId, atMs, requests, others }: Crash, nowMs: number): CrashReport {
    return {
        targetId, bornWallMs, serviceId, others,
        agoMs: ageMs(atMs, nowMs),
        requests: requests.map(({ content, exact, sentMs }) => ({ content, exact, sentAgoMs: ageMs(sentMs, nowMs) })),
    };
}

function ageMs(atMs: number, nowMs: number): number {
    return Math.max(0, Math.round(nowMs - atMs));
}

function toCrash({ targetId, bornWallMs, serviceId, agoMs, requests, others }: CrashReport, nowMs: number): Crash {
    return {
        targetId, bornWallMs, serviceId, others,
        atMs: nowMs - agoMs,
        requests: requests.slice(0, maxRequestsPerCrash)
            .map(({ content, exact, sentAgoMs }) => ({ content, exact, sentMs: nowMs - sentAgoMs })),
    };
}

/** Adds what another report says about a known crash; returns the same object if that is nothing new. */
function joinCrashes(known: Crash, { atMs, requests, others }: Crash): Crash {
    const added = requests.filter(({ exact }) => known.requests.every((request) => request.exact !== exact));
    const down = [...new Map([...known.others.down, ...others.down].map((process) => [processKeyOf(process), process])).values()];
    const isSurveyNews = others.asked > known.others.asked || down.length > known.others.down.length;
    const isEarlier = known.atMs - atMs > crashTimeToleranceMs;
    if ((added.length === 0 || known.requests.length >= maxRequestsPerCrash) && !isSurveyNews && !isEarlier) {
        return known;
    }
    return {
        ...known, atMs: Math.min(known.atMs, atMs), requests: [...known.requests, ...added].slice(0, maxRequestsPerCrash),
        others: { asked: Math.max(known.others.asked, others.asked), down },
    };
}
