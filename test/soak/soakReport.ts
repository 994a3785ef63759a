/** What a soak run records. */
import type { ClientAnswer } from "../fleet/fleet.js";

/** A request that was sent, with its answer. */
export interface SentRequest {
    id: string;
    isOrder: boolean;
    answer: ClientAnswer;
}

/** Record of a run. */
export interface SoakReport {
    startedMs: number;
    violations: string[];
    /** Injected faults, each with its time in seconds. */
    steps: string[];
    sent: SentRequest[];
}
