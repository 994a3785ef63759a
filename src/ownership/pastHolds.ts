/** Leases of a target that may still be in force although they are not renewed any more, or have been replaced by new leases. */
import type { KeyRange } from "../model/names.js";
import { overlaps, withoutRange } from "./ranges.js";

interface PastHold {
    range: KeyRange;
    untilMs: number;
}

/** Unrenewed leases of one target. Times are monotonic milliseconds. */
export class PastHolds {
    private holds: PastHold[] = [];

    /**
     * Adds a lease and drops those that have expired.
     * @param range range of the lease
     * @param untilMs time after which it has certainly expired
     * @param nowMs current time
     */
    add(range: KeyRange, untilMs: number, nowMs: number): void {
        this.holds = this.holds.filter((hold) => hold.untilMs > nowMs);
        if (untilMs > nowMs) {
            this.holds.push({ range, untilMs });
        }
    }

    /** Removes a range that the target has released. */
    end(range: KeyRange): void {
        this.holds = this.holds.flatMap((hold) => withoutRange([hold.range], range).map((rest) => ({ ...hold, range: rest })));
    }

    /** Returns the time after which no lease on any key of a range is in force. */
    untilMs(range: KeyRange): number {
        return latestOf(this.holds.filter((hold) => overlaps(hold.range, range)));
    }

    /** Time after which none of the leases is in force. */
    get lastMs(): number {
        return latestOf(this.holds);
    }
}

function latestOf(holds: readonly PastHold[]): number {
    return holds.reduce((latest, { untilMs }) => Math.max(latest, untilMs), Number.NEGATIVE_INFINITY);
}
