/** Runs a host as this process: signals, unexpected errors, and the exit code. */
import type { Result } from "neverthrow";
import type { DependencyContainer } from "tsyringe";
import type { Failure } from "../model/failure.js";
import { startDaemon } from "./daemon.js";
import { tokens } from "./tokens.js";

/** Exit codes of the daemon. */
export const exitCodes = {
    /** Stopped in order. */
    stopped: 0,
    /** The start or the shutdown failed with an unexpected error. */
    unexpectedError: 1,
    invalidSettings: 2,
    /** An address to listen at cannot be used. */
    cannotListen: 3,
    /** A task without which the host is of no use ended unexpectedly; the host was then stopped in order. */
    taskEnded: 4,
} as const;

/** Limit on the time for writing the last log lines, since the reader of standard output may have stopped. */
const lastLinesTimeoutMs = 400;

/**
 * Starts the host and runs it until it is told to stop, or cannot go on. Ends this process.
 * @param hostContainer container with the components of the host
 * @param readSettings reads the settings file again, to check it
 */
export async function runHostProcess(hostContainer: DependencyContainer, readSettings: () => Result<unknown, Failure>): Promise<void> {
    const clock = hostContainer.resolve(tokens.clock);
    const log = hostContainer.resolve(tokens.logFactory)("host");
    let isStopping = false;

    const exit = async (code: number) => {
        const flushed = hostContainer.resolve(tokens.logWriter).flush().then(() => true);
        if (!await Promise.race([flushed, clock.sleep(lastLinesTimeoutMs).then(() => false)])) {
            // `process.exit` waits for the thread that writes the lines, which may be blocked for good.
            process.kill(process.pid, "SIGKILL");
        }
        process.exit(code);
    };

    const stop = async (daemon: { stop(): Promise<void> }, exitCode: number) => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        try {
            await daemon.stop();
        }
        catch (error) {
            log.error("shutdown failed", { why: describeError(error) });
            await exit(exitCode === exitCodes.stopped ? exitCodes.unexpectedError : exitCode);
        }
        await exit(exitCode);
    };

    process.on("uncaughtException", (error) => {
        log.error("uncaught exception", { why: error.stack });
    });
    process.on("unhandledRejection", (error) => {
        log.error("unhandled rejection", { why: describeError(error) });
    });
    process.on("SIGHUP", () => {
        const settings = readSettings();
        log.info("SIGHUP received", settings.isOk() ? { settings: "read" } : { why: settings.error.message });
    });
    try {
        const started = await startDaemon(hostContainer);
        if (started.isErr()) {
            await exit(exitCodes.cannotListen);
            return;
        }
        const daemon = started.value;
        process.on("SIGTERM", () => {
            void stop(daemon, exitCodes.stopped);
        });
        void daemon.taskEnded.then(() => stop(daemon, exitCodes.taskEnded));
    }
    catch (error) {
        log.error("start failed", { why: describeError(error) });
        await exit(exitCodes.unexpectedError);
    }
}

function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}
