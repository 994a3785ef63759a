/** Port to the structured log. */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The log of one part of the program; every line carries the part's prefix. */
export interface Log {
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
}

/** Creates the log of a part. */
export type LogFactory = (part: string) => Log;
