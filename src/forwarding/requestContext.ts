/** The state of a request that is being forwarded. */
import type { RequestFingerprints } from "../crashes/requestFingerprint.js";
import type { ClientCall } from "../entry/clientCall.js";
import type { TargetId } from "../model/names.js";
import type { Route, ServiceConfig } from "../model/routing.js";
import type { TargetConnection } from "./targetConnection.js";

/** A client request with its route, its deadlines and its attempts so far. Times are monotonic milliseconds. */
export interface RequestContext {
    call: ClientCall;
    route: Route;
    service: ServiceConfig;
    /** The complete body, or undefined if it is streamed. */
    body: Buffer | undefined;
    /** Computes the request's fingerprints when it is first called. */
    getFingerprints: () => RequestFingerprints;
    /** Latest time at which a response has its full value. */
    softDeadlineMs: number;
    /** Latest time at which a response is of any use. */
    deadlineMs: number;
    /** Number of attempts started so far. */
    attemptCount: number;
    /** Targets of these attempts. */
    triedTargetIds: Set<TargetId>;
    /** Connection of the latest attempt; undefined until it has one. */
    lastConnection: TargetConnection | undefined;
    /** True if the request may have run in any of these attempts. */
    mayHaveRun: boolean;
    /** Expected duration of the current attempt or, between attempts, of the next one. */
    expectedMs: number;
}
