/** What an attempt is made from, and how far it has got. */
import type { ClientCall } from "../entry/clientCall.js";
import type { TargetEntry } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { ConnectionPool } from "./connectionPool.js";
import type { TargetDialect, TargetNotice } from "./dialect.js";
import type { GiveUpPolicy } from "./interrupt.js";
import type { TargetPaths } from "./pathWatch.js";
import type { TargetConnection } from "./targetConnection.js";

/** How far an attempt has got; it decides how the attempt ends if an unexpected error is raised. */
export interface AttemptProgress {
    connection: TargetConnection | undefined;
    /** True once any part of the request may have been sent. */
    isSent: boolean;
    /** True once a part of the response has been sent to the client. */
    isStreaming: boolean;
}

/** Dependencies of an attempt. */
export interface AttemptDependencies {
    pool: ConnectionPool;
    dialect: TargetDialect;
    clock: Clock;
    /** Called with the notice in the head of each response, and the monotonic time at which the request was sent. */
    onNotice: (target: TargetEntry, notice: TargetNotice, sentMs: number) => void;
    /** What is known of this host's paths to targets. */
    paths: TargetPaths;
    /** Called with the status of each response that proves neither that the target ran the request nor that it didn't. */
    onUnproven: (target: TargetEntry, call: ClientCall, status: number) => void;
    /** Called at the end of an attempt if responses to other requests arrived during it, with their number. */
    onSkipped: (target: TargetEntry, call: ClientCall, count: number) => void;
}

/** The request to send, its target and the limits of the attempt. */
export interface AttemptRequest {
    call: ClientCall;
    target: TargetEntry;
    /** The complete body, or undefined if it is streamed from the client. */
    body: Buffer | undefined;
    /** Expected duration of the attempt. */
    expectedMs: number;
    /** Time left for the request, as announced to the target. */
    budgetMs: number;
    /** The attempt ends after this time. */
    timeoutMs: number;
    /** When the attempt may be given up for a retry; undefined if it must not be. */
    giveUpPolicy: GiveUpPolicy | undefined;
    /** True if the request may run more than once. */
    idempotent: boolean;
    /** Called with the connection on which the request is about to be sent. */
    onConnected: (connection: TargetConnection) => void;
    /** False if the attempt is to continue after the client has left. */
    cancelIfClientLeaves: boolean;
    /** Called when this host is cut off from the target while it waits for the response; returns whether the attempt ends. */
    endsWithPath: () => boolean;
}
