/** Records in the log and in the metrics how a listener accepts connections, and what readiness checks are told. */
import type { AcceptBacklog } from "../entry/acceptBacklog.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";

/** Connections that may have waited longer than this to be accepted leave a line in the log. */
const loggedWaitMs = 250;

/**
 * Creates a function that records a backlog of connections that may have waited to be accepted.
 * @param listener name of the listener in the metrics
 */
export function createAcceptBacklogRecorder(listener: "clients" | "peers", log: Log, metrics: Metrics): (series: AcceptBacklog) => void {
    return ({ turnCount, longestTurnMs, maxWaitMs }) => {
        metrics.acceptWaitMs.observe({ listener }, maxWaitMs);
        if (maxWaitMs > loggedWaitMs) {
            log.warn("connections wait to be accepted", {
                forMs: Math.round(maxWaitMs), turnCount, longestTurnMs: Math.round(longestTurnMs),
            });
        }
    };
}

/** Creates a function that records that a listener could not accept a connection. */
export function createAcceptErrorRecorder(log: Log, metrics: Metrics): (error: NodeJS.ErrnoException) => void {
    return ({ code, message }) => {
        metrics.acceptErrors.inc({ code: code ?? "unknown" });
        log.error("accepting a connection failed", { code, why: message });
    };
}

/** State of the host beside an answer to a readiness check. */
export interface ReadinessState {
    /** Connections accepted so far from clients and readiness checks. */
    acceptedCount: number;
    /** Connections of clients that are open. */
    openCount: number;
    /** Bound on the time that connections wait to be accepted. */
    acceptWaitMs: number;
}

/**
 * Creates a function that records one answer to a readiness check: each in the metrics, those that differ from the one before in the log.
 * @param stateNow reads the state for the line in the log
 */
export function createReadinessRecorder(log: Log, metrics: Metrics, stateNow: () => ReadinessState): (why: string | undefined) => void {
    let last: string | undefined;
    return (why) => {
        const answer = why ?? "ready";
        metrics.readinessAnswers.inc({ answer });
        if (answer !== last) {
            last = answer;
            log.info("readiness changed", { ready: why === undefined, why, ...stateNow() });
        }
    };
}
