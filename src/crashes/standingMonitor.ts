/** Logs how the standing of requests changes as evidence comes and goes. */
import type { Clock } from "../model/time.js";
import { waitFor } from "../model/signal.js";
import type { Log } from "../observe/log.js";
import type { AdverseStanding, CrashEvidence } from "./crashEvidence.js";
import type { Fingerprint } from "./requestFingerprint.js";

/** Interval at which evidence is checked for what has become too old. */
const checkPeriodMs = 5_000;

/** Minimum time between two checks; while many targets crash, evidence changes all the time. */
const minCheckGapMs = 20;

/** Dependencies of a monitor. */
export interface StandingMonitorDependencies {
    evidence: CrashEvidence;
    clock: Clock;
    log: Log;
}

/** Checks the evidence until `signal` aborts. */
export async function monitorStandings({ evidence, clock, log }: StandingMonitorDependencies, signal: AbortSignal): Promise<void> {
    let known: ReadonlyMap<Fingerprint, AdverseStanding> = new Map();
    while (!signal.aborted) {
        const nowMs = clock.now().monoMs;
        evidence.forgetOld(nowMs);
        const current = new Map(evidence.adverseStandings(nowMs).map((standing) => [standing.fingerprint, standing]));
        logChanges(known, current, evidence, log);
        known = current;
        await waitFor(clock, checkPeriodMs, [evidence.changed], signal);
        await clock.sleep(minCheckGapMs, signal);
    }
}

const eventByKind = {
    "suspected": "request suspected", "trial-due": "trial of a quarantined request is due", "quarantined": "request quarantined",
} as const;

function logChanges(
    before: ReadonlyMap<Fingerprint, AdverseStanding>, after: ReadonlyMap<Fingerprint, AdverseStanding>, evidence: CrashEvidence, log: Log,
): void {
    for (const standing of after.values()) {
        const { fingerprint, kind, crashCount } = standing;
        const earlier = before.get(fingerprint);
        if (earlier?.kind !== kind || earlier.crashCount !== crashCount) {
            log.warn(eventByKind[kind], {
                fingerprint, crashes: crashCount, targets: evidence.targetsCrashedWith(fingerprint), before: earlier?.kind ?? "clear",
                ...standing.kind === "quarantined" ? { remainingMs: Math.round(standing.remainingMs) } : {},
            });
        }
    }
    for (const { fingerprint, kind } of before.values()) {
        if (!after.has(fingerprint)) {
            log.info("request cleared", { fingerprint, before: kind });
        }
    }
}
