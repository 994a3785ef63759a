/** Port to the logs and metrics of this process. */

/** Parts of the programs; each has its own prefix in the logs. */
export type LogPrefix = "start" | "stop" | "cell" | "grant" | "term" | "move" | "config" | "snapshot" | "route" | "peer";

/** Writes short sentences with a prefix, and counts things. */
export interface Journal {
    info(prefix: LogPrefix, sentence: string): void;
    warn(prefix: LogPrefix, sentence: string): void;
    count(metric: string, by: number, tags?: Record<string, string>): void;
    /** @param durationMs a duration for a histogram */
    timing(metric: string, durationMs: number, tags?: Record<string, string>): void;
}
