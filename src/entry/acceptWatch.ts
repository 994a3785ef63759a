/**
 * Watches whether connections wait until this host accepts them. Node.js accepts one connection of a listener in a turn of the event loop,
 * so others may wait while each turn accepts one. Such turns in a row are a series; no connection has waited for longer than it has lasted.
 */
import type { Clock } from "../model/time.js";

/** A series is reported when it ends, and each time that it has gone on for this long. */
const reportIntervalMs = 1_000;

/** Turns of the event loop in a row, each of which accepted a connection. */
export interface AcceptSeries {
    startedMs: number;
    turnCount: number;
    longestTurnMs: number;
    /** Bound on the time that the connection accepted last has waited. */
    lastedMs: number;
}

/** Dependencies of the watch. */
export interface AcceptWatchDependencies {
    clock: Clock;
    /** Calls back at the end of this turn of the event loop. */
    atTurnEnd: (callback: () => void) => void;
    /** Called with each series that ends, and with one that goes on. */
    onSeries: (series: AcceptSeries) => void;
}

/** The watch of one listener. */
export interface AcceptWatch {
    /** Called when the listener has accepted a connection. */
    onAccepted(): void;
    /** Returns whether a connection was accepted in the last turn, so that others may be waiting. */
    isInSeries(): boolean;
    /** Returns a bound on the time that connections wait now to be accepted; 0 if none waited lately. */
    waitMs(nowMs: number): number;
}

/** Creates the watch. */
export function createAcceptWatch({ clock, atTurnEnd, onSeries }: AcceptWatchDependencies): AcceptWatch {
    let series: AcceptSeries | undefined;
    let hasAcceptedInTurn = false;
    let turnStartMs = 0;
    let reportedMs = 0;

    const endTurn = () => {
        const nowMs = clock.now().monoMs;
        if (series === undefined) {
            return;
        }
        if (!hasAcceptedInTurn) {
            onSeries(series);
            series = undefined;
            return;
        }
        hasAcceptedInTurn = false;
        series.turnCount += 1;
        series.longestTurnMs = Math.max(series.longestTurnMs, nowMs - turnStartMs);
        series.lastedMs = nowMs - series.startedMs;
        turnStartMs = nowMs;
        if (nowMs - reportedMs >= reportIntervalMs) {
            reportedMs = nowMs;
            onSeries(series);
        }
        atTurnEnd(endTurn);
    };

    return {
        onAccepted: () => {
            hasAcceptedInTurn = true;
            if (series === undefined) {
                const startedMs = clock.now().monoMs;
                series = { startedMs, turnCount: 0, longestTurnMs: 0, lastedMs: 0 };
                turnStartMs = startedMs;
                reportedMs = startedMs;
                atTurnEnd(endTurn);
            }
        },
        isInSeries: () => series !== undefined,
        waitMs: (nowMs) => series === undefined || series.turnCount < 2 ? 0 : nowMs - series.startedMs,
    };
}
