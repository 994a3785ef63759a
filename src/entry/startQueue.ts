/**
 * Queue of requests that have been read and not begun. Serving keeps a turn of the event loop busy, and each turn accepts one connection;
 * so while connections wait to be accepted, some turns only accept and read, and requests wait here, where their age is known.
 */
import type { Clock } from "../model/time.js";

/** Time in a turn in which requests begin; the others wait for the next turn, so that sockets are polled in between. */
const sliceMs = 20;

/** Most turns in a row, and most time, in which no request begins because connections wait; with `sliceMs` half of the time at most. */
const maxDeferredTurns = 16;
const maxDeferredMs = sliceMs;

/** Share of the time for which its client waits after which a request that has not begun is refused. */
const maxWaitShare = 1 / 3;

/** As `maxWaitShare`, for a request whose client states no time. */
const defaultMaxWaitMs = 1_000;

/** Least delay after which a request that was refused may be sent again. */
const minRetryAfterMs = 250;

/** A request that has not begun. */
export interface QueuedRequest {
    /** Time for which the client waits; undefined if it states none. */
    budgetMs: number | undefined;
    start: () => void;
    /** Called in place of `start` if the request has waited, or would wait, for too long. */
    refuse: (waitMs: number, retryAfterMs: number) => void;
}

/** Dependencies of the queue. */
export interface StartQueueDependencies {
    clock: Clock;
    /** Calls back at the end of this turn of the event loop; in the next turn if this one is at its end already. */
    atTurnEnd: (callback: () => void) => void;
    /** Returns whether connections may be waiting to be accepted. */
    doConnectionsWait: () => boolean;
}

/** The queue of one listener. */
export interface StartQueue {
    /**
     * Adds a request. It begins a turn later at the earliest: on an overloaded host a client may have left before its request is read, and
     * the end of its connection is then read in the next turn.
     */
    add(request: QueuedRequest): void;
}

interface WaitingRequest extends QueuedRequest {
    addedMs: number;
}

/** Creates the queue. */
export function createStartQueue({ clock, atTurnEnd, doConnectionsWait }: StartQueueDependencies): StartQueue {
    const waiting: WaitingRequest[] = [];
    let isScheduled = false;
    let deferredTurnCount = 0;
    let deferredSinceMs = 0;
    let sliceStartMs: number | undefined;

    /** Decides whether no request begins in the next turn, in favour of connections that wait. */
    const defersStarts = (nowMs: number): boolean => {
        if (deferredTurnCount === 0) {
            deferredSinceMs = nowMs;
        }
        const isDeferred = doConnectionsWait() && deferredTurnCount < maxDeferredTurns && nowMs - deferredSinceMs < maxDeferredMs;
        deferredTurnCount = isDeferred ? deferredTurnCount + 1 : 0;
        return isDeferred;
    };

    const startNext = () => {
        const nowMs = clock.now().monoMs;
        sliceStartMs ??= nowMs;
        if (nowMs - sliceStartMs >= sliceMs) {
            return;
        }
        const request = waiting.shift();
        if (request === undefined) {
            return;
        }
        const waitMs = nowMs - request.addedMs;
        if (waitMs > maxWaitMs(request)) {
            request.refuse(waitMs, Math.max(minRetryAfterMs, waitMs));
        }
        else {
            request.start();
        }
    };

    const endTurn = () => {
        isScheduled = waiting.length > 0;
        if (!isScheduled) {
            return;
        }
        if (!defersStarts(clock.now().monoMs)) {
            sliceStartMs = undefined;
            // Each begins in a callback of its own: its promise jobs run before the next callback reads the clock.
            for (let count = waiting.length; count > 0; count -= 1) {
                atTurnEnd(startNext);
            }
        }
        atTurnEnd(endTurn);
    };

    return {
        add: (request) => {
            const nowMs = clock.now().monoMs;
            const headWaitMs = nowMs - (waiting[0]?.addedMs ?? nowMs);
            if (headWaitMs > maxWaitMs(request)) {
                request.refuse(0, headWaitMs);
                return;
            }
            waiting.push({ ...request, addedMs: nowMs });
            if (!isScheduled) {
                isScheduled = true;
                atTurnEnd(endTurn);
            }
        },
    };
}

function maxWaitMs({ budgetMs }: QueuedRequest): number {
    return budgetMs === undefined ? defaultMaxWaitMs : budgetMs * maxWaitShare;
}
