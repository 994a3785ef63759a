/** Records input that the listener denies, and limits that clients reach, in the log and in the metrics. */
import type { Denial } from "../entry/clientConnection.js";
import type { ReachedLimit } from "../entry/holdingEnforcement.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";

/** Creates a function that records one denial. */
export function createDenialRecorder(log: Log, metrics: Metrics): (denial: Denial) => void {
    return ({ connection, ...denial }) => {
        metrics.refusals.inc({ status: denial.status, reason: denial.reason });
        log.warn("input denied", { ...denial, ...connection });
    };
}

/** Creates a function that records one limit that a client has reached. */
export function createLimitRecorder(log: Log, metrics: Metrics): (reached: ReachedLimit) => void {
    return ({ connection, ...reached }) => {
        metrics.clientLimits.inc({ limit: reached.limit });
        log.warn("limit reached", { ...reached, ...connection });
    };
}
