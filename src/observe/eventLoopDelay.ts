/** Watches how long the event loop keeps a due timer waiting, since nothing else of this host goes on meanwhile. */
import type { Clock } from "../model/time.js";
import type { Log } from "./log.js";

/** Period of the timer that is watched. */
const periodMs = 500;

/** A longer delay leaves a line in the log. */
const loggedDelayMs = 250;

/** Dependencies of `watchEventLoopDelay`. */
export interface EventLoopDelayDependencies {
    clock: Clock;
    log: Log;
    /** Called with each delay, for metrics. */
    onDelay: (delayMs: number) => void;
}

/** Watches the event loop until `signal` aborts. */
export async function watchEventLoopDelay({ clock, log, onDelay }: EventLoopDelayDependencies, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        const dueMs = clock.now().monoMs + periodMs;
        await clock.sleep(periodMs, signal);
        const delayMs = Math.max(0, Math.round(clock.now().monoMs - dueMs));
        onDelay(delayMs);
        if (delayMs > loggedDelayMs) {
            log.warn("event loop delayed", { delayMs });
        }
    }
}
