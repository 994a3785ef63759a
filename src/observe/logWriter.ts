/** Writes log lines without ever blocking: lines that standard output does not take in time are dropped and counted. */
import { write } from "node:fs";

const standardOutput = 1;
const flushMs = 50;

/** Bytes that may wait for standard output. */
const maxWaitingBytes = 1_048_576;

/** Takes lines. */
export interface LogWriter {
    write(line: string): void;
    /** Writes what waits; resolves when it is out or lost. */
    flush(): Promise<void>;
    /** Lines dropped so far. */
    readonly dropped: number;
}

/**
 * Creates the writer.
 * @param file descriptor to write to
 */
export function createLogWriter(file = standardOutput): LogWriter {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let dropped = 0;
    let timer: NodeJS.Timeout | undefined;
    let writing: Promise<void> | undefined;

    const writeOut = async () => {
        while (waiting.length > 0) {
            const bytes = Buffer.from(waiting.join(""));
            waiting = [];
            waitingBytes = 0;
            await writeAll(file, bytes);
        }
        writing = undefined;
    };

    const start = (): Promise<void> => {
        clearTimeout(timer);
        timer = undefined;
        writing ??= writeOut();
        return writing;
    };

    return {
        write: (line) => {
            if (waitingBytes + line.length > maxWaitingBytes) {
                dropped += 1;
                return;
            }
            waiting.push(line);
            waitingBytes += line.length;
            timer ??= writing === undefined ? setTimeout(() => void start(), flushMs) : undefined;
        },
        flush: start,
        get dropped() {
            return dropped;
        },
    };
}

/** Writes on a thread of the runtime, so that a full pipe holds up that thread only. */
function writeAll(file: number, bytes: Buffer): Promise<void> {
    return new Promise((resolve) => {
        const next = (from: number) => {
            write(file, bytes, from, bytes.length - from, undefined, (error, written) => {
                if (error?.code === "EAGAIN") {
                    setTimeout(next, flushMs, from);
                }
                else if (error || from + written >= bytes.length) {
                    resolve();
                }
                else {
                    next(from + written);
                }
            });
        };
        next(0);
    });
}
