/** Grants trials of quarantined requests; see `trial.ts`. Only the coordinator does so, and only while the store confirms its term. */
import type { Result } from "neverthrow";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { TrialRecord } from "../crashes/crashRecords.js";
import { trialKeyOf } from "../crashes/crashRecords.js";
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import { trialGrantValidMs, trialTimes } from "../crashes/trial.js";
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { LedgerWriter } from "../ownership/ledgerWriter.js";

/** Retry delay of a request whose trial this coordinator can't decide on: the asking host knows more or less than it does. */
const retryAfterOtherNewsMs = 500;

/** Dependencies of `createTrialGranter`. */
export interface TrialGranterDependencies {
    evidence: CrashEvidence;
    /** Returns the trials in the ledger. */
    recordedTrials: () => readonly TrialRecord[];
    writer: LedgerWriter;
    mayAct: (now: Instant) => boolean;
    clock: Clock;
    log: Log;
}

/** Grants trials. */
export interface TrialGranter {
    /** Grants the trial of a request if one is due. The grant is in the ledger when it is returned. */
    grant(params: TrialParams): Promise<TrialReply>;
    /** Records that a granted trial does not count, unless another one has been granted since. */
    takeBack(params: TrialReturn): Promise<void>;
}

/** Creates the granter of one coordinator. */
export function createTrialGranter({ evidence, recordedTrials, writer, mayAct, clock, log }: TrialGranterDependencies): TrialGranter {
    /** Fingerprints whose trials are being recorded. */
    const pending = new Set<Fingerprint>();

    const refusal = ({ content, exact }: TrialParams, nowMs: number): TrialReply => {
        const standing = evidence.standingOf({ content, exact }, nowMs);
        return { kind: "refused", retryAfterMs: standing.kind === "quarantined" ? Math.ceil(standing.remainingMs) : retryAfterOtherNewsMs };
    };

    /** Writes records; until they are written no other trial of these requests is granted or taken back. */
    const recordTrials = async (trials: readonly TrialRecord[]): Promise<Result<void, Failure>> => {
        trials.forEach(({ fingerprint }) => pending.add(fingerprint));
        try {
            return await writer.record(trials.map((record) => ({ key: trialKeyOf(record.fingerprint), record })));
        }
        finally {
            trials.forEach(({ fingerprint }) => pending.delete(fingerprint));
        }
    };

    return {
        grant: async (params) => {
            const now = clock.now();
            const due = evidence.dueTrials(params, now.monoMs);
            const fingerprints = due.map(({ fingerprint }) => fingerprint);
            if (due.length === 0 || fingerprints.some((fingerprint) => pending.has(fingerprint))) {
                return refusal(params, now.monoMs);
            }
            if (!mayAct(now)) {
                return { kind: "unavailable" };
            }
            const grantedWallMs = Math.round(now.wallMs);
            const result = await recordTrials(due.map((trial) => ({ kind: "trial", ...trial, ...trialTimes(params), grantedWallMs })));
            const tookMs = Math.round(clock.now().monoMs - now.monoMs);
            const isInTime = tookMs <= trialGrantValidMs;
            log.info("trial of a quarantined request", {
                fingerprints, numbers: due.map(({ number }) => number), tookMs,
                outcome: result.isErr() ? describeFailure(result.error) : isInTime ? "granted" : "recorded too late, not used",
            });
            return result.isOk() && isInTime ? { kind: "granted", grantedWallMs } : { kind: "unavailable" };
        },
        takeBack: async ({ content, exact, grantedWallMs }) => {
            const returned = recordedTrials().filter((trial) => (trial.fingerprint === content || trial.fingerprint === exact)
                && trial.grantedWallMs === grantedWallMs && trial.isReturned === undefined && !pending.has(trial.fingerprint));
            if (returned.length === 0 || !mayAct(clock.now())) {
                return;
            }
            const result = await recordTrials(returned.map((trial) => ({ ...trial, isReturned: true })));
            log.info("trial given back, its request did not run", {
                fingerprints: returned.map(({ fingerprint }) => fingerprint), numbers: returned.map(({ number }) => number),
                outcome: result.isErr() ? describeFailure(result.error) : "recorded",
            });
        },
    };
}
