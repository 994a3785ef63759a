/** What the admission queues report about targets, for the planner. */
import type { TargetId } from "../model/names.js";

/** Load of a target as its queue observes it. Sent to the coordinator under these field names. */
export interface TargetPressure {
    targetId: TargetId;
    slowness: number;
    running: number;
    waiting: number;
    /** Rate limit that the target stated; absent if it has none. */
    requestsPerSecond?: number;
}
