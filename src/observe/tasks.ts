/** Runs tasks that have no end of their own, and decides what follows when one ends all the same. */
import type { Clock } from "../model/time.js";
import type { Log } from "./log.js";

/** Delay before a task that has ended is started again. */
const restartDelayMs = 500;

/** A task that runs until its signal aborts. */
export interface Task {
    /** Names the task in logs. */
    name: string;
    run: (signal: AbortSignal) => Promise<void>;
    /**
     * True if the others are of no use without it, so that it must not end before its signal aborts; false if it is started again
     * after an error, for which it must keep no state that an error may leave wrong.
     */
    isEssential: boolean;
}

/** An essential task that ended although its signal had not aborted. */
export interface EndedTask {
    name: string;
    why: string;
}

/**
 * Runs tasks until `signal` aborts. Each unexpected end leaves a line in the log.
 * @param tasks the tasks
 * @param clock clock of this process
 * @param log gets the lines
 * @param signal stops the tasks
 * @returns resolves to the first essential task that ends unexpectedly while the others run on, or to undefined once all have stopped;
 * never rejects
 */
export async function runTasks(tasks: readonly Task[], clock: Clock, log: Log, signal: AbortSignal): Promise<EndedTask | undefined> {
    return new Promise((resolve) => {
        const runs = tasks.map(async (task) => {
            const ended = await runTask(task, clock, log, signal);
            if (ended !== undefined) {
                resolve(ended);
            }
        });
        void Promise.all(runs).then(() => {
            resolve(undefined);
        });
    });
}

/**
 * Runs tasks until `signal` aborts; each is started again after an error, which leaves a line in the log.
 * @param runs the tasks by name
 * @param clock clock of this process
 * @param log gets the lines
 * @param signal stops the tasks
 * @returns resolves once all have ended; never rejects
 */
export async function runRestartedTasks(
    runs: Readonly<Record<string, Task["run"]>>, clock: Clock, log: Log, signal: AbortSignal,
): Promise<void> {
    await runTasks(Object.entries(runs).map(([name, run]) => ({ name, run, isEssential: false })), clock, log, signal);
}

async function runTask({ name, run, isEssential }: Task, clock: Clock, log: Log, signal: AbortSignal): Promise<EndedTask | undefined> {
    while (!signal.aborted) {
        const error = await run(signal).then(() => undefined, describeError);
        if (error === undefined && (signal.aborted || !isEssential)) {
            return undefined;
        }
        const why = error ?? "it returned";
        log.error("task ended unexpectedly", { task: name, outcome: isEssential ? "not continued" : "started again", why });
        if (isEssential) {
            return { name, why };
        }
        await clock.sleep(restartDelayMs, signal);
    }
    return undefined;
}

function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}
