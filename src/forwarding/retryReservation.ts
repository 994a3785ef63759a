/**
 * Reserves a slot for a retry while the current attempt still waits for its response.
 *
 * Load pattern: a target becomes slow or silent while the others are nearly full. If an attempt were given up before a slot for its
 * retry is reserved, and none became free, the client would get no response at all. So the attempt continues until there is a slot.
 */
import { abortReason } from "../model/signal.js";
import type { Placer, TargetSlot } from "./placement.js";
import type { RequestContext } from "./requestContext.js";
import type { RetryTerms } from "./retryPolicy.js";
import { allowRetry } from "./retryPolicy.js";

/** Dependencies of a retry reservation. */
export interface RetryReservationDependencies {
    placer: Placer;
    /** Returns the present conditions for a retry of the request. */
    getRetryTerms: (context: RequestContext, expectedMs: number) => RetryTerms;
    /** Returns true once this host has begun to shut down. */
    isShuttingDown: () => boolean;
}

/** Reservation of a slot for the retry of one attempt. */
export interface RetryReservation {
    /** Tries to reserve a slot; resolves to true if one is reserved and the retry is allowed. */
    reserve(): Promise<boolean>;
    /**
     * Ends the search for a slot and returns an unused slot to the queue.
     * @param isUsed whether the attempt was given up for a retry in the reserved slot
     * @returns the reserved slot if it is used
     */
    close(isUsed: boolean): TargetSlot | undefined;
}

/**
 * Creates the retry reservation of one attempt.
 * @param context the request
 * @param current the slot of the running attempt; it is used for the retry too if the placer permits it
 */
export function createRetryReservation(
    { placer, getRetryTerms, isShuttingDown }: RetryReservationDependencies, context: RequestContext, current: TargetSlot,
): RetryReservation {
    let searchAbort: AbortController | undefined;
    let reserved: TargetSlot | undefined;

    const releaseSlot = (slot: TargetSlot) => {
        if (slot !== current) {
            slot.release({ kind: "dropped" });
        }
    };

    return {
        reserve: async () => {
            if (isShuttingDown()) {
                return false;
            }
            searchAbort = new AbortController();
            const { signal } = searchAbort;
            const placement = placer.mayReuse(context, current) ? current : await placer.place(context, signal);
            if (placement.kind !== "placed") {
                return false;
            }
            if (signal.aborted || isShuttingDown() || !allowRetry(getRetryTerms(context, placement.expectedMs))) {
                releaseSlot(placement);
                return false;
            }
            reserved = placement;
            return true;
        },
        close: (isUsed) => {
            searchAbort?.abort(abortReason);
            if (reserved !== undefined && !isUsed) {
                releaseSlot(reserved);
            }
            return isUsed ? reserved : undefined;
        },
    };
}
