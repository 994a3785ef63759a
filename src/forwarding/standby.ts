/**
 * Finds a place for the next attempt of a request while the one before it still waits for its answer.
 *
 * Load pattern: a target that has become slow or silent while the others are nearly full. An attempt that is given up before
 * its repeat has a slot leaves the client with nothing if none is free; so it runs on until there is one.
 */
import { abortReason } from "../model/signal.js";
import type { Job } from "./job.js";
import type { Placed, Placer } from "./placement.js";
import type { RepeatTerms } from "./retryPolicy.js";
import { canRepeat } from "./retryPolicy.js";

/** What a standby works with. */
export interface StandbyParts {
    placer: Placer;
    /** What decides whether the request may be sent again, now. */
    termsOf: (job: Job, expectedMs: number) => RepeatTerms;
    /** True once this host is going to stop. */
    isLeaving: () => boolean;
}

/** The next attempt's place. */
export interface Standby {
    /** Looks for a place; true once there is one. */
    secure(): Promise<boolean>;
    /**
     * Ends the search.
     * @param isUsed whether the attempt was given up for the place
     * @returns the place if it is used; otherwise its slot is given back
     */
    close(isUsed: boolean): Placed | undefined;
}

/**
 * Creates the standby of one attempt.
 * @param parts what it works with
 * @param job the request
 * @param current the place of the attempt that runs; the owner of a key is asked again in the same slot
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
