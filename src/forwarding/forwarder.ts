/** Forwards client requests to targets and returns their responses, with admission, retries and load accounting. */
import { setMaxListeners } from "node:events";
import type { AdmissionClient } from "../admission/admissionClient.js";
import type { RetryBudgets } from "../admission/retryBudgets.js";
import type { WorkEnd } from "../admission/workEnd.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { ClientCall } from "../entry/clientCall.js";
import { RequestNotRunError } from "../entry/clientCall.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { DataCentreId } from "../model/names.js";
import { Signal } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { TargetEntry } from "../model/target.js";
import type { Splitter } from "../routing/splitter.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AttemptEnd } from "./attemptEnds.js";
import type { AttemptDependencies } from "./attemptRequest.js";
import { attempt } from "./attempt.js";
import { describeEnd, isWithoutResponse, mayHaveRun, moreInformativeEnd, reasonIfNotRun, workEndOf } from "./attemptEnds.js";
import { ClientWaitEstimator } from "./clientWaitEstimator.js";
import type { RequestContext } from "./requestContext.js";
import { createRequestEnds } from "./requestEnds.js";
import { prepareRequest } from "./requestPreparation.js";
import type { TargetSlot } from "./placement.js";
import { createPlacer, retryAfterStoppingMs, retryAfterUnreachableMs } from "./placement.js";
import type { QuarantineGuardDependencies } from "./quarantineGuard.js";
import { createQuarantineGuard, standingOfRequest } from "./quarantineGuard.js";
import type { RetryTerms } from "./retryPolicy.js";
import { nextStep } from "./retryPolicy.js";
import type { RetryReservation } from "./retryReservation.js";
import { createRetryReservation } from "./retryReservation.js";
import type { WaitingRetry } from "./retryWait.js";
import { createRetryWait } from "./retryWait.js";
import { StatedLoads } from "./statedLoads.js";
import { StatedRateLimits } from "./statedRateLimits.js";
import { createTargetNotices } from "./targetNotices.js";
import { TargetPauses } from "./targetPauses.js";
import { WorkTimes } from "./workTimes.js";

/**
 * An attempt of an idempotent request may be given up for a retry once it has taken this many times its expected duration, and
 * not before the minimum below.
 */
const giveUpRatio = 6;
const minGiveUpMs = 400;

/** Dependencies of a forwarder. */
export interface ForwarderDependencies extends Omit<AttemptDependencies, "onNotice" | "onUnproven" | "onSkipped"> {
    view: ClusterView;
    owners: OwnerLookup;
    admission: AdmissionClient;
    splitter: Splitter;
    retries: RetryBudgets;
    loads: LoadMeter;
    requestLog: RequestLog;
    crashObserver: CrashObserver;
    crashEvidence: CrashEvidence;
    /** Asks the coordinator whether a request may run once after its quarantine. */
    requestTrial: QuarantineGuardDependencies["requestTrial"];
    returnTrial: QuarantineGuardDependencies["returnTrial"];
    /** Tells whether this host learns at once what other hosts learn of crashes. */
    isInContact: QuarantineGuardDependencies["isInContact"];
    clock: Clock;
    dataCentreId: DataCentreId;
    /** See `PlacerDependencies`. */
    usesDataCentreQueues: () => boolean;
    /** See `PlacerDependencies`. */
    sharesScarceCapacity?: boolean | undefined;
    /** Tells whether requests are placed by their cost and the backlog of targets; absent if never. */
    isLoadManaged?: () => boolean;
    /** Time since it was last confirmed that no newer configuration is in force. */
    configAgeMs: (nowMs: number) => number;
    /** Time for which a target still receives new requests after this host learned that the target is shutting down. */
    drainMs: number;
    /** Returns a random number in [0, 1). */
    random: () => number;
}

/** Serves client requests. */
export interface Forwarder {
    /**
     * Serves one request; resolves once the client has been answered or has left. After an unexpected error it rejects with a
     * `RequestNotRunError` if the request has certainly not run, otherwise with the error.
     */
    serve(call: ClientCall): Promise<void>;
    /**
     * Called when this host begins to shut down. From then on no running attempt is given up for a retry, and a request is sent to a target
     * only if it ends by `cutAtMs` at the latest, whatever the target does; other requests are refused at once.
     * @param cutAtMs monotonic time at which requests in progress are cut off
     */
    startShutdown(cutAtMs: number): void;
    /** Refuses every request that has no slot, now and from now on. */
    refuseWaiting(): void;
}

/** Creates the forwarder. */
export function createForwarder(dependencies: ForwarderDependencies): Forwarder {
    const { view, clock, requestLog, crashObserver, crashEvidence } = dependencies;
    const nowMs = () => clock.now().monoMs;
    const workTimes = new WorkTimes();
    const clientWaits = new ClientWaitEstimator();
    const waitingRefused = new AbortController();
    const shutdownStarted = new Signal();
    let cutAtMs = Number.POSITIVE_INFINITY;
    setMaxListeners(0, waitingRefused.signal);
    const addJitter = (delayMs: number) => delayMs * (0.9 + dependencies.random() * 0.4);
    const pauses = new TargetPauses();
    const rateLimits = new StatedRateLimits();
    const statedLoads = new StatedLoads();
    const isLoadManaged = dependencies.isLoadManaged ?? (() => false);
    const placer = createPlacer({
        ...dependencies, workTimes, pauses, rateLimits, statedLoads, addJitter, waitingRefused: waitingRefused.signal,
        standingOf: (context, atMs) => standingOfRequest(crashEvidence, context, atMs),
    });
    const waitBeforeRetry = createRetryWait(dependencies);
    const { refuse, deliver, recordEndWithoutResponse, endWithoutRetry } = createRequestEnds({ requestLog, workTimes, clientWaits, clock });
    const quarantineGuard = createQuarantineGuard({
        ...dependencies, placer, shutdownStarted,
        stopRefusalOf: ({ deadlineMs }) =>
            deadlineMs > cutAtMs ? { reason: "stopping", retryAfterMs: addJitter(retryAfterStoppingMs) } : undefined,
    });

    const attemptDependencies: AttemptDependencies = {
        ...dependencies, ...createTargetNotices({ view, clock, requestLog, pauses, rateLimits, statedLoads, isLoadManaged }),
    };

    /** Prepares a call; refuses it at once if it can't be forwarded. */
    const prepare = async (call: ClientCall): Promise<RequestContext | undefined> => {
        const prepared = await prepareRequest(
            { view, splitter: dependencies.splitter, clientWaits, workTimes, attemptHeaders: dependencies.dialect.reservedHeaders },
            call, dependencies.configAgeMs(nowMs()));
        if (prepared.kind === "refused") {
            refuse(call, prepared.refusal);
            return undefined;
        }
        const { context } = prepared;
        const refusal = quarantineGuard.refusalOf(context);
        if (refusal !== undefined) {
            refuse(call, refusal, context);
            return undefined;
        }
        return context;
    };

    const retryTerms = (context: RequestContext, expectedMs: number): RetryTerms => ({
        isReplayable: context.body !== undefined, attemptCount: context.attemptCount,
        hasAttemptsLeft: context.service.sharded || context.triedTargetIds.size < context.route.maxAttempts,
        remainingMs: context.deadlineMs - nowMs(), expectedMs,
        takeRetry: () => dependencies.retries.take(context.service.serviceId),
    });

    const runAttempt = async (context: RequestContext, slot: TargetSlot, reservation: RetryReservation): Promise<AttemptEnd> => {
        const remainingMs = context.deadlineMs - nowMs();
        const giveUpAfterMs = Math.max(minGiveUpMs, slot.expectedMs * giveUpRatio);
        const isTrial = slot.isTrial === true;
        const isRepeatable = context.route.idempotent && context.body !== undefined;
        const mayRetry = isRepeatable && !isTrial && giveUpAfterMs + slot.expectedMs < remainingMs;
        context.triedTargetIds.add(slot.target.targetId);
        context.attemptCount += 1;
        context.lastConnection = undefined;
        return attempt(attemptDependencies, {
            call: context.call,
            target: slot.target,
            body: context.body,
            budgetMs: remainingMs,
            timeoutMs: remainingMs,
            giveUpPolicy: mayRetry ? { afterMs: giveUpAfterMs, mayGiveUp: () => reservation.reserve() } : undefined,
            expectedMs: slot.expectedMs,
            idempotent: context.route.idempotent,
            onConnected: (connection) => {
                context.lastConnection = connection;
            },
            cancelIfClientLeaves: context.route.idempotent && !isTrial,
            endsWithPath: () => {
                const isEnded = isRepeatable && !isTrial;
                requestLog.pathLost(context.call, slot.target.targetId, isEnded);
                if (!isEnded && !isTrial) {
                    // What arrives of it before its deadline is still passed on, but the target is idle for the other hosts.
                    slot.release({ kind: "dropped" });
                }
                return isEnded;
            },
        });
    };

    /** Runs one attempt. `retrySlot` is set if the attempt was given up for a retry in that slot. */
    const runAttemptWithReservation = async (
        context: RequestContext, slot: TargetSlot,
    ): Promise<{ end: AttemptEnd; retrySlot: TargetSlot | undefined }> => {
        const reservation = createRetryReservation(
            { placer, getRetryTerms: retryTerms, isShuttingDown: () => Number.isFinite(cutAtMs) }, context, slot);
        const startedMs = nowMs();
        const end = await runAttempt(context, slot, reservation);
        context.mayHaveRun ||= mayHaveRun(end);
        let retrySlot: TargetSlot | undefined;
        let isRecorded = false;
        try {
            requestLog.attemptEnded(slot.target.targetId, end);
            observeEnd(context, slot.target, startedMs, end);
            if ((end.kind === "answered" || end.kind === "streamed") && isLoadManaged()) {
                requestLog.workTimePredicted?.(slot.expectedMs, end.tookMs);
            }
            isRecorded = true;
        }
        finally {
            retrySlot = reservation.close(isRecorded && end.kind === "given-up");
            if (retrySlot !== slot) {
                slot.release(workEndOfAttempt(slot.target, end, nowMs() - startedMs));
            }
        }
        return { end, retrySlot };
    };

    /** What an attempt over a broken path saw says nothing of its target. */
    const workEndOfAttempt = ({ targetId }: TargetEntry, end: AttemptEnd, tookMs: number): WorkEnd => {
        const isPathBroken = dependencies.paths.pathTo(targetId) === "severed";
        return isPathBroken && isWithoutResponse(end) ? { kind: "dropped" } : workEndOf(end, tookMs);
    };

    const observeEnd = ({ call, getFingerprints }: RequestContext, target: TargetEntry, sentMs: number, end: AttemptEnd) => {
        if (end.kind === "lost" || end.kind === "broken-off") {
            const why = describeEnd(end);
            void crashObserver.attemptLost({ requestId: call.requestId, fingerprints: getFingerprints(), target, sentMs, why });
        }
        if (end.kind === "answered" || end.kind === "streamed") {
            crashObserver.attemptCompleted(getFingerprints);
        }
    };

    const countLoad = ({ service, call, expectedMs }: RequestContext) => {
        if (service.sharded && call.key !== undefined) {
            dependencies.loads.count(service.serviceId, call.key, expectedMs);
        }
    };

    const recordRetry = (context: RequestContext, { target }: TargetSlot, end: AttemptEnd) => {
        const { call, route, service, attemptCount, lastConnection } = context;
        const retriesLeft = dependencies.retries.left(service.serviceId);
        requestLog.retried(call, route, target.targetId, end, { attemptCount, retriesLeft, connection: lastConnection });
    };

    /** Logs that a request is sent again in a slot that is reserved for it; on an unexpected error the slot is given back. */
    const recordRetryInSlot = (context: RequestContext, slot: TargetSlot, end: AttemptEnd, reservedSlot: TargetSlot) => {
        try {
            recordRetry(context, slot, end);
        }
        catch (error) {
            reservedSlot.release({ kind: "dropped" });
            throw error;
        }
    };

    const retryOf = ({ call, service, attemptCount }: RequestContext): WaitingRetry => ({
        serviceId: service.serviceId, key: service.sharded ? call.key : undefined, attemptCount, clientLeft: call.clientLeft,
    });

    const runAttempts = async (context: RequestContext): Promise<void> => {
        let possiblyExecuted: AttemptEnd | undefined;
        let reservedSlot: TargetSlot | undefined;
        for (;;) {
            const placement = await quarantineGuard.place(context, reservedSlot);
            if (placement.kind === "client-left") {
                requestLog.clientLeft(context.call, context.route, context.triedTargetIds);
                return;
            }
            if (placement.kind === "refused") {
                endWithoutRetry(context, possiblyExecuted, placement.refusal);
                return;
            }
            context.expectedMs = placement.expectedMs;
            const { end, retrySlot } = await runAttemptWithReservation(context, placement);
            possiblyExecuted = mayHaveRun(end) ? moreInformativeEnd(possiblyExecuted, end) : possiblyExecuted;
            reservedSlot = retrySlot;
            if (reservedSlot !== undefined) {
                recordRetryInSlot(context, placement, end, reservedSlot);
                continue;
            }
            switch (nextStep({ ...retryTerms(context, context.expectedMs), end, idempotent: context.route.idempotent })) {
                case "deliver":
                    if (end.kind === "answered") {
                        deliver(context, end);
                    }
                    return;
                case "none":
                    recordEndWithoutResponse(context, end);
                    return;
                case "refuse":
                case "fail":
                    endWithoutRetry(
                        context, possiblyExecuted, { reason: reasonIfNotRun(end), retryAfterMs: addJitter(retryAfterUnreachableMs) });
                    return;
                case "retry":
                    recordRetry(context, placement, end);
                    await waitBeforeRetry(retryOf(context), placement.target.targetId, end);
            }
        }
    };

    const serve = async (call: ClientCall): Promise<void> => {
        let context: RequestContext | undefined;
        try {
            context = await prepare(call);
            if (context !== undefined) {
                dependencies.retries.onRequest(context.service.serviceId);
                countLoad(context);
                await runAttempts(context);
            }
        }
        catch (error) {
            throw context?.mayHaveRun === true ? error : new RequestNotRunError("unexpected error before the request ran", { cause: error });
        }
    };

    return {
        serve,
        startShutdown: (atMs) => {
            cutAtMs = atMs;
            shutdownStarted.fire();
        },
        refuseWaiting: () => {
            waitingRefused.abort();
        },
    };
}
