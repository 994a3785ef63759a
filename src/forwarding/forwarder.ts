/** Takes a request from its client to the target that is to serve it, and the answer back. */
import { setMaxListeners } from "node:events";
import type { AdmissionClient } from "../admission/admissionClient.js";
import type { WorkEnd } from "../admission/admissionQueue.js";
import type { RetryBudgets } from "../admission/retryBudgets.js";
import type { ClientCall, Refusal, RefusalReason } from "../entry/clientCall.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { DataCentreId, ServiceId } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { Owners } from "../ownership/owners.js";
import type { Splitter } from "../routing/splitter.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AttemptEnd, AttemptParts, HeldAnswer } from "./attempt.js";
import { attempt } from "./attempt.js";
import type { Job } from "./job.js";
import type { Placement } from "./placement.js";
import { createPlacer, retryAfterUnreachableMs } from "./placement.js";
import { nextStep } from "./retryPolicy.js";
import { typicalWorkMs, WorkTimes } from "./workTimes.js";

/** Longest time that a connection may have been idle before it carries what must not run twice. */
const maxIdleUnrepeatableMs = 1_000;

/** An idempotent request is sent again when its answer takes this many times longer than expected. */
const patienceRatio = 6;
const minPatienceMs = 400;

/** Pause before a request goes back to a target that turned it away. */
const pauseMs = 15;

const retryAfterNotReadyMs = 500;

/** What a forwarder works with. */
export interface ForwarderParts extends AttemptParts {
    view: ClusterView;
    owners: Owners;
    admission: AdmissionClient;
    splitter: Splitter;
    retries: RetryBudgets;
    loads: LoadMeter;
    requestLog: RequestLog;
    clock: Clock;
    dataCentreId: DataCentreId;
    random: () => number;
}

/** Serves requests. */
export interface Forwarder {
    /** Serves one request to its end. */
    serve(call: ClientCall): Promise<void>;
    /** This host is going to stop: what is at a target is left there until it is answered. */
    startLeaving(): void;
    /** Turns away what has no slot yet, now and from now on. */
    stopWaiting(): void;
}

/**
 * Creates the forwarder.
 * @param parts what it works with
 */
export function createForwarder(parts: ForwarderParts): Forwarder {
    const { view, clock, requestLog } = parts;
    const nowMs = () => clock.now().monoMs;
    const workTimes = new WorkTimes();
    const stopped = new AbortController();
    let leaving = false;
    setMaxListeners(0, stopped.signal);
    const spread = (delayMs: number) => delayMs * (0.9 + parts.random() * 0.4);
    const placer = createPlacer({ ...parts, workTimes, spread, stopped: stopped.signal });

    const refuse = (call: ClientCall, refusal: Refusal, job?: Job) => {
        requestLog.refused(call, refusal, job?.route, job?.tried);
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
            targetMs: receivedMs + route.targetLatencyMs,
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

    const send = async (job: Job, placed: Extract<Placement, { kind: "placed" }>): Promise<AttemptEnd> => {
        const remainingMs = job.deadlineMs - nowMs();
        const patienceMs = Math.max(minPatienceMs, placed.expectedMs * patienceRatio);
        const mayRepeat = job.route.idempotent && job.body !== undefined && patienceMs + placed.expectedMs < remainingMs;
        job.tried.add(placed.target.targetId);
        job.sends += 1;
        const end = await attempt(parts, {
            call: job.call,
            target: placed.target,
            body: job.body,
            budgetMs: remainingMs,
            timeoutMs: remainingMs,
            patience: mayRepeat ? { afterMs: patienceMs, mayGiveUp: () => !leaving } : undefined,
            maxIdleMs: job.route.idempotent ? Number.POSITIVE_INFINITY : maxIdleUnrepeatableMs,
            cancelWithClient: job.route.idempotent,
        });
        placed.leave(workEndOf(end));
        return end;
    };

    const countLoad = ({ service, call, expectedMs }: Job) => {
        if (service.sharded && call.key !== undefined) {
            parts.loads.count(service.serviceId, call.key, expectedMs);
        }
    };

    const deliver = ({ call, route, tried }: Job, answer: HeldAnswer, tookMs: number) => {
        workTimes.learn(route.routeId, tookMs, typicalWorkMs(route));
        requestLog.answered(call, route, tried, answer.head.status, tookMs);
        call.answer(answer.head, answer.body);
    };

    /** Ends a request that was sent at least once, or could not be sent, without an answer of a target. */
    const giveUp = (job: Job, end: AttemptEnd, mayHaveRun: boolean) => {
        const reason = mayHaveRun ? reasonIfRun(end) : reasonIfNotRun(end);
        refuse(job.call, { reason, retryAfterMs: mayHaveRun ? undefined : spread(retryAfterUnreachableMs) }, job);
    };

    const run = async (job: Job): Promise<void> => {
        let mayHaveRun = false;
        for (;;) {
            const placed = await placer.place(job);
            if (placed.kind === "client-left") {
                requestLog.left(job.call, job.route, job.tried);
                return;
            }
            if (placed.kind === "refused") {
                refuse(job.call, mayHaveRun ? { reason: "timed-out", retryAfterMs: undefined } : placed.refusal, job);
                return;
            }
            job.expectedMs = placed.expectedMs;
            const end = await send(job, placed);
            mayHaveRun ||= end.kind === "lost" || end.kind === "timed-out" || end.kind === "answered";
            const next = nextStep({
                end, idempotent: job.route.idempotent, repeatable: job.body !== undefined, sends: job.sends,
                mayTryAnother: job.service.sharded || job.tried.size < job.route.maxAttempts,
                remainingMs: job.deadlineMs - nowMs(), expectedMs: job.expectedMs,
                takeRetry: () => parts.retries.take(job.service.serviceId),
            });
            switch (next) {
                case "deliver":
                    if (end.kind === "answered") {
                        deliver(job, end.answer, end.tookMs);
                    }
                    return;
                case "none":
                    requestLog.left(job.call, job.route, job.tried);
                    return;
                case "refuse":
                case "fail":
                    giveUp(job, end, mayHaveRun);
                    return;
                case "retry":
                    requestLog.retried(job.call, job.route, placed.target.targetId, end);
                    await clock.sleep(pauseMs, job.call.left);
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

const workEndByKind: { [Kind in AttemptEnd["kind"]]: (end: Extract<AttemptEnd, { kind: Kind }>) => WorkEnd } = {
    "answered": ({ tookMs }) => ({ kind: "answered", tookMs }),
    "streamed": ({ tookMs }) => ({ kind: "answered", tookMs }),
    "broken-off": () => ({ kind: "lost" }),
    "turned-away": () => ({ kind: "turned-away" }),
    "unreachable": () => ({ kind: "unreachable" }),
    "lost": () => ({ kind: "lost" }),
    "timed-out": () => ({ kind: "lost" }),
    "body-broken": () => ({ kind: "dropped" }),
    "client-left": () => ({ kind: "dropped" }),
};

function workEndOf(end: AttemptEnd): WorkEnd {
    return (workEndByKind[end.kind] as (of: AttemptEnd) => WorkEnd)(end);
}

function reasonIfRun(end: AttemptEnd): RefusalReason {
    return end.kind === "timed-out" ? "timed-out" : "lost";
}

function reasonIfNotRun(end: AttemptEnd): RefusalReason {
    return end.kind === "turned-away" ? "rejected" : end.kind === "body-broken" ? "body-late" : "unreachable";
}
