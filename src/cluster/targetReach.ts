/** Port to what is known of this host's own paths to targets. A host that can't reach them must not decide on their leases. */
import type { HostId } from "../model/names.js";
import type { Signal } from "../model/signal.js";

/** What a node needs to know of its host's paths to targets. */
export interface TargetReach {
    /** Fires when this host finds that it is cut off, or that it is no longer. */
    readonly changed: Signal;
    /** Tells whether this host is cut off from all targets, as far as it knows, while other hosts reach them. */
    isCutOff(): boolean;
    /** The host that said last that it reaches targets which this host can't reach. */
    lastHelper(): HostId | undefined;
}
