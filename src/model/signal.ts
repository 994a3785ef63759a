/** Waiting for changes, times and aborts. Nothing stays behind when a wait ends, however long its sources live. */
import type { Clock } from "./time.js";

/** Reason of aborts that nobody reads the reason of; without one the runtime creates an exception with its stack each time. */
export const abortReason = "aborted";

/** Tells listeners that something has changed. */
export class Signal {
    private readonly listeners = new Set<() => void>();

    /**
     * Calls a function at every change.
     * @param listener the function
     * @returns ends it
     */
    listen(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Tells every listener. */
    fire(): void {
        for (const listener of [...this.listeners]) {
            listener();
        }
    }
}

/**
 * Waits until a time has passed, something has changed, or an abort.
 * @param clock clocks of this process
 * @param durationMs how long at most
 * @param signals changes that end the wait
 * @param abort ends the wait too
 */
export async function waitFor(clock: Clock, durationMs: number, signals: readonly Signal[], abort?: AbortSignal): Promise<void> {
    const wake = new AbortController();
    const end = () => {
        wake.abort(abortReason);
    };
    const endings = signals.map((signal) => signal.listen(end));
    const linked = abort === undefined ? undefined : linkAborts(abort, wake.signal);
    await clock.sleep(durationMs, linked?.signal ?? wake.signal);
    linked?.release();
    endings.forEach((ending) => {
        ending();
    });
}

/** An abort signal that follows others. */
export interface LinkedAbort {
    readonly signal: AbortSignal;
    /** Aborts by itself. */
    abort(): void;
    /** Stops following; must be called when the signal is of no more use. */
    release(): void;
}

/**
 * Creates a signal that aborts when any of some others does. Unlike `AbortSignal.any` it leaves nothing behind at sources that
 * live as long as the process.
 * @param sources the others
 */
export function linkAborts(...sources: readonly AbortSignal[]): LinkedAbort {
    const controller = new AbortController();
    const onAbort = () => {
        controller.abort(abortReason);
    };
    for (const source of sources) {
        if (source.aborted) {
            onAbort();
        }
        source.addEventListener("abort", onAbort, { once: true });
    }
    return {
        signal: controller.signal,
        abort: onAbort,
        release: () => {
            for (const source of sources) {
                source.removeEventListener("abort", onAbort);
            }
        },
    };
}
