/** Ends requests: delivers a response or a refusal to the client, and records how the request ended. */
import type { ClientCall, Refusal } from "../entry/clientCall.js";
import type { Clock } from "../model/time.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { Answered, AttemptEnd } from "./attemptEnds.js";
import { reasonIfRun } from "./attemptEnds.js";
import type { ClientWaitEstimator } from "./clientWaitEstimator.js";
import type { RequestContext } from "./requestContext.js";
import type { WorkTimes } from "./workTimes.js";
import { typicalWorkMs } from "./workTimes.js";

/** Dependencies of `createRequestEnds`. */
export interface RequestEndsDependencies {
    requestLog: RequestLog;
    workTimes: WorkTimes;
    clientWaits: ClientWaitEstimator;
    clock: Clock;
}

/** Ways in which a request ends. */
export interface RequestEnds {
    /** Sends a refusal; `context` is absent if the request could not be prepared. */
    refuse(call: ClientCall, refusal: Refusal, context?: RequestContext): void;
    /** Sends a target's response that is buffered. */
    deliver(context: RequestContext, answered: Answered): void;
    /** Records the end of a request that needs no response any more: it has been streamed, or its client has left. */
    recordEndWithoutResponse(context: RequestContext, end: AttemptEnd): void;
    /**
     * Answers a request that is not retried any more. An error response of a target is preferred over a refusal by this host.
     * @param context the request
     * @param possiblyExecuted end of the most informative attempt that may have run; undefined if the request certainly did not run
     * @param refusalIfNotRun sent to the client if the request certainly did not run
     */
    endWithoutRetry(context: RequestContext, possiblyExecuted: AttemptEnd | undefined, refusalIfNotRun: Refusal): void;
}

/** Creates the ends of a forwarder's requests. */
export function createRequestEnds({ requestLog, workTimes, clientWaits, clock }: RequestEndsDependencies): RequestEnds {
    const refuse = (call: ClientCall, refusal: Refusal, context?: RequestContext) => {
        requestLog.refused(call, refusal, context?.route, context?.triedTargetIds);
        if (context !== undefined && refusal.reason !== "quarantined") {
            clientWaits.recordRefusal(context.route.routeId, clock.now().monoMs);
        }
        call.refuse(refusal);
    };

    const recordAnswer = ({ call, route, triedTargetIds }: RequestContext, status: number, tookMs: number) => {
        workTimes.observe(route.routeId, tookMs, typicalWorkMs(route));
        requestLog.answered(call, route, triedTargetIds, status, tookMs);
    };

    const deliver = (context: RequestContext, { answer, tookMs }: Answered) => {
        recordAnswer(context, answer.head.status, tookMs);
        context.call.answer(answer.head, answer.body);
    };

    const recordEndWithoutResponse = (context: RequestContext, end: AttemptEnd) => {
        const { call, route, triedTargetIds } = context;
        switch (end.kind) {
            case "streamed":
                recordAnswer(context, end.status, end.tookMs);
                return;
            case "broken-off":
                requestLog.brokenOff(call, route, triedTargetIds, end.why);
                return;
            default:
                requestLog.clientLeft(call, route, triedTargetIds);
        }
    };

    const endWithoutRetry = (context: RequestContext, possiblyExecuted: AttemptEnd | undefined, refusalIfNotRun: Refusal) => {
        if (possiblyExecuted?.kind === "answered") {
            deliver(context, possiblyExecuted);
            return;
        }
        refuse(
            context.call,
            possiblyExecuted === undefined ? refusalIfNotRun : { reason: reasonIfRun(possiblyExecuted), retryAfterMs: undefined },
            context);
    };

    return { refuse, deliver, recordEndWithoutResponse, endWithoutRetry };
}
