/** Runs one attempt: sends a request to a target and receives the response. */
import { describeFailure } from "../model/failure.js";
import type { AttemptEnd } from "./attemptEnds.js";
import type { AttemptDependencies, AttemptProgress, AttemptRequest } from "./attemptRequest.js";
import type { RequestTraits } from "./connectionHistory.js";
import { endAfterSending, endBeforeSending, pathLost } from "./endsByInterrupt.js";
import type { Exchange } from "./exchange.js";
import type { Interrupt } from "./interrupt.js";
import { createInterrupt } from "./interrupt.js";
import type { StopWatching } from "./pathWatch.js";
import { watchPath } from "./pathWatch.js";
import { requestHeadOf, sendBody } from "./requestSending.js";
import { receiveResponse } from "./responseReception.js";
import type { TargetConnection } from "./targetConnection.js";

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
        const opening = dependencies.pool.acquire(target.address, traitsOf(request));
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
        request.onConnected(opened.value);
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

function traitsOf({ call: { method, requestId }, idempotent }: AttemptRequest): RequestTraits {
    return { method, requestId, idempotent };
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
    const exchange = connection.start({
        ...traitsOf(request),
        head: requestHead,
        body: request.body,
        hasMore: request.body === undefined,
        matchOf: (head) => dependencies.dialect.matchOf(head, request.call.requestId),
    });
    const isDirect = connection.relay === undefined;
    const stopWatching = isDirect ? watchForLoss(dependencies, request, interrupt) : () => undefined;
    try {
        return await awaitEnd(dependencies, request, { exchange, interrupt, progress, startedMs, isDirect });
    }
    finally {
        stopWatching();
        if (exchange.skippedResponses > 0) {
            dependencies.onSkipped(request.target, request.call, exchange.skippedResponses);
        }
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

/** A request that has been sent, except for a body that is streamed. */
interface SentRequest {
    exchange: Exchange;
    interrupt: Interrupt;
    progress: AttemptProgress;
    /** Monotonic time at which it was sent. */
    startedMs: number;
    /** False if another host relays the connection. */
    isDirect: boolean;
}

/** Sends what is left of a request, and receives the response. */
async function awaitEnd(
    dependencies: AttemptDependencies, request: AttemptRequest, { exchange, interrupt, progress, startedMs, isDirect }: SentRequest,
): Promise<AttemptEnd> {
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
    if (isDirect) {
        dependencies.paths.recordHeard(request.target.targetId);
    }
    dependencies.onNotice(request.target, dependencies.dialect.noticeOf(head.value), startedMs);
    const end = await receiveResponse(dependencies, request, { exchange, head: head.value, interrupt, progress });
    const tookMs = dependencies.clock.now().monoMs - startedMs;
    return "tookMs" in end ? { ...end, tookMs } : end;
}
