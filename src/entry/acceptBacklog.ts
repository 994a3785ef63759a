/**
 * Estimates the accept backlog of a listener: connections that the kernel has taken and this process has not. Node.js accepts one
 * connection of a listener in a turn of the event loop, so there may be a backlog as long as each turn accepts one, and no connection has
 * waited for longer than that has lasted.
 */
import type { Clock } from "../model/time.js";

/** A backlog is reported when it ends, and each time that it has lasted for this much longer. */
const reportIntervalMs = 1_000;

/** Turns of the event loop in a row, each of which accepted a connection. */
export interface AcceptBacklog {
    sinceMs: number;
    turnCount: number;
    longestTurnMs: number;
    /** Bound on the time that the connection accepted last has waited. */
    maxWaitMs: number;
}

/** Dependencies of the monitor. */
export interface AcceptBacklogMonitorDependencies {
    clock: Clock;
    /** Calls back at the end of this turn of the event loop. */
    atTurnEnd: (callback: () => void) => void;
    /** Called with each backlog that ends, and with one that goes on. */
    onBacklog: (backlog: AcceptBacklog) => void;
}

/** The monitor of one listener. */
export interface AcceptBacklogMonitor {
    /** Called when the listener has accepted a connection. */
    onAccepted(): void;
    /** Returns whether the last turn accepted a connection, so that others may be waiting. */
    mayExist(): boolean;
    /** Returns a bound on the time that connections wait now to be accepted; 0 if none waited lately. */
    maxWaitMs(nowMs: number): number;
}

/** Creates the monitor. */
export function createAcceptBacklogMonitor({ clock, atTurnEnd, onBacklog }: AcceptBacklogMonitorDependencies): AcceptBacklogMonitor {
    let backlog: AcceptBacklog | undefined;
    let hasAcceptedInTurn = false;
    let turnStartMs = 0;
    let reportedMs = 0;

    const endTurn = () => {
        const nowMs = clock.now().monoMs;
        if (backlog === undefined) {
            return;
        }
        if (!hasAcceptedInTurn) {
            onBacklog(backlog);
            backlog = undefined;
            return;
        }
        hasAcceptedInTurn = false;
        backlog.turnCount += 1;
        backlog.longestTurnMs = Math.max(backlog.longestTurnMs, nowMs - turnStartMs);
        backlog.maxWaitMs = nowMs - backlog.sinceMs;
        turnStartMs = nowMs;
        if (nowMs - reportedMs >= reportIntervalMs) {
            reportedMs = nowMs;
            onBacklog(backlog);
        }
        atTurnEnd(endTurn);
    };

    return {
        onAccepted: () => {
            hasAcceptedInTurn = true;
            if (backlog === undefined) {
                const sinceMs = clock.now().monoMs;
                backlog = { sinceMs, turnCount: 0, longestTurnMs: 0, maxWaitMs: 0 };
                turnStartMs = sinceMs;
                reportedMs = sinceMs;
                atTurnEnd(endTurn);
            }
        },
        mayExist: () => backlog !== undefined,
        maxWaitMs: (nowMs) => backlog === undefined || backlog.turnCount < 2 ? 0 : nowMs - backlog.sinceMs,
    };
}
