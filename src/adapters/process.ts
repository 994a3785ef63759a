/** What every daemon does at its start and end. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";

const forcedExitCode = 3;

/**
 * Gives the settings, or ends the process with one line that says what is wrong.
 * @param settings result of reading them
 * @returns the settings
 */
export function settingsOrExit<T>(settings: Result<T, Failure>): T {
    if (settings.isErr()) {
        process.stderr.write(`${settings.error.message}\n`);
        process.exit(2);
    }
    return settings.value;
}

/**
 * Ends the process on SIGTERM or SIGINT, after what is in flight.
 * @param finish ends the work
 * @param timeoutMs after this time the process ends anyway
 */
export function stopOnSignal(finish: () => Promise<void>, timeoutMs: number): void {
    let stopping = false;
    const stop = () => {
        if (stopping) {
            return;
        }
        stopping = true;
        setTimeout(() => process.exit(forcedExitCode), timeoutMs).unref();
        void finish().then(() => process.exit(0));
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}
