/** Runs one attempt: sends a request to a target and receives the response. */
import type { AnswerHead, ClientCall } from "../entry/clientCall.js";
import { describeFailure } from "../model/failure.js";
import type { TargetEntry } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { ConnectionPool } from "./connectionPool.js";
import type { ReuseTerms } from "./connectionReuse.js";
import type { TargetDialect, TargetNotice } from "./dialect.js";
import { endAfterSending, endBeforeSending, pathLost } from "./endsByInterrupt.js";
import type { Interrupt, GiveUpPolicy } from "./interrupt.js";
import { createInterrupt } from "./interrupt.js";
import type { StopWatching, TargetPaths } from "./pathWatch.js";
import { watchPath } from "./pathWatch.js";
import { requestHeadOf, sendBody } from "./requestSending.js";
import { receiveResponse } from "./responseReception.js";
import type { TargetConnection } from "./targetConnection.js";

/** A complete response that has not been sent to the client yet. */
export interface BufferedAnswer {
    head: AnswerHead;
    body: Buffer;
}

/** How an attempt ended. */
export type AttemptEnd =
    /** The response is complete and buffered; nothing has been sent to the client. */
    | { kind: "answered"; answer: BufferedAnswer; tookMs: number }
    /** The response was streamed to the client and is complete. */
    | { kind: "streamed"; status: number; tookMs: number }
    /** The response broke off after a part of it had been sent to the client; the client's connection was closed. */
    | { kind: "broken-off"; why: string; error?: unknown }
    /** The target rejected the request without running it. */
    | { kind: "turned-away"; status: number; pauseMs?: number }
    /** No connection could be opened; nothing was sent. `error` is set here and below if the attempt ended by an unexpected error. */
    | { kind: "unreachable"; why: string; error?: unknown }
    /** The request was sent, and no complete, valid response arrived. */
    | { kind: "lost"; why: string; error?: unknown }
    /** The request was sent, and the response was not complete within the timeout. */
    | { kind: "timed-out" }
    /** Given up because a slot for a retry was reserved, before the response was complete and before any of it was sent to the client. */
    | { kind: "given-up"; wasSent: boolean }
    /** The client did not send its request body completely. */
    | { kind: "body-broken" }
    | { kind: "client-left" };

/** How far an attempt has got; it decides how the attempt ends if an unexpected error is raised. */
export interface AttemptProgress {
    connection: TargetConnection | undefined;
    /** True once any part of the request may have been sent. */
    isSent: boolean;
    /** True once a part of the response has been sent to the client. */
    isStreaming: boolean;
}

/** Describes the end of an attempt in a log line. */
export function describeEnd(end: AttemptEnd): string {
    return "why" in end ? `${end.kind}: ${end.why}` : end.kind;
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
    /** Which pooled connections may carry this request. */
    reuse: ReuseTerms;
    /** The connection is added if the target rejects the request on it. */
    rejectedOn: Set<TargetConnection>;
    /** False if the attempt is to continue after the client has left. */
    cancelIfClientLeaves: boolean;
    /** Called when this host is cut off from the target while it waits for the response; returns whether the attempt ends. */
    endsWithPath: () => boolean;
}

/**
 * Sends a request to a target and receives the response. Never rejects: an unexpected error ends the attempt.
 * @param request the request, its target and the limits of the attempt
 */
export async function attempt(dependencies: AttemptDependencies, request: AttemptRequest): Promise<AttemptEnd> {
    const { call, target } = request;
    const { timeoutMs, giveUpPolicy } = request;
    const interrupt = createInterrupt({ clientLeft: request.cancelIfClientLeaves ? call.clientLeft : undefined, timeoutMs, giveUpPolicy });
    const progress: AttemptProgress = { connection: undefined, isSent: false, isStreaming: false };
    try {
        const opening = dependencies.pool.acquire(target.address, request.reuse);
        const opened = await Promise.race([opening, interrupt.raised]);
        if (typeof opened === "string") {
            void opening.then((late) => late.map((connection) => {
                dependencies.pool.release(target.address, connection);
            }));
            return endBeforeSending[opened];
        }
        if (opened.isErr()) {
            return { kind: "unreachable", why: describeFailure(opened.error) };
        }
        progress.connection = opened.value;
        const end = await sendAndReceive(dependencies, request, opened.value, interrupt, progress);
        dependencies.pool.release(target.address, opened.value);
        if (end.kind === "timed-out" || end.kind === "given-up" || isPathLost(end)) {
            dependencies.pool.closeIdle(target.address);
        }
        return end;
    }
    catch (error) {
        return endByError(request, progress, error);
    }
    finally {
        interrupt.release();
    }
}

function isPathLost(end: AttemptEnd): boolean {
    return end.kind === "lost" && end.why === pathLost;
}

/** Ends an attempt by an unexpected error: what may have been sent is lost, and nothing more is read from the connection. */
function endByError({ call, target }: AttemptRequest, { connection, isSent, isStreaming }: AttemptProgress, error: unknown): AttemptEnd {
    connection?.destroy();
    const why = `${isSent ? "forward" : "connect"} with ${target.address}: unexpected error: ${String(error)}`;
    if (isStreaming) {
        call.abortAnswer();
        return { kind: "broken-off", why, error };
    }
    return { kind: isSent ? "lost" : "unreachable", why, error };
}

async function sendAndReceive(
    dependencies: AttemptDependencies, request: AttemptRequest, connection: TargetConnection, interrupt: Interrupt,
    progress: AttemptProgress,
): Promise<AttemptEnd> {
    const startedMs = dependencies.clock.now().monoMs;
    const requestHead = requestHeadOf(dependencies.dialect, request);
    progress.isSent = true;
    const stopWatching = connection.relay === undefined ? watchForLoss(dependencies, request, interrupt) : () => undefined;
    try {
        return await exchangeMessages(dependencies, request, connection, interrupt, progress, startedMs, requestHead);
    }
    finally {
        stopWatching();
    }
}

/** Ends the attempt, if it may, once this host is cut off from its target. */
function watchForLoss(
    { paths }: AttemptDependencies, { target, expectedMs, endsWithPath }: AttemptRequest, interrupt: Interrupt,
): StopWatching {
    return watchPath(paths, target, expectedMs, () => {
        if (endsWithPath()) {
            interrupt.losePath();
        }
    });
}

async function exchangeMessages(
    dependencies: AttemptDependencies, request: AttemptRequest, connection: TargetConnection, interrupt: Interrupt,
    progress: AttemptProgress, startedMs: number, requestHead: string,
): Promise<AttemptEnd> {
    const exchange = connection.start({
        method: request.call.method,
        head: requestHead,
        body: request.body,
        hasMore: request.body === undefined,
        isAnswer: (head) => dependencies.dialect.isAnswerTo(head, request.call.requestId),
    });
    const upload = request.body === undefined ? sendBody(request.call, exchange) : Promise.resolve("sent" as const);
    const head = await Promise.race([
        exchange.head(), interrupt.raised, upload.then((sent) => sent === "sent" ? new Promise<never>(() => undefined) : sent),
    ]);
    if (typeof head === "string") {
        return endAfterSending[head];
    }
    if (head.isErr()) {
        return { kind: "lost", why: head.error.message };
    }
    if (connection.relay === undefined) {
        dependencies.paths.recordHeard(request.target.targetId);
    }
    dependencies.onNotice(request.target, dependencies.dialect.noticeOf(head.value), startedMs);
    const end = await receiveResponse(dependencies, request, { exchange, head: head.value, interrupt, progress });
    if (end.kind === "turned-away") {
        request.rejectedOn.add(connection);
        if (!dependencies.dialect.namesRequest(head.value)) {
            connection.recordUnnamedRejection();
        }
    }
    const tookMs = dependencies.clock.now().monoMs - startedMs;
    return "tookMs" in end ? { ...end, tookMs } : end;
}
