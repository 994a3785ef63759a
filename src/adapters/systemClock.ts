/** The clocks of this process. */
import type { Clock } from "../model/time.js";

/**
 * Creates the port to the real clocks.
 * @returns a clock whose sleeps end early, without an error, when their signal aborts
 */
export function createSystemClock(): Clock {
    return {
        now: () => ({ monoMs: performance.now(), wallMs: Date.now() }),
        sleep: (durationMs, signal) => new Promise((resolve) => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const end = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", end);
                resolve();
            };
            const timer = setTimeout(end, Math.max(0, durationMs));
            signal?.addEventListener("abort", end, { once: true });
        }),
    };
}
