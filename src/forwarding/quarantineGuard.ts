/** Keeps requests that crash the targets that run them from being sent: they are refused, also while they wait for a slot. */
import type { CrashEvidence, Standing } from "../crashes/crashEvidence.js";
import type { Refusal } from "../entry/clientCall.js";
import { linkAborts } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { Placement, Placer, TargetSlot } from "./placement.js";
import type { RequestContext } from "./requestContext.js";

/** Dependencies of a guard. */
export interface QuarantineGuardDependencies {
    placer: Pick<Placer, "place">;
    crashEvidence: CrashEvidence;
    clock: Clock;
}

/** Refuses quarantined requests. */
export interface QuarantineGuard {
    /** Returns the refusal of a request that must not run now; undefined if it may wait for a slot. */
    refusalOf(context: RequestContext): Refusal | undefined;
    /**
     * Finds a slot, unless the request is quarantined before there is one.
     * @param context the request
     * @param reservedSlot a slot that the request has already
     */
    place(context: RequestContext, reservedSlot: TargetSlot | undefined): Promise<Placement>;
}

/** Returns how a request is to be treated by what is known of crashes; its fingerprints are computed only if there were any. */
export function standingOfRequest(crashEvidence: CrashEvidence, { getFingerprints }: RequestContext, nowMs: number): Standing {
    return crashEvidence.isEmpty ? { kind: "clear" } : crashEvidence.standingOf(getFingerprints(), nowMs);
}

/** Creates the guard. */
export function createQuarantineGuard({ placer, crashEvidence, clock }: QuarantineGuardDependencies): QuarantineGuard {
    const refusalOf = (context: RequestContext): Refusal | undefined => {
        const standing = standingOfRequest(crashEvidence, context, clock.now().monoMs);
        return standing.kind === "quarantined"
            ? { reason: "quarantined", retryAfterMs: standing.remainingMs, fingerprint: standing.fingerprint }
            : undefined;
    };

    /** Waits for a slot; the wait ends when the request is quarantined, or its client leaves. */
    const placeWhileNotQuarantined = async (context: RequestContext): Promise<Placement> => {
        const waitAbort = linkAborts(context.call.clientLeft);
        const stopListening = crashEvidence.changed.listen(() => {
            if (refusalOf(context) !== undefined) {
                waitAbort.abort();
            }
        });
        const placement = await placer.place(context, waitAbort.signal);
        stopListening();
        waitAbort.release();
        return placement;
    };

    return {
        refusalOf,
        place: async (context, reservedSlot) => {
            for (;;) {
                const placement = reservedSlot ?? await placeWhileNotQuarantined(context);
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
                if (placement.kind !== "client-left") {
                    return placement;
                }
            }
        },
    };
}
