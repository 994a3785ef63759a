/** Ends of requests at their targets, as the hosts report them to the queues. */

/** How a request ended at its target. */
export type WorkEnd =
    /** The target answered after `tookMs`. */
    | { kind: "answered"; tookMs: number }
    /** The target refused the request without running it; `pauseMs` is the back-off that it asked of the sending host. */
    | { kind: "turned-away"; pauseMs?: number }
    /** No connection could be opened. */
    | { kind: "unreachable" }
    /** The request was sent, and its answer was cut off or never came. */
    | { kind: "lost" }
    /** The request had not been answered after `afterMs`. */
    | { kind: "late"; afterMs: number }
    /** The client disconnected or did not send its body completely, or the request was never sent. */
    | { kind: "dropped" };
