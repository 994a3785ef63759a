/** Non-blocking writer of log lines: lines that standard output does not accept fast enough are dropped and counted. */
import { write } from "node:fs";

const standardOutput = 1;
/** Delay before waiting lines are written, and before a write is retried when standard output is full. */
const writeDelayMs = 50;

/** Limit on the lines that wait to be written. */
const maxWaitingBytes = 1_048_576;

/** Writes log lines in the background. */
export interface LogWriter {
    write(line: string): void;
    /** Writes the waiting lines; resolves when they are written or writing has failed. */
    flush(): Promise<void>;
    /** Number of lines dropped so far. */
    readonly dropped: number;
}

/**
 * Creates the writer.
 * @param fileDescriptor file descriptor to write to; standard output by default
 */
export function createLogWriter(fileDescriptor = standardOutput): LogWriter {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let dropped = 0;
    let timer: NodeJS.Timeout | undefined;
    let writing: Promise<void> | undefined;

    const writeWaitingLines = async () => {
        while (waiting.length > 0) {
            const bytes = Buffer.from(waiting.join(""));
            waiting = [];
            waitingBytes = 0;
            await writeAll(fileDescriptor, bytes);
        }
        writing = undefined;
    };

    const startWriting = (): Promise<void> => {
        clearTimeout(timer);
        timer = undefined;
        writing ??= writeWaitingLines();
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
            timer ??= writing === undefined ? setTimeout(() => void startWriting(), writeDelayMs) : undefined;
        },
        flush: startWriting,
        get dropped() {
            return dropped;
        },
    };
}

/** Writes on a thread of the runtime's pool, so that a full pipe blocks only that thread. Gives up, without an error, if a write fails. */
function writeAll(fileDescriptor: number, bytes: Buffer): Promise<void> {
    return new Promise((resolve) => {
        const writeFrom = (offset: number) => {
            write(fileDescriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
                if (error?.code === "EAGAIN") {
                    setTimeout(writeFrom, writeDelayMs, offset);
                }
                else if (error || offset + written >= bytes.length) {
                    resolve();
                }
                else {
                    writeFrom(offset + written);
                }
            });
        };
        writeFrom(0);
    });
}
