/** Time types. Functions that make decisions get the time as an argument and never read a clock themselves. */

/** One reading of both clocks of a process. */
export interface Instant {
    /** Monotonic clock, in milliseconds since an arbitrary start; used for leases and timeouts. */
    monoMs: number;
    /**
     * Wall clock, in milliseconds since the Unix epoch; used for the dates in configuration documents, and for the age of a
     * coordinator's authority, because the monotonic clock stops while the host is suspended.
     */
    wallMs: number;
}

/** Port to the clocks of the process. Loops read it and pass the reading on to the functions that make decisions. */
export interface Clock {
    now(): Instant;
    /**
     * Resolves after a given time.
     * @param durationMs time to wait; values below 0 count as 0
     * @param signal ends the wait early, without an error, when it aborts
     */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}
