/** Leases of one target: those that are renewed, and those that may still be in force although they are not renewed any more. */
import type { FencingToken, KeyRange } from "../model/names.js";
import { ExpiringLeases } from "./expiringLeases.js";
import type { FenceCounter } from "./fences.js";
import type { LeaseSession } from "./leasePort.js";
import { contains, isSameRange, withoutRange } from "./ranges.js";

/** A lease that is renewed. Times are monotonic milliseconds. */
export interface Lease {
    range: KeyRange;
    fence: FencingToken;
    /** Connection on which the fencing token was first sent; another connection may lead to another process. */
    session: LeaseSession | undefined;
    handover: string | undefined;
    dueMs: number;
    /** After this time the target certainly does not hold the range through this lease. */
    heldUntilMs: number;
}

/** A range with the handover token that its last holder returned for the next one. */
export interface RangeHandover {
    range: KeyRange;
    handover: string | undefined;
}

/** The leases of one target. */
export class LeaseTable {
    private leases: Lease[] = [];
    /** A new lease on any of their keys counts as held until they expire. */
    private readonly expiring = new ExpiringLeases();

    /** @param fences source of the fencing tokens of new leases */
    constructor(private readonly fences: FenceCounter) {}

    /** Number of leases that are renewed. */
    get count(): number {
        return this.leases.length;
    }

    /** Ranges whose leases are renewed. */
    get ranges(): KeyRange[] {
        return this.leases.map(({ range }) => range);
    }

    /** Time after which none of the leases is in force. */
    get lastExpiryMs(): number {
        return Math.max(this.expiring.lastExpiryMs, ...this.leases.map(({ heldUntilMs }) => heldUntilMs));
    }

    /** Returns the earliest time at which a lease is due, or `latestMs` if that is earlier. */
    nextDueMs(latestMs: number): number {
        return Math.min(latestMs, ...this.leases.map(({ dueMs }) => dueMs));
    }

    /** Lists the renewed leases in the order in which they are due. */
    byDueTime(): Lease[] {
        return [...this.leases].sort((left, right) => left.dueMs - right.dueMs);
    }

    /** Tells whether a lease is still renewed. */
    includes(lease: Lease): boolean {
        return this.leases.includes(lease);
    }

    /**
     * Sets the ranges whose leases are renewed.
     * @param ranges the ranges; leases on other ranges are not renewed any more
     * @param handovers handover tokens for ranges that are new here
     * @param nowMs current time
     */
    setRanges(ranges: readonly KeyRange[], handovers: readonly RangeHandover[], nowMs: number): void {
        const kept = this.leases.filter((lease) => ranges.some((range) => isSameRange(range, lease.range)));
        this.leases.filter((lease) => !kept.includes(lease)).forEach((lease) => {
            this.expiring.add(lease.range, lease.heldUntilMs, nowMs);
        });
        const added = ranges.filter((range) => !kept.some((lease) => isSameRange(range, lease.range)));
        this.leases = [...kept, ...added.map((range) => this.newLease(range, handoverFor(range, handovers), nowMs))];
    }

    /** Ends the renewal of a range; the rest of a lease that contains it is renewed under new fencing tokens. */
    stopRenewing(range: KeyRange, nowMs: number): void {
        this.leases = this.leases.flatMap((lease) => {
            if (!contains(lease.range, range)) {
                return [lease];
            }
            this.expiring.add(lease.range, lease.heldUntilMs, nowMs);
            return withoutRange([lease.range], range).map((rest) => this.newLease(rest, undefined, nowMs));
        });
    }

    /** Records a lease that is not renewed and certainly expires at `untilMs`. */
    addExpiring(range: KeyRange, untilMs: number, nowMs: number): void {
        this.expiring.add(range, untilMs, nowMs);
    }

    /** Records that the target has released a range. */
    recordRelease(range: KeyRange): void {
        this.expiring.remove(range);
    }

    /** Returns the time after which no lease on a range that is not renewed any more is in force. */
    latestExpiryMs(range: KeyRange): number {
        return this.expiring.latestExpiryMs(range);
    }

    private newLease(range: KeyRange, handover: string | undefined, nowMs: number): Lease {
        return {
            range, handover, fence: this.fences.next(), session: undefined, dueMs: nowMs, heldUntilMs: this.expiring.latestExpiryMs(range),
        };
    }
}

function handoverFor(range: KeyRange, handovers: readonly RangeHandover[]): string | undefined {
    return handovers.find((given) => contains(range, given.range))?.handover;
}
