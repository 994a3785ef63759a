/** Leases of a target that may still be in force although they are not renewed any more, or have been replaced by new leases. */
import type { KeyRange } from "../model/names.js";
import { overlaps, withoutRange } from "./ranges.js";

interface ExpiringLease {
    range: KeyRange;
    untilMs: number;
}

/** Unrenewed leases of one target. Times are monotonic milliseconds. */
export class ExpiringLeases {
    private leases: ExpiringLease[] = [];

    /**
     * Adds a lease and drops those that have expired.
     * @param range range of the lease
     * @param untilMs time after which it has certainly expired
     * @param nowMs current time
     */
    add(range: KeyRange, untilMs: number, nowMs: number): void {
        this.leases = this.leases.filter((lease) => lease.untilMs > nowMs);
        if (untilMs > nowMs) {
            this.leases.push({ range, untilMs });
        }
    }

    /** Removes a range that the target has released. */
    remove(range: KeyRange): void {
        this.leases = this.leases.flatMap((lease) => withoutRange([lease.range], range).map((rest) => ({ ...lease, range: rest })));
    }

    /** Returns the time after which no lease on any key of a range is in force. */
    latestExpiryMs(range: KeyRange): number {
        return latestOf(this.leases.filter((lease) => overlaps(lease.range, range)));
    }

    /** Time after which none of the leases is in force. */
    get lastExpiryMs(): number {
        return latestOf(this.leases);
    }
}

function latestOf(leases: readonly ExpiringLease[]): number {
    return leases.reduce((latest, { untilMs }) => Math.max(latest, untilMs), Number.NEGATIVE_INFINITY);
}
