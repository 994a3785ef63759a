/** Time as the deciding functions see it: always an argument, never read from a clock. */

/** One reading of both clocks of a process. */
export interface Instant {
    /** Monotonic clock, in milliseconds since an arbitrary start; measures leases and timeouts. */
    monoMs: number;
    /** Wall clock, in milliseconds since the Unix epoch; compared with the time inside order ids. */
    wallMs: number;
}

/** Port to the clocks of the process; loops read it and pass the reading on. */
export interface Clock {
    now(): Instant;
    /**
     * Waits.
     * @param durationMs how long
     * @param signal ends the wait early, without an error
     */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}
