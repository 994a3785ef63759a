/** How long a target may still hold ranges that are not renewed there any more, or are renewed anew. */
import type { KeyRange } from "../model/names.js";
import { overlaps, withoutRange } from "./ranges.js";

interface PastHold {
    range: KeyRange;
    untilMs: number;
}

/** Past holds of one target. Times are monotonic milliseconds. */
export class PastHolds {
    private holds: PastHold[] = [];

    /**
     * Notes a hold.
     * @param range the range
     * @param untilMs when it certainly ends
     * @param nowMs now; what has ended by then is forgotten
     */
    add(range: KeyRange, untilMs: number, nowMs: number): void {
        this.holds = this.holds.filter((hold) => hold.untilMs > nowMs);
        if (untilMs > nowMs) {
            this.holds.push({ range, untilMs });
        }
    }

    /** Notes that the target has given a range up. */
    end(range: KeyRange): void {
        this.holds = this.holds.flatMap((hold) => withoutRange([hold.range], range).map((rest) => ({ ...hold, range: rest })));
    }

    /** When the last hold on any key of a range ends. */
    untilMs(range: KeyRange): number {
        return latestOf(this.holds.filter((hold) => overlaps(hold.range, range)));
    }

    /** When the last hold ends. */
    get lastMs(): number {
        return latestOf(this.holds);
    }
}

function latestOf(holds: readonly PastHold[]): number {
    return holds.reduce((latest, { untilMs }) => Math.max(latest, untilMs), Number.NEGATIVE_INFINITY);
}
