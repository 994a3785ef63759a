/** What a coordinator believes of one shard's ownership. */
import type { Shard, TargetId } from "../model/ids.js";

/** How a shard came to its present server; reported to the log and the operators. */
export type PlacementCause = "unowned" | "lapsed" | "released" | "kept";

/** A change of a shard's server, or its confirmation where it was. */
export interface PlacementEvent {
    shard: Shard;
    from?: TargetId;
    to: TargetId;
    cause: PlacementCause;
}

/** A lease as a predecessor knew it when it stopped. */
export interface LeaseLeft {
    shard: Shard;
    owner: TargetId;
    leftMs: number;
}

/** One shard's owner, or the search for one. Times are the coordinator's monotonic clock. */
export interface Tenure {
    /** Undefined while the owner is being looked for. */
    owner?: TargetId;
    /** When the unbroken wait for this shard began; only used without an owner. */
    waitFromMs: number;
    /** When the owner's lease has certainly lapsed. */
    lapseMs: number;
    /** True once this coordinator renewed or granted the lease itself. */
    confirmed: boolean;
    /** True once the owner's answer showed the lease under this fence. */
    serving: boolean;
    /** True until the owner's answer shows the grant. */
    granting: boolean;
    /** True once the owner answered that it does not hold the lease any more; it is not renewed again. */
    lapsed: boolean;
    releasing: boolean;
    releaseSent: boolean;
    moveTo?: TargetId;
    moveFromMs?: number;
    lastOwner?: TargetId;
}

/**
 * Begins the search for an owner.
 * @param waitFromMs when the unbroken wait for nobody's lease began
 * @param lastOwner who owned the shard last, as far as is known
 * @returns a tenure without an owner
 */
export function soughtFrom(waitFromMs: number, lastOwner: TargetId | undefined): Tenure {
    return {
        waitFromMs, lastOwner,
        lapseMs: Number.NEGATIVE_INFINITY,
        confirmed: false, serving: false, granting: false, lapsed: false, releasing: false, releaseSent: false,
    };
}
