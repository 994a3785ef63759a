/** Observes which requests were at a target when its process ended, and which requests targets run to their end. */
import type { Address, RequestId, ServiceId } from "../model/names.js";
import { Signal } from "../model/signal.js";
import type { KnownTarget, TargetEntry } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { Metrics } from "../observe/metrics.js";
import type { ClusterView } from "../store/clusterView.js";
import type { CrashEvidence } from "./crashEvidence.js";
import type { CrashEvidenceUpdate, Survey } from "./crashReport.js";
import { CrashUpdateQueue } from "./crashReport.js";
import type { RequestFingerprints } from "./requestFingerprint.js";
import { distinctFingerprints } from "./crashAssessment.js";

/** What an attempt to connect to a target's address shows. */
export type ProbeResult =
    | "listening"
    /** The connection was refused: the process has ended. */
    | "not-listening"
    /** Neither; the target or the path to it is down. */
    | "no-answer";

/** Number of other targets that are asked when a target's process has ended. */
const maxSurveyed = 12;

/** A survey of a service answers all questions of this time; when many targets end at once, each ends several requests. */
const surveyValidMs = 50;

/** Targets that end for the same reason may do so within this time, so that is when the others are asked again. */
const secondSurveyAfterMs = 500;

/** An attempt whose connection ended before the response was complete. */
export interface LostAttempt {
    requestId: RequestId | undefined;
    fingerprints: RequestFingerprints;
    target: TargetEntry;
    /** Monotonic time at which the attempt began. */
    sentMs: number;
    /** How the attempt ended. */
    why: string;
}

/** A crash that this host has noticed. Times are monotonic. */
interface ObservedCrash {
    fingerprints: RequestFingerprints;
    target: TargetEntry;
    sentMs: number;
    endedMs: number;
}

/** Dependencies of an observer. */
export interface CrashObserverDependencies {
    evidence: CrashEvidence;
    view: ClusterView;
    probe: (address: Address) => Promise<ProbeResult>;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    random: () => number;
}

/** Observes the ends of attempts. */
export interface CrashObserver {
    /** Fires when there is something to report. */
    readonly observed: Signal;
    /** Finds out whether the target's process ended; if so, adds that to the evidence. */
    attemptLost(lost: LostAttempt): Promise<void>;
    /** A target ran a request to its end. */
    attemptCompleted(getFingerprints: () => RequestFingerprints): void;
    /** Takes what was observed here since the last call. */
    takeUnreported(): CrashEvidenceUpdate | undefined;
}

/** Creates the observer. */
export function createCrashObserver(dependencies: CrashObserverDependencies): CrashObserver {
    const { evidence, view, probe, clock, log, metrics, random } = dependencies;
    const surveys = new Map<ServiceId, { startedMs: number; result: Promise<Survey> }>();
    const unreported = new CrashUpdateQueue();
    const observed = new Signal();
    const nowMs = () => clock.now().monoMs;

    const observe = (update: CrashEvidenceUpdate) => {
        const added = evidence.merge(update, nowMs());
        if (added !== undefined) {
            unreported.add(added, nowMs());
            observed.fire();
        }
    };

    /** Finds out whether other targets of the service are down too. */
    const survey = (serviceId: ServiceId, atMs: number): Promise<Survey> => {
        const recent = surveys.get(serviceId);
        if (recent !== undefined && atMs - recent.startedMs < surveyValidMs) {
            return recent.result;
        }
        const result = surveyTargets(shuffle(listTargets(serviceId), random).slice(0, maxSurveyed), probe);
        surveys.set(serviceId, { startedMs: atMs, result });
        return result;
    };

    const listTargets = (serviceId: ServiceId): KnownTarget[] =>
        view.targets.ofService(serviceId).filter(({ leavingSinceMs }) => leavingSinceMs === undefined);

    /** A target that announced its end is no evidence against what was there. */
    const isLeaving = ({ targetId, bornWallMs }: TargetEntry) => {
        const known = view.targets.get(targetId);
        return known?.bornWallMs === bornWallMs && known.leavingSinceMs !== undefined;
    };

    /** Adds a crash to the evidence, together with the state of other targets at this moment. */
    const reportCrash = async ({ fingerprints, target, sentMs, endedMs }: ObservedCrash) => {
        const { targetId, bornWallMs, serviceId } = target;
        const { asked, down } = await survey(serviceId, nowMs());
        const othersDown = down.filter((other) => other.targetId !== targetId);
        const others = { asked: asked - (down.length - othersDown.length), down: othersDown };
        const requests = [{ ...fingerprints, sentAgoMs: Math.round(nowMs() - sentMs) }];
        observe({
            crashes: [{ targetId, bornWallMs, serviceId, agoMs: Math.round(nowMs() - endedMs), requests, others }], completions: [],
        });
    };

    return {
        observed,
        attemptLost: async ({ requestId, fingerprints, target, sentMs, why }) => {
            const endedMs = nowMs();
            const wasLeaving = isLeaving(target);
            const result = await probe(target.address);
            metrics.lostAttempts.inc({ target: target.targetId, process: result });
            log.info("attempt lost", {
                request: requestId, content: fingerprints.content, exact: fingerprints.exact, target: target.targetId, why, process: result,
                leaving: wasLeaving,
            });
            if (result !== "not-listening" || wasLeaving) {
                return;
            }
            await reportCrash({ fingerprints, target, sentMs, endedMs });
            await clock.sleep(secondSurveyAfterMs);
            await reportCrash({ fingerprints, target, sentMs, endedMs });
        },
        attemptCompleted: (getFingerprints) => {
            if (evidence.isEmpty) {
                return;
            }
            const known = [...distinctFingerprints([getFingerprints()])].filter((fingerprint) => evidence.knows(fingerprint));
            if (known.length > 0) {
                observe({ crashes: [], completions: known.map((fingerprint) => ({ fingerprint, agoMs: 0 })) });
            }
        },
        takeUnreported: () => unreported.take(nowMs()),
    };
}

async function surveyTargets(targets: readonly KnownTarget[], probe: (address: Address) => Promise<ProbeResult>): Promise<Survey> {
    const results = await Promise.all(targets.map(({ address }) => probe(address)));
    const down = targets.filter((_target, index) => results[index] !== "listening");
    return { asked: targets.length, down: down.map(({ targetId, bornWallMs }) => ({ targetId, bornWallMs })) };
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
    return items.map((item) => ({ item, order: random() })).sort((left, right) => left.order - right.order).map(({ item }) => item);
}
