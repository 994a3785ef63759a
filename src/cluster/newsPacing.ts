/**
 * Decides when the coordinator tells all hosts what has changed.
 *
 * Load pattern: many moves of keys at once. Each begins, is recorded and ends, and every news costs every host some work, and the
 * coordinator some for every host. Hosts must hear at once that a move begins, since its old owner turns their requests away from
 * then on; the rest goes out together.
 */
import type { Signal } from "../model/signal.js";
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";

/** Hosts hear something this often though nothing has changed. */
const periodMs = 300;

/** What need not be known at once is told at most this often. */
const gapMs = 40;

/** What the pacing works with. */
export interface NewsPacingParts {
    clock: Clock;
    /** Fires when something has changed that hosts must know at once. */
    urgent: Signal;
    /** Fire when something has changed that they should know soon. */
    soon: readonly Signal[];
    /** Tells all hosts what there is to tell. */
    tell: () => void;
}

/**
 * Tells hosts until stopped.
 * @param parts what the pacing works with
 * @param signal ends it
 */
export async function paceNews({ clock, urgent, soon, tell }: NewsPacingParts, signal: AbortSignal): Promise<void> {
    let isUrgent = false;
    const endListening = urgent.listen(() => {
        isUrgent = true;
    });
    while (!signal.aborted) {
        const toldMs = clock.now().monoMs;
        isUrgent = false;
        tell();
        await waitFor(clock, periodMs, [urgent, ...soon], signal);
        const leftMs = toldMs + gapMs - clock.now().monoMs;
        if (leftMs > 0 && !isUrgent) {
            await waitFor(clock, leftMs, [urgent], signal);
        }
    }
    endListening();
}
