/**
 * Reserves a slot for a retry while the current attempt still waits for its response.
 *
 * Load pattern: a target becomes slow or silent while the others are nearly full. If an attempt were given up before a slot for its
 * retry is reserved, and none became free, the client would get no response at all. So the attempt continues until there is a slot.
 */
import { abortReason } from "../model/signal.js";
import type { Job } from "./job.js";
import type { Placed, Placer } from "./placement.js";
import type { RepeatTerms } from "./retryPolicy.js";
import { canRepeat } from "./retryPolicy.js";

/** Dependencies of a retry reservation. */
export interface StandbyParts {
    placer: Placer;
    /** Returns the present conditions for a retry of the request. */
    termsOf: (job: Job, expectedMs: number) => RepeatTerms;
    /** Returns true once this host has begun to shut down. */
    isLeaving: () => boolean;
}

/** Reservation of a slot for the retry of one attempt. */
export interface Standby {
    /** Tries to reserve a slot; resolves to true if one is reserved and the retry is allowed. */
    secure(): Promise<boolean>;
    /**
     * Ends the search for a slot and returns an unused slot to the queue.
     * @param isUsed whether the attempt was given up for a retry in the reserved slot
     * @returns the reserved slot if it is used
     */
    close(isUsed: boolean): Placed | undefined;
}

/**
 * Creates the retry reservation of one attempt.
 * @param parts its dependencies
 * @param context the request
 * @param current the slot of the running attempt; it is used for the retry too if its target still owns the request's key
 */
export function createStandby({ placer, termsOf, isLeaving }: StandbyParts, job: Job, current: Placed): Standby {
    let search: AbortController | undefined;
    let found: Placed | undefined;

    const giveBack = (place: Placed) => {
        if (place !== current) {
            place.leave({ kind: "dropped" });
        }
    };

    return {
        secure: async () => {
            if (isLeaving()) {
                return false;
            }
            search = new AbortController();
            const { signal } = search;
            const place = placer.isOwner(job, current.target.targetId) ? current : await placer.place(job, signal);
            if (place.kind !== "placed") {
                return false;
            }
            if (signal.aborted || isLeaving() || !canRepeat(termsOf(job, place.expectedMs))) {
                giveBack(place);
                return false;
            }
            found = place;
            return true;
        },
        close: (isUsed) => {
            search?.abort(abortReason);
            if (found !== undefined && !isUsed) {
                giveBack(found);
            }
            return isUsed ? found : undefined;
        },
    };
}
