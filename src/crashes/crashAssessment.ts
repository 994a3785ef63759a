/**
 * Decides which requests crash the targets that run them.
 *
 * Load pattern: a request crashes every target that begins to run it, and comes again with a new id at any host. Each crash also ends other
 * requests that were at the same target; those are innocent. And many targets may end for one reason, such as a power failure, whatever
 * they run. So a request is held responsible only for crashes that nothing else explains, and only if none of its runs since has
 * reached its end.
 */
import type { ServiceId, TargetId } from "../model/names.js";
import type { Survey, TargetProcess } from "./crashReport.js";
import { processKeyOf } from "./crashReport.js";
import type { Fingerprint, RequestFingerprints } from "./requestFingerprint.js";

/** The end of a target's process. Times are monotonic milliseconds of this host. */
export interface Crash extends TargetProcess {
    serviceId: ServiceId;
    atMs: number;
    /** The requests that were at the target. */
    requests: readonly SentRequest[];
    others: Survey;
}

/** A request that was at a target. */
export interface SentRequest extends RequestFingerprints {
    sentMs: number;
}

/** What speaks against requests with a certain fingerprint. */
export interface Suspicion {
    /** Number of crashes at which they were, one after the other. */
    crashCount: number;
    /** Number of processes that crashed with them, also at the same time. */
    processCount: number;
    /** Number of the crashes one after the other that nothing else explains. */
    unexplainedCount: number;
    lastCrashMs: number;
    /** True if at one of the latter crashes they were suspected already, and no other suspected request was there. */
    isSingledOut: boolean;
}

/** Requests are suspected from this number of crashes on, and from then on run one at a time at a target. */
export const suspectedCrashCount = 2;

/** A request that is singled out is quarantined after this number of unexplained crashes, and any other after the second number. */
const quarantinedCrashCount = 3;
const undistinguishedCrashCount = 5;

/** Crashes within this time of each other may have one cause. */
export const simultaneousMs = 500;

/** Limits up to which simultaneous crashes may be a coincidence: those without a suspect, and the suspects at the others. */
export const maxCoincidentCrashes = 1;
const maxCoincidentSuspects = 2;

/** Share of a service's targets that may be down for unknown reasons while a crash still counts against the requests at its target. */
const toleratedDownShare = 1 / 3;
const minToleratedDown = 1;

/** More crashes than this at a time have a common cause, whatever was at the targets: no request comes often enough to cause them. */
const maxCrashesByRequest = 32;

/**
 * Assesses all requests that were at crashes.
 * @param crashes all known crashes
 * @param completedMs time at which a request with a fingerprint last reached the end of its run; earlier crashes don't count against it
 * @returns the suspicion against each fingerprint that has one
 */
export function assessCrashes(
    crashes: readonly Crash[], completedMs: ReadonlyMap<Fingerprint, number>,
): Map<Fingerprint, Suspicion> {
    const history = new CrashHistory(crashes);
    const suspicions = new Map<Fingerprint, Suspicion>();
    const counted: CountedCrash[] = [];
    for (const crash of history.inOrder) {
        const suspects = findSuspects(crash, suspicions);
        history.suspectsAt.set(crash, suspects);
        for (const [fingerprint, request] of lastSentByFingerprint(crash)) {
            const before = suspicions.get(fingerprint);
            const isSinceCompletion = request.sentMs > countsFromMs(undefined, completedMs.get(fingerprint));
            const processCount = (before?.processCount ?? 0) + (isSinceCompletion ? 1 : 0);
            if (before !== undefined) {
                before.processCount = processCount;
            }
            if (request.sentMs > countsFromMs(before, completedMs.get(fingerprint))) {
                suspicions.set(fingerprint, {
                    crashCount: (before?.crashCount ?? 0) + 1, processCount, unexplainedCount: 0, lastCrashMs: crash.atMs,
                    isSingledOut: false,
                });
                counted.push({ crash, fingerprint, request, isAlone: isAloneUnderSuspicion(request, before, suspects) });
            }
        }
    }
    history.repeated = new Set([...suspicions]
        .filter(([, { crashCount }]) => crashCount >= quarantinedCrashCount).map(([fingerprint]) => fingerprint));
    countUnexplained(counted, history, suspicions);
    // A request that was singled out explains its earlier crashes too, so these don't excuse others any more.
    history.singledOut = new Set([...suspicions].filter(([, { isSingledOut }]) => isSingledOut).map(([fingerprint]) => fingerprint));
    if (history.singledOut.size > 0) {
        countUnexplained(counted, history, suspicions);
    }
    return suspicions;
}

/** Sets for each suspect how many of its crashes have no other cause, and whether one of these singles it out. */
function countUnexplained(counted: readonly CountedCrash[], history: CrashHistory, suspicions: ReadonlyMap<Fingerprint, Suspicion>): void {
    suspicions.forEach((suspicion) => {
        suspicion.unexplainedCount = 0;
    });
    for (const { crash, fingerprint, request, isAlone } of counted) {
        const suspicion = suspicions.get(fingerprint);
        const isSuspected = suspicion !== undefined && suspicion.crashCount >= suspectedCrashCount;
        if (isSuspected && !history.hasOtherCause(crash, request)) {
            suspicion.unexplainedCount += 1;
            suspicion.isSingledOut ||= isAlone;
        }
    }
}

/**
 * Returns the number of unexplained crashes beyond those after which requests with this suspicion are quarantined for the first time;
 * negative if they are not.
 */
export function quarantineExcess({ unexplainedCount, isSingledOut }: Suspicion): number {
    return unexplainedCount - (isSingledOut ? quarantinedCrashCount : undistinguishedCrashCount);
}

/** Lists the fingerprints of requests, each once. */
export function distinctFingerprints(requests: readonly RequestFingerprints[]): Set<Fingerprint> {
    return new Set(requests.flatMap(({ content, exact }) => [content, exact]));
}

/** A crash that counts against requests with a fingerprint. */
interface CountedCrash {
    crash: Crash;
    fingerprint: Fingerprint;
    request: SentRequest;
    /** True if they were suspected before, and no other suspected request was there. */
    isAlone: boolean;
}

/** Lists the contents of the requests at a crash that were suspected before it. */
function findSuspects({ requests }: Crash, suspicions: ReadonlyMap<Fingerprint, Suspicion>): Set<Fingerprint> {
    return new Set(requests.map(({ content }) => content)
        .filter((content) => (suspicions.get(content)?.crashCount ?? 0) >= suspectedCrashCount));
}

function isAloneUnderSuspicion({ content }: SentRequest, before: Suspicion | undefined, suspects: ReadonlySet<Fingerprint>): boolean {
    const rivalCount = suspects.size - (suspects.has(content) ? 1 : 0);
    return (before?.crashCount ?? 0) >= suspectedCrashCount && rivalCount === 0;
}

/** Returns for each fingerprint the request at a crash that was sent last. */
function lastSentByFingerprint({ requests }: Crash): Map<Fingerprint, SentRequest> {
    const inOrder = [...requests].sort((left, right) => left.sentMs - right.sentMs);
    return new Map(inOrder.flatMap((request) => [[request.content, request], [request.exact, request]] as const));
}

/** Crashes count against a request only if it was sent after this time. */
function countsFromMs(suspicion: Suspicion | undefined, completedMs = Number.NEGATIVE_INFINITY): number {
    return Math.max(completedMs, suspicion?.lastCrashMs ?? Number.NEGATIVE_INFINITY);
}

/**
 * Tells whether a request that was at a crash explains another one too: it was sent to one of the two targets after the other's crash.
 * If it was at both at once, something else may have ended both.
 */
function isExplainedBy({ content, sentMs }: SentRequest, crash: Crash, other: Crash): boolean {
    return other.requests.some((request) => request.content === content && (sentMs > other.atMs || request.sentMs > crash.atMs));
}

/** Crashes in order of time. */
class CrashHistory {
    readonly inOrder: readonly Crash[];
    /** Contents of the requests at a crash that were suspected before it. */
    readonly suspectsAt = new Map<Crash, ReadonlySet<Fingerprint>>();
    /** Fingerprints that were at so many crashes that these are no coincidence, be it that they or something else caused them. */
    repeated: ReadonlySet<Fingerprint> = new Set();
    /** Fingerprints that are known to have caused a crash. */
    singledOut: ReadonlySet<Fingerprint> = new Set();
    /** Birth of the latest process of each target of which a crash is known; the service directory may still list an earlier process. */
    private readonly lastBornMs = new Map<TargetId, number>();
    /** Time at which each process that did not accept a connection was first seen so. */
    private readonly downSinceMs = new Map<string, number>();

    constructor(crashes: readonly Crash[]) {
        this.inOrder = [...crashes].sort((left, right) => left.atMs - right.atMs);
        for (const { targetId, bornWallMs } of crashes) {
            this.lastBornMs.set(targetId, Math.max(bornWallMs, this.lastBornMs.get(targetId) ?? 0));
        }
        for (const { atMs, others } of this.inOrder) {
            for (const process of others.down) {
                this.downSinceMs.set(processKeyOf(process), this.downSinceMs.get(processKeyOf(process)) ?? atMs);
            }
        }
    }

    /** Tells whether a crash may have a cause that has nothing to do with a request that was there. */
    hasOtherCause(crash: Crash, request: SentRequest): boolean {
        const [first, end] = this.simultaneousPositions(crash);
        if (end - first > maxCrashesByRequest) {
            return true;
        }
        const unrelated = this.inOrder.slice(first, end).filter((other) =>
            other.serviceId === crash.serviceId && other.targetId !== crash.targetId && !isExplainedBy(request, crash, other));
        const suspectsOf = (other: Crash) => this.explanationsOf(other).filter((content) => content !== request.content);
        const withoutSuspect = unrelated.filter((other) => suspectsOf(other).length === 0);
        const suspects = new Set(unrelated.flatMap(suspectsOf));
        return withoutSuspect.length > maxCoincidentCrashes || suspects.size > maxCoincidentSuspects || this.areTooManyDown(crash);
    }

    /** Lists the contents of the requests at a crash that were suspected before it, or have shown since that they may have caused it. */
    private explanationsOf(crash: Crash): Fingerprint[] {
        const since = crash.requests.map(({ content }) => content)
            .filter((content) => this.singledOut.has(content) || this.repeated.has(content));
        return [...this.suspectsAt.get(crash) ?? [], ...since];
    }

    /** Tells whether too many other targets went down at the time of a crash without a crash of theirs that is known. */
    private areTooManyDown(crash: Crash): boolean {
        const { asked, down } = crash.others;
        const unknownCount = down.filter((process) => !this.hasKnownCrash(process) && !this.wasDownBefore(process, crash)).length;
        return unknownCount > Math.max(minToleratedDown, asked * toleratedDownShare);
    }

    private hasKnownCrash({ targetId, bornWallMs }: TargetProcess): boolean {
        return (this.lastBornMs.get(targetId) ?? 0) >= bornWallMs;
    }

    /** Tells whether a process was down too early for one cause with a crash; for example, it is cut off from the hosts. */
    private wasDownBefore(process: TargetProcess, { atMs }: Crash): boolean {
        return (this.downSinceMs.get(processKeyOf(process)) ?? atMs) < atMs - simultaneousMs;
    }

    /** Returns the position of the first crash, of any service, around the time of a crash, and the position after the last one. */
    private simultaneousPositions({ atMs }: Crash): [first: number, end: number] {
        return [this.firstPositionFrom(atMs - simultaneousMs), this.firstPositionFrom(atMs + simultaneousMs + 1)];
    }

    /** Returns the position of the first crash at or after a time, by binary search. */
    private firstPositionFrom(fromMs: number): number {
        let low = 0;
        let high = this.inOrder.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((this.inOrder[middle] as Crash).atMs < fromMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
