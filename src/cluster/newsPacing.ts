/**
 * Decides when the coordinator sends updates to all hosts.
 *
 * Each move of keys changes the state several times: when it begins, when it is recorded and when it ends. With many moves at
 * once an update for each change would be expensive, since every update costs work at each host, and at the coordinator for each
 * host. The start of a move is sent at once, because the previous owner rejects requests from then on; other changes are batched, the
 * longer the more hosts there are to send to, so that the coordinator has time left to read the store.
 */
import type { Signal } from "../model/signal.js";
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";

/** An update is sent at least this often, even if nothing has changed. */
const maxGapMs = 300;

/** Least time between two updates without an urgent change. */
const minGapMs = 40;

/** Share of the time that sending updates may take if none is urgent. */
const maxSendingShare = 0.2;

/** Dependencies of `paceNews`. */
export interface NewsPacingDependencies {
    clock: Clock;
    /** Fires on a change that must be sent at once. */
    urgent: Signal;
    /** Fire on changes that may be batched. */
    deferrable: readonly Signal[];
    /** Sends an update to all hosts. */
    send: () => void;
}

/** Sends updates until `signal` aborts. */
export async function paceNews({ clock, urgent, deferrable, send }: NewsPacingDependencies, signal: AbortSignal): Promise<void> {
    let isUrgent = false;
    const endListening = urgent.listen(() => {
        isUrgent = true;
    });
    try {
        while (!signal.aborted) {
            const sentAtMs = clock.now().monoMs;
            isUrgent = false;
            send();
            const gapMs = gapAfterMs(clock.now().monoMs - sentAtMs);
            await waitFor(clock, maxGapMs, [urgent, ...deferrable], signal);
            const leftMs = sentAtMs + gapMs - clock.now().monoMs;
            if (leftMs > 0 && !isUrgent) {
                await waitFor(clock, leftMs, [urgent], signal);
            }
        }
    }
    finally {
        endListening();
    }
}

/** Returns the least time from the beginning of an update that took `tookMs` to that of the next one. */
function gapAfterMs(tookMs: number): number {
    return Math.min(maxGapMs, Math.max(minGapMs, tookMs / maxSendingShare));
}
