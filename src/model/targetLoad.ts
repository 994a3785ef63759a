/** Load that a target reports about itself in its responses. */

/** Numbers of requests and slots, and how long work takes on the target's machine at present. */
export interface TargetLoad {
    running: number;
    waiting: number;
    slots: number;
    /** Duration of work at present, in percent of the usual one; undefined if the target does not state it. */
    percent?: number;
}

/** What a response states about the load of its target. */
export type LoadNotice =
    | ({ kind: "stated" } & TargetLoad)
    /** The statement is not valid and is ignored. */
    | { kind: "unreadable"; text: string };

/** A load report as the sending host passes it on. */
export interface AgedTargetLoad extends TargetLoad {
    /** Time since the report was received. */
    ageMs: number;
}

/** Limits of what a valid report may state. */
export const maxReportedRequests = 100_000;
export const maxReportedPercent = 100_000;
