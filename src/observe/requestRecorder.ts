/** Records the outcome of requests in the log and in the metrics. */
import type { ClientCall, RefusalReason } from "../entry/clientCall.js";
import { statusByReason } from "../entry/refusalStatus.js";
import { describeEnd } from "../forwarding/attemptEnds.js";
import type { RateLimitChange } from "../forwarding/statedRateLimits.js";
import type { TargetId } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { Log, LogFields } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { RequestLog } from "./requestLog.js";

/** Longest part of a host name, path or key that is logged. */
const maxLoggedChars = 200;

/** Reasons by which the configuration does not allow the request; their lines tell what the request was. */
const denyingReasons: ReadonlySet<RefusalReason> = new Set(["no-route", "no-key", "body-too-large", "config-unconfirmed"]);

/** Dependencies of the recorder. */
export interface RequestRecorderDependencies {
    log: Log;
    metrics: Metrics;
    clock: Clock;
    /** Version of the configuration in force; undefined if there is none yet. */
    configVersion: () => number | undefined;
    /** Time since it was last confirmed that no newer configuration is in force. */
    configAgeMs: (nowMs: number) => number;
    /** Ledger offset that this host has reached, and the time since the store last confirmed that state. */
    ledgerStatus: (nowMs: number) => { ledgerUpTo: number; ageMs: number };
}

const maxLoggedStackChars = 2_000;

/** Creates the recorder. */
export function createRequestRecorder(
    { log, metrics, clock, configVersion, configAgeMs, ledgerStatus }: RequestRecorderDependencies,
): RequestLog {
    const commonFields = (call: ClientCall) => {
        const nowMs = clock.now().monoMs;
        const { ledgerUpTo, ageMs } = ledgerStatus(nowMs);
        return {
            request: call.requestId, key: call.key, config: configVersion(), ledger: ledgerUpTo, knownAgoMs: Math.round(ageMs),
            ms: Math.round(nowMs - call.receivedAt.monoMs),
        };
    };
    return {
        answered: (call, route, triedTargetIds, status, targetTookMs) => {
            metrics.requests.inc({ route: route.routeId, outcome: "answered", reason: String(status) });
            metrics.answerMs.observe({ route: route.routeId }, clock.now().monoMs - call.receivedAt.monoMs);
            log.info("answered", {
                ...commonFields(call), route: route.routeId, targets: [...triedTargetIds], status, targetMs: Math.round(targetTookMs),
            });
        },
        refused: (call, refusal, route, triedTargetIds) => {
            metrics.requests.inc({ route: route?.routeId ?? "", outcome: "refused", reason: refusal.reason });
            metrics.refusals.inc({ status: statusByReason[refusal.reason], reason: refusal.reason });
            if (route !== undefined) {
                metrics.refusalsByPriority.inc({ priority: route.priority, reason: refusal.reason });
            }
            log.info("refused", {
                ...commonFields(call), route: route?.routeId, reason: refusal.reason, retryAfterMs: refusal.retryAfterMs,
                targets: [...triedTargetIds ?? []], target: refusal.targetId, fingerprint: refusal.fingerprint, budgetMs: call.budgetMs,
                ...denyingReasons.has(refusal.reason)
                    ? { ...denialFieldsOf(call), configAgeMs: Math.round(configAgeMs(clock.now().monoMs)) }
                    : {},
            });
        },
        retried: (call, route, targetId, end, { attemptCount, retriesLeft, connection }) => {
            metrics.retries.inc({ route: route.routeId, end: end.kind });
            log.info("sent again", {
                ...commonFields(call), route: route.routeId, target: targetId, end: describeEnd(end),
                attempts: attemptCount, retriesLeft: Math.floor(retriesLeft * 10) / 10,
                connection: connection?.localPort, requestOnConnection: connection?.requestCount,
            });
        },
        attemptEnded: (targetId, end) => {
            metrics.attempts.inc({ target: targetId, end: end.kind });
            if ("error" in end && end.error !== undefined) {
                const stack = end.error instanceof Error ? end.error.stack : undefined;
                log.error("attempt ended by an unexpected error", {
                    target: targetId, end: describeEnd(end), stack: stack?.slice(0, maxLoggedStackChars),
                });
            }
        },
        pathLost: (call, targetId, isEnded) => {
            log.info("cut off from target", { ...commonFields(call), target: targetId, ended: isEnded });
        },
        responseUnproven: (call, targetId, status) => {
            metrics.unprovenResponses.inc({ target: targetId, status: String(status) });
            log.warn("response without proof", { ...commonFields(call), target: targetId, status });
        },
        responsesSkipped: (call, targetId, count) => {
            metrics.skippedResponses.inc({ target: targetId }, count);
            log.warn("responses to other requests skipped", { ...commonFields(call), target: targetId, count });
        },
        brokenOff: (call, route, triedTargetIds, why) => {
            metrics.requests.inc({ route: route.routeId, outcome: "broken-off", reason: "" });
            log.info("response broken off", { ...commonFields(call), route: route.routeId, targets: [...triedTargetIds], why });
        },
        clientLeft: (call, route, triedTargetIds: ReadonlySet<TargetId>) => {
            metrics.requests.inc({ route: route.routeId, outcome: "left", reason: "" });
            log.info("client left", { ...commonFields(call), route: route.routeId, targets: [...triedTargetIds] });
        },
        targetLeaving: (targetId) => {
            log.info("target is leaving", { target: targetId });
        },
        targetPauseRequested: (targetId, pauseMs) => {
            log.info("target requested a pause", { target: targetId, pauseMs });
        },
        targetRateLimitChanged: (targetId, { kind, ...fields }) => {
            const event = rateLimitEvents[kind];
            log[event.level](event.text, { target: targetId, ...fields });
        },
        targetLoadUnreadable: (targetId) => {
            metrics.invalidLoadReports.inc({ target: targetId });
        },
        workTimePredicted: (expectedMs, tookMs) => {
            metrics.workTimeRatio.observe(tookMs / Math.max(1, expectedMs));
        },
    };
}

function denialFieldsOf(call: ClientCall): LogFields {
    return {
        method: call.method, hostName: call.hostName.slice(0, maxLoggedChars),
        path: call.path.slice(0, maxLoggedChars), statedKey: call.statedKey?.()?.slice(0, maxLoggedChars),
        bodyBytes: call.body.declaredBytes,
        ...call.describeConnection?.(),
    };
}

const rateLimitEvents: Record<RateLimitChange["kind"], { level: "info" | "warn"; text: string }> = {
    "stated": { level: "info", text: "target stated a rate limit" },
    "ended": { level: "info", text: "rate limit of target ended" },
    "unreadable": { level: "warn", text: "target stated a rate limit that cannot be read" },
};
