/**
 * Keeps requests that crash the targets that run them from being sent: they are refused, also while they wait for a slot. After a
 * quarantine one of them may run, if the coordinator grants a trial. Requests that a stopping host could not finish are refused in the
 * same places.
 */
import type { CrashEvidence, Standing } from "../crashes/crashEvidence.js";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import { trialGrantValidMs } from "../crashes/trial.js";
import type { Refusal } from "../entry/clientCall.js";
import type { Signal } from "../model/signal.js";
import { linkAborts } from "../model/signal.js";
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { Clock } from "../model/time.js";
import type { Placement, Placer, TargetSlot } from "./placement.js";
import type { RequestContext } from "./requestContext.js";

/** Time after which requests may come back if there is no coordinator to ask, or if it can't write to the store. */
const retryAfterUnavailableMs = 1_000;

/** Number of crashed processes, one after the other or at once, from which on a suspected request is not sent by a host that is cut off. */
const strongSuspicionCrashCount = 3;

/** Dependencies of a guard. */
export interface QuarantineGuardDependencies {
    placer: Pick<Placer, "place">;
    crashEvidence: CrashEvidence;
    /** Asks the coordinator for a trial. */
    requestTrial: (params: TrialParams) => Promise<TrialReply>;
    /** Gives back a trial whose request certainly did not run. */
    returnTrial: (params: TrialReturn) => void;
    /** Tells whether this host learns at once what other hosts learn of crashes. */
    isInContact: (nowMs: number) => boolean;
    clock: Clock;
    /** Returns the refusal of a request that this host could not finish before it stops. */
    stopRefusalOf: (context: RequestContext) => Refusal | undefined;
    /** Fires when this host begins to stop. */
    shutdownStarted: Signal;
}

/** Refuses requests that must not be sent to a target at present, wherever there is a slot for them. */
export interface QuarantineGuard {
    /** Returns the refusal of a request that must not run now; undefined if it may wait for a slot. */
    refusalOf(context: RequestContext): Refusal | undefined;
    /**
     * Finds a slot, unless the request must be refused before there is one. If a trial of the request is due, the slot is for that trial;
     * without one the request is refused.
     * @param context the request
     * @param reservedSlot a slot that the request has already
     */
    place(context: RequestContext, reservedSlot: TargetSlot | undefined): Promise<Placement>;
}

/** Returns how a request is to be treated by what is known of crashes; its fingerprints are computed only if there were any. */
export function standingOfRequest(crashEvidence: CrashEvidence, { getFingerprints }: RequestContext, nowMs: number): Standing {
    return crashEvidence.isEmpty ? { kind: "clear" } : crashEvidence.standingOf(getFingerprints(), nowMs);
}

/** Tells whether a request was at so many crashes without a completion that it would be quarantined if fewer others had been there. */
function isStronglySuspected(standing: Standing): boolean {
    return standing.kind === "suspected" && standing.processCount >= strongSuspicionCrashCount && standing.unexplainedCount > 0;
}

/** Creates the guard. */
export function createQuarantineGuard(
    { placer, crashEvidence, requestTrial, returnTrial, isInContact, clock, stopRefusalOf, shutdownStarted }: QuarantineGuardDependencies,
): QuarantineGuard {
    const nowMs = () => clock.now().monoMs;
    let noTrialsUntilMs = Number.NEGATIVE_INFINITY;

    const quarantineRefusalOf = (context: RequestContext): Refusal | undefined => {
        const standing = standingOfRequest(crashEvidence, context, nowMs());
        if (standing.kind === "clear") {
            return undefined;
        }
        if (standing.kind === "quarantined") {
            return { reason: "quarantined", retryAfterMs: standing.remainingMs, fingerprint: standing.fingerprint };
        }
        const { kind, fingerprint } = standing;
        const noTrialsMs = noTrialsUntilMs - nowMs();
        if (kind === "trial-due" && noTrialsMs > 0) {
            return { reason: "quarantined", retryAfterMs: noTrialsMs, fingerprint };
        }
        // A host that is cut off does not know of the latest crashes, and keeps queues that others keep too.
        return isStronglySuspected(standing) && !isInContact(nowMs())
            ? { reason: "quarantined", retryAfterMs: retryAfterUnavailableMs, fingerprint }
            : undefined;
    };

    const refusalOf = (context: RequestContext): Refusal | undefined => quarantineRefusalOf(context) ?? stopRefusalOf(context);

    /** Waits for a slot; the wait ends when the request must be refused, or its client leaves. */
    const placeWhileAllowed = async (context: RequestContext): Promise<Placement> => {
        const waitAbort = linkAborts(context.call.clientLeft);
        const onChange = () => {
            if (refusalOf(context) !== undefined) {
                waitAbort.abort();
            }
        };
        const stopListening = [crashEvidence.changed.listen(onChange), shutdownStarted.listen(onChange)];
        try {
            return await placer.place(context, waitAbort.signal);
        }
        finally {
            stopListening.forEach((stop) => {
                stop();
            });
            waitAbort.release();
        }
    };

    /** Turns a placement into a refusal if the request must not run now, and into a trial if one is due. */
    const checkPlacement = async (context: RequestContext, placement: Placement): Promise<Placement> => {
        const refusal = refusalOf(context);
        if (refusal !== undefined && placement.kind === "placed") {
            placement.release({ kind: "dropped" });
        }
        if (context.call.clientLeft.aborted && placement.kind !== "placed") {
            return { kind: "client-left" };
        }
        if (refusal !== undefined) {
            return { kind: "refused", refusal };
        }
        if (placement.kind !== "placed") {
            return placement;
        }
        const standing = standingOfRequest(crashEvidence, context, nowMs());
        return standing.kind === "trial-due" ? startTrial(context, placement, standing.fingerprint) : placement;
    };

    /** Has the run recorded for which the slot is; nothing may come between the end of this and the sending of the request. */
    const startTrial = async (context: RequestContext, slot: TargetSlot, fingerprint: Fingerprint): Promise<Placement> => {
        const askedMs = nowMs();
        const fingerprints = context.getFingerprints();
        const reply = await requestTrial({
            ...fingerprints, expectedMs: Math.round(slot.expectedMs), deadlineLeftMs: Math.round(context.deadlineMs - askedMs),
        });
        const isInTime = nowMs() - askedMs <= trialGrantValidMs;
        const giveBack = () => {
            if (reply.kind === "granted" && reply.grantedWallMs !== undefined) {
                returnTrial({ ...fingerprints, grantedWallMs: reply.grantedWallMs });
            }
        };
        if (reply.kind === "granted" && isInTime) {
            return { ...slot, isTrial: true, release: (end) => {
                slot.release(end);
                if (end.kind === "turned-away" || end.kind === "unreachable") {
                    giveBack();
                }
            } };
        }
        giveBack();
        slot.release({ kind: "dropped" });
        if (reply.kind === "unavailable" || !isInTime) {
            noTrialsUntilMs = nowMs() + retryAfterUnavailableMs;
        }
        const retryAfterMs = reply.kind === "refused" ? reply.retryAfterMs : retryAfterUnavailableMs;
        return { kind: "refused", refusal: { reason: "quarantined", retryAfterMs, fingerprint } };
    };

    /** As `checkPlacement`; on an unexpected error the slot is given back. */
    const checkPlacementSafely = async (context: RequestContext, placement: Placement): Promise<Placement> => {
        try {
            return await checkPlacement(context, placement);
        }
        catch (error) {
            if (placement.kind === "placed") {
                placement.release({ kind: "dropped" });
            }
            throw error;
        }
    };

    return {
        refusalOf,
        place: async (context, reservedSlot) => {
            for (;;) {
                const placement = reservedSlot ?? await placeWhileAllowed(context);
                const checked = await checkPlacementSafely(context, placement);
                if (checked.kind !== "client-left" || context.call.clientLeft.aborted) {
                    return checked;
                }
            }
        },
    };
}
