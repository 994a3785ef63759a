/** Clock port backed by the clocks of this process. */
import type { Clock } from "../model/time.js";

/**
 * Creates the clock.
 * @returns a clock whose `sleep` resolves early, without an error, when its signal aborts
 */
export function createSystemClock(): Clock {
    return {
        now: () => ({ monoMs: performance.now(), wallMs: Date.now() }),
        sleep: (durationMs, signal) => new Promise((resolve) => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, Math.max(0, durationMs));
            signal?.addEventListener("abort", finish, { once: true });
        }),
    };
}
