/** Records what happens to requests in the log and in the metrics. */
import type { ClientCall } from "../entry/clientCall.js";
import type { AttemptEnd } from "../forwarding/attempt.js";
import type { TargetId } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { RequestLog } from "./requestLog.js";

/** What a recorder works with. */
export interface RequestRecorderParts {
    log: Log;
    metrics: Metrics;
    clock: Clock;
    /** Version of the configuration in force. */
    configVersion: () => number | undefined;
    /** Offset up to which the ledger is known, and the age of that knowledge. */
    knowledge: (nowMs: number) => { ledgerUpTo: number; ageMs: number };
}

/**
 * Creates the recorder.
 * @param parts what it works with
 */
export function createRequestRecorder({ log, metrics, clock, configVersion, knowledge }: RequestRecorderParts): RequestLog {
    const basics = (call: ClientCall) => {
        const nowMs = clock.now().monoMs;
        const { ledgerUpTo, ageMs } = knowledge(nowMs);
        return {
            request: call.requestId, key: call.key, config: configVersion(), ledger: ledgerUpTo, knownAgoMs: Math.round(ageMs),
            ms: Math.round(nowMs - call.receivedAt.monoMs),
        };
    };
    return {
        answered: (call, route, tried, status, tookMs) => {
            metrics.requests.inc({ route: route.routeId, outcome: "answered", reason: String(status) });
            metrics.answerMs.observe({ route: route.routeId }, clock.now().monoMs - call.receivedAt.monoMs);
            log.info("answered", { ...basics(call), route: route.routeId, targets: [...tried], status, targetMs: Math.round(tookMs) });
        },
        refused: (call, refusal, route, tried) => {
            metrics.requests.inc({ route: route?.routeId ?? "", outcome: "refused", reason: refusal.reason });
            log.info("refused", {
                ...basics(call), route: route?.routeId, reason: refusal.reason, retryAfterMs: refusal.retryAfterMs,
                targets: [...tried ?? []], target: refusal.targetId, budgetMs: call.budgetMs,
            });
        },
        retried: (call, route, targetId, end) => {
            metrics.retries.inc({ route: route.routeId, end: end.kind });
            log.info("sent again", { ...basics(call), route: route.routeId, target: targetId, end: describeEnd(end) });
        },
        left: (call, route, tried: ReadonlySet<TargetId>) => {
            metrics.requests.inc({ route: route.routeId, outcome: "left", reason: "" });
            log.info("client left", { ...basics(call), route: route.routeId, targets: [...tried] });
        },
        targetLeaves: (targetId) => {
            log.info("target says that it leaves", { target: targetId });
        },
        targetPauses: (targetId, pauseMs) => {
            log.info("target asks for a pause", { target: targetId, pauseMs });
        },
    };
}

function describeEnd(end: AttemptEnd): string {
    return "why" in end ? `${end.kind}: ${end.why}` : end.kind;
}
