/** A request with all that was decided about it so far. */
import type { ClientCall } from "../entry/clientCall.js";
import type { TargetId } from "../model/names.js";
import type { Route, ServiceConfig } from "../model/routing.js";

/** A request on its way. Times are monotonic milliseconds. */
export interface Job {
    call: ClientCall;
    route: Route;
    service: ServiceConfig;
    /** The whole body, or undefined when it is streamed. */
    body: Buffer | undefined;
    /** Last moment at which the answer has its full value. */
    targetMs: number;
    /** Last moment at which an answer is of any use. */
    deadlineMs: number;
    /** Times that it was sent. */
    sends: number;
    /** Targets that it was sent to. */
    tried: Set<TargetId>;
    /** Time that the next attempt is expected to take. */
    expectedMs: number;
}
