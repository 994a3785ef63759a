/** Forwards client requests to targets and returns their responses, with admission, retries and load accounting. */
import { setMaxListeners } from "node:events";
import type { AdmissionClient } from "../admission/admissionClient.js";
import type { WorkEnd } from "../admission/targetRecord.js";
import type { RetryBudgets } from "../admission/retryBudgets.js";
import type { ClientCall, Refusal, RefusalReason } from "../entry/clientCall.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { DataCentreId, ServiceId } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { Owners } from "../ownership/owners.js";
import type { TargetEntry } from "../model/target.js";
import type { Splitter } from "../routing/splitter.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AttemptEnd, AttemptParts } from "./attempt.js";
import { attempt } from "./attempt.js";
import type { TargetNotice } from "./dialect.js";
import { CallerAges } from "./callerAges.js";
import type { Job } from "./job.js";
import type { Placed } from "./placement.js";
import { createPlacer, retryAfterUnreachableMs } from "./placement.js";
import type { RepeatTerms } from "./retryPolicy.js";
import { nextStep } from "./retryPolicy.js";
import type { Standby } from "./standby.js";
import { createStandby } from "./standby.js";
import { TargetPauses } from "./targetPauses.js";
import { typicalWorkMs, WorkTimes } from "./workTimes.js";

/** Longest idle time of a connection that may be reused for a non-idempotent request, which must not run twice. */
const maxIdleUnrepeatableMs = 1_000;

/**
 * An attempt of an idempotent request may be given up for a retry once it has taken this many times its expected duration, and
 * not before the minimum below.
 */
const patienceRatio = 6;
const minPatienceMs = 400;

/** Delay before a retry, which may go to the same target again. */
const repeatPauseMs = 15;

const retryAfterNotReadyMs = 500;

/** Dependencies of a forwarder. */
export interface ForwarderParts extends Omit<AttemptParts, "onNotice"> {
    view: ClusterView;
    owners: Owners;
    admission: AdmissionClient;
    splitter: Splitter;
    retries: RetryBudgets;
    loads: LoadMeter;
    requestLog: RequestLog;
    clock: Clock;
    dataCentreId: DataCentreId;
    /** Time for which a target still receives new requests after this host learned that it is shutting down. */
    drainMs: number;
    /** Returns a random number in [0, 1). */
    random: () => number;
}

/** Serves client requests. */
export interface Forwarder {
    /** Serves one request; resolves once the client has been answered or has left. */
    serve(call: ClientCall): Promise<void>;
    /** Called when this host begins to shut down: from then on no running attempt is given up for a retry. */
    startLeaving(): void;
    /** Refuses every request that has no slot, now and from now on. */
    stopWaiting(): void;
}

/**
 * Creates the forwarder.
 * @param parts its dependencies
 */
export function createForwarder(parts: ForwarderParts): Forwarder {
    const { view, clock, requestLog } = parts;
    const nowMs = () => clock.now().monoMs;
    const workTimes = new WorkTimes();
    const callerAges = new CallerAges();
    const stopped = new AbortController();
    let leaving = false;
    setMaxListeners(0, stopped.signal);
    const spread = (delayMs: number) => delayMs * (0.9 + parts.random() * 0.4);
    const pauses = new TargetPauses();
    const placer = createPlacer({ ...parts, workTimes, pauses, spread, stopped: stopped.signal });

    const onNotice = ({ targetId, bornWallMs }: TargetEntry, { isLeaving, pauseMs }: TargetNotice) => {
        if (isLeaving && view.seeLeaving({ targetId, bornWallMs }, nowMs())) {
            requestLog.targetLeaves(targetId);
        }
        if (pauseMs !== undefined) {
            pauses.pause({ targetId, bornWallMs }, pauseMs, nowMs());
            requestLog.targetPauses(targetId, pauseMs);
        }
    };

    const refuse = (call: ClientCall, refusal: Refusal, job?: Job) => {
        requestLog.refused(call, refusal, job?.route, job?.tried);
        if (job !== undefined) {
            callerAges.noteTurnedAway(job.route.routeId, nowMs());
        }
        call.refuse(refusal);
    };

    const prepare = async (call: ClientCall): Promise<Job | undefined> => {
        const inForce = view.config;
        if (inForce === undefined) {
            refuse(call, { reason: "not-ready", retryAfterMs: retryAfterNotReadyMs });
            return undefined;
        }
        const route = inForce.routes.find(call.hostName, call.path, call.method);
        if (route === undefined) {
            refuse(call, { reason: "no-route", retryAfterMs: undefined });
            return undefined;
        }
        const service = inForce.services.get(parts.splitter.choose(route) ?? "" as ServiceId);
        if (service === undefined) {
            refuse(call, { reason: "no-target", retryAfterMs: retryAfterNotReadyMs });
            return undefined;
        }
        if (service.sharded && call.key === undefined) {
            refuse(call, { reason: "no-key", retryAfterMs: undefined });
            return undefined;
        }
        const body = await readBody(call, inForce.config.limits.maxBodyBytes);
        if (body === "refused") {
            return undefined;
        }
        const receivedMs = call.receivedAt.monoMs;
        return {
            call, route, service, body,
            targetMs: receivedMs + route.targetLatencyMs - callerAges.ageMs(route.routeId, call.budgetMs, receivedMs),
            deadlineMs: receivedMs + Math.min(call.budgetMs ?? Number.POSITIVE_INFINITY, route.timeoutMs),
            sends: 0, tried: new Set(), expectedMs: workTimes.meanMs(route.routeId, typicalWorkMs(route)),
        };
    };

    const readBody = async (call: ClientCall, maxBodyBytes: number): Promise<Buffer | undefined | "refused"> => {
        if (call.body.declaredBytes !== undefined && call.body.declaredBytes > maxBodyBytes) {
            refuse(call, { reason: "body-too-large", retryAfterMs: undefined });
            return "refused";
        }
        const body = await call.body.collect();
        if (body === "broken") {
            refuse(call, { reason: "body-late", retryAfterMs: undefined });
            return "refused";
        }
        return body === "too-long" ? undefined : body;
    };

    const repeatTerms = (job: Job, expectedMs: number): RepeatTerms => ({
        repeatable: job.body !== undefined, sends: job.sends,
        mayTryAnother: job.service.sharded || job.tried.size < job.route.maxAttempts,
        remainingMs: job.deadlineMs - nowMs(), expectedMs,
        takeRetry: () => parts.retries.take(job.service.serviceId),
    });

    const send = async (job: Job, placed: Placed, standby: Standby): Promise<AttemptEnd> => {
        const remainingMs = job.deadlineMs - nowMs();
        const patienceMs = Math.max(minPatienceMs, placed.expectedMs * patienceRatio);
        const mayRepeat = job.route.idempotent && job.body !== undefined && patienceMs + placed.expectedMs < remainingMs;
        job.tried.add(placed.target.targetId);
        job.sends += 1;
        return attempt({ ...parts, onNotice }, {
            call: job.call,
            target: placed.target,
            body: job.body,
            budgetMs: remainingMs,
            timeoutMs: remainingMs,
            patience: mayRepeat ? { afterMs: patienceMs, mayGiveUp: () => standby.secure() } : undefined,
            maxIdleMs: job.route.idempotent ? Number.POSITIVE_INFINITY : maxIdleUnrepeatableMs,
            cancelWithClient: job.route.idempotent,
        });
    };

    /** Runs one attempt. `retrySlot` is set if the attempt was given up for a retry in that slot. */
    const sendOnce = async (job: Job, placed: Placed): Promise<{ end: AttemptEnd; repeatAt: Placed | undefined }> => {
        const standby = createStandby({ placer, termsOf: repeatTerms, isLeaving: () => leaving }, job, placed);
        const startedMs = nowMs();
        const end = await send(job, placed, standby);
        const repeatAt = standby.close(end.kind === "given-up");
        if (repeatAt !== placed) {
            placed.leave(workEndOf(end, nowMs() - startedMs));
        }
        return { end, repeatAt };
    };

    const countLoad = ({ service, call, expectedMs }: Job) => {
        if (service.sharded && call.key !== undefined) {
            parts.loads.count(service.serviceId, call.key, expectedMs);
        }
    };

    const deliver = ({ call, route, tried }: Job, { answer, tookMs }: Answered) => {
        workTimes.learn(route.routeId, tookMs, typicalWorkMs(route));
        requestLog.answered(call, route, tried, answer.head.status, tookMs);
        call.answer(answer.head, answer.body);
    };

    /**
     * Answers a request that is not retried any more. An error response of a target is preferred over a refusal by this host.
     * @param context the request
     * @param executed end of the most informative attempt that may have run; undefined if the request certainly did not run
     * @param refusalIfNotRun sent to the client if the request certainly did not run
     */
    const giveUp = (job: Job, ran: AttemptEnd | undefined, ifNotRun: Refusal) => {
        if (ran?.kind === "answered") {
            deliver(job, ran);
            return;
        }
        refuse(job.call, ran === undefined ? ifNotRun : { reason: reasonIfRun(ran), retryAfterMs: undefined }, job);
    };

    const run = async (job: Job): Promise<void> => {
        let ran: AttemptEnd | undefined;
        let reserved: Placed | undefined;
        for (;;) {
            const placed = reserved ?? await placer.place(job, job.call.left);
            if (placed.kind === "client-left") {
                requestLog.left(job.call, job.route, job.tried);
                return;
            }
            if (placed.kind === "refused") {
                giveUp(job, ran, placed.refusal);
                return;
            }
            job.expectedMs = placed.expectedMs;
            const { end, repeatAt } = await sendOnce(job, placed);
            ran = mayHaveRun(end) ? betterOf(ran, end) : ran;
            reserved = repeatAt;
            if (reserved !== undefined) {
                requestLog.retried(job.call, job.route, placed.target.targetId, end);
                continue;
            }
            switch (nextStep({ ...repeatTerms(job, job.expectedMs), end, idempotent: job.route.idempotent })) {
                case "deliver":
                    if (end.kind === "answered") {
                        deliver(job, end);
                    }
                    return;
                case "none":
                    requestLog.left(job.call, job.route, job.tried);
                    return;
                case "refuse":
                case "fail":
                    giveUp(job, ran, { reason: reasonIfNotRun(end), retryAfterMs: spread(retryAfterUnreachableMs) });
                    return;
                case "retry":
                    requestLog.retried(job.call, job.route, placed.target.targetId, end);
                    await clock.sleep(repeatPauseMs, job.call.left);
            }
        }
    };

    return {
        serve: async (call) => {
            const job = await prepare(call);
            if (job === undefined) {
                return;
            }
            parts.retries.onRequest(job.service.serviceId);
            countLoad(job);
            await run(job);
        },
        startLeaving: () => {
            leaving = true;
        },
        stopWaiting: () => {
            stopped.abort();
        },
    };
}

type Answered = Extract<AttemptEnd, { kind: "answered" }>;

function mayHaveRun(end: AttemptEnd): boolean {
    return end.kind === "lost" || end.kind === "timed-out" || end.kind === "answered" || (end.kind === "given-up" && end.wasSent);
}

/** Chooses between two attempts that may have run: a complete response is kept over an attempt without one. */
function betterOf(before: AttemptEnd | undefined, end: AttemptEnd): AttemptEnd {
    return before?.kind === "answered" && end.kind !== "answered" ? before : end;
}

const workEndByKind: { [Kind in AttemptEnd["kind"]]: (end: Extract<AttemptEnd, { kind: Kind }>, tookMs: number) => WorkEnd } = {
    "answered": ({ tookMs }) => ({ kind: "answered", tookMs }),
    "streamed": ({ tookMs }) => ({ kind: "answered", tookMs }),
    "broken-off": () => ({ kind: "lost" }),
    "turned-away": ({ pauseMs }) => ({ kind: "turned-away", ...pauseMs === undefined ? {} : { pauseMs: Math.round(pauseMs) } }),
    "unreachable": () => ({ kind: "unreachable" }),
    "lost": () => ({ kind: "lost" }),
    "timed-out": (_end, tookMs) => ({ kind: "late", afterMs: tookMs }),
    "given-up": (_end, tookMs) => ({ kind: "late", afterMs: tookMs }),
    "body-broken": () => ({ kind: "dropped" }),
    "client-left": () => ({ kind: "dropped" }),
};

function workEndOf(end: AttemptEnd, tookMs: number): WorkEnd {
    return (workEndByKind[end.kind] as (of: AttemptEnd, tookMs: number) => WorkEnd)(end, tookMs);
}

function reasonIfRun(end: AttemptEnd): RefusalReason {
    return end.kind === "lost" ? "lost" : "timed-out";
}

function reasonIfNotRun(end: AttemptEnd): RefusalReason {
    return end.kind === "turned-away" ? "rejected" : end.kind === "body-broken" ? "body-late" : "unreachable";
}
