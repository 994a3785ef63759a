/** Port for recording the outcome of requests in log lines and metrics. */
import type { ClientCall, Refusal } from "../entry/clientCall.js";
import type { AttemptEnd } from "../forwarding/attemptEnds.js";
import type { RateLimitChange } from "../forwarding/statedRateLimits.js";
import type { TargetId } from "../model/names.js";
import type { Route } from "../model/routing.js";

/** How often a request was sent, and what its service's retry budget has left at this host. */
export interface RetryCounts {
    attemptCount: number;
    retriesLeft: number;
    /** Connection of the attempt before; undefined if none was opened. */
    connection: ConnectionUse | undefined;
}

/** Which connection to a target an attempt used. */
export interface ConnectionUse {
    /** Port of this host's end. */
    localPort: number | undefined;
    /** Number of requests sent on it so far. */
    requestCount: number;
}

/** Records what happens to requests. */
export interface RequestLog {
    /** A complete response of a target is sent, or has been streamed, to the client; `targetTookMs` is the time that the target took. */
    answered(call: ClientCall, route: Route, triedTargetIds: ReadonlySet<TargetId>, status: number, targetTookMs: number): void;
    /** This host answers with an error of its own; `refusal` has the reason. */
    refused(call: ClientCall, refusal: Refusal, route: Route | undefined, triedTargetIds: ReadonlySet<TargetId> | undefined): void;
    /** The attempt at `targetId` ended with `end`, and the request is to be sent again if it gets another slot. */
    retried(call: ClientCall, route: Route, targetId: TargetId, end: AttemptEnd, counts: RetryCounts): void;
    /** An attempt at a target has ended. */
    attemptEnded(targetId: TargetId, end: AttemptEnd): void;
    /** This host is cut off from a target at which `call` waits for its response; `isEnded` tells whether the attempt ends with that. */
    pathLost(call: ClientCall, targetId: TargetId, isEnded: boolean): void;
    /** The response of a target to `call` proves neither that the request ran nor that it didn't. */
    responseUnproven(call: ClientCall, targetId: TargetId, status: number): void;
    /** While `call` waited for its response, the target sent `count` responses that belong to other requests. */
    responsesSkipped(call: ClientCall, targetId: TargetId, count: number): void;
    /** A response broke off after a part of it had been sent to the client; `why` says how. */
    brokenOff(call: ClientCall, route: Route, triedTargetIds: ReadonlySet<TargetId>, why: string): void;
    /** The client disconnected. */
    clientLeft(call: ClientCall, route: Route, triedTargetIds: ReadonlySet<TargetId>): void;
    /** A target announced in a response that it is about to stop. */
    targetLeaving(targetId: TargetId): void;
    /** A target asked this host in a response to send it no requests for `pauseMs`. */
    targetPauseRequested(targetId: TargetId, pauseMs: number): void;
    /** A response changed what this host knows of its target's rate limit, or stated one that cannot be read. */
    targetRateLimitChanged(targetId: TargetId, change: RateLimitChange): void;
    /** A target's load report is not valid. */
    targetLoadUnreadable?(targetId: TargetId): void;
    /** A target answered after `tookMs`; `expectedMs` was predicted when its slot was granted. */
    workTimePredicted?(expectedMs: number, tookMs: number): void;
}
