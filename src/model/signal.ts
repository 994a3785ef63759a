/**
 * Waiting for changes, timeouts and aborts. Every wait removes its listeners when it ends, so that sources which live as long as
 * the process do not accumulate them.
 */
import type { Clock } from "./time.js";

/** Abort reason for aborts whose reason is never read. Without a reason the runtime creates an exception with a stack trace each time. */
export const abortReason = "aborted";

/** An event without payload that notifies listeners of a change. */
export class Signal {
    private readonly listeners = new Set<() => void>();

    /**
     * Adds a listener.
     * @param listener called on every change
     * @returns a function that removes the listener
     */
    listen(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Calls every listener. */
    fire(): void {
        for (const listener of [...this.listeners]) {
            listener();
        }
    }
}

/**
 * Waits until a signal fires, at most for a given time.
 * @param clock clock of this process
 * @param durationMs maximum time to wait
 * @param signals any of them ends the wait when it fires
 * @param abort ends the wait early, without an error
 */
export async function waitFor(clock: Clock, durationMs: number, signals: readonly Signal[], abort?: AbortSignal): Promise<void> {
    const controller = new AbortController();
    const wakeUp = () => {
        controller.abort(abortReason);
    };
    const unsubscribers = signals.map((signal) => signal.listen(wakeUp));
    if (abort?.aborted === true) {
        wakeUp();
    }
    abort?.addEventListener("abort", wakeUp, { once: true });
    await clock.sleep(durationMs, controller.signal);
    abort?.removeEventListener("abort", wakeUp);
    unsubscribers.forEach((unsubscribe) => {
        unsubscribe();
    });
}

/** An abort signal that aborts together with others, see `linkAborts`. */
export interface LinkedAbort {
    readonly signal: AbortSignal;
    /** Aborts this signal; the sources are not affected. */
    abort(): void;
    /** Removes the listeners from the sources; must be called when the signal is no longer needed. */
    release(): void;
}

/**
 * Creates a signal that aborts when any of the sources does. Unlike a signal of `AbortSignal.any` it can be released, after which
 * nothing remains registered at sources that live as long as the process.
 * @param sources signals to link to
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
