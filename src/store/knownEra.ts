/** The latest era of the store that a host knows. */
import type { Era, Offset } from "../model/names.js";
import { eraOf } from "../model/storePosition.js";

/** The latest era, from the store's answers and from positions that other hosts stated. It never goes back. */
export class KnownEra {
    private era = 0 as Era;

    /** The latest era. */
    get latest(): Era {
        return this.era;
    }

    /** Tells whether the store no longer has a position, because it came back from an older copy after the position was stated. */
    isOutdated(position: Offset): boolean {
        return !this.accept(eraOf(position));
    }

    /**
     * Takes note of an era.
     * @param era era of an answer
     * @returns false if a later one is known, so that the answer is an old one
     */
    accept(era: Era): boolean {
        this.era = Math.max(this.era, era) as Era;
        return era === this.era;
    }
}
