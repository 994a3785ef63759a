import { expect } from "chai";
import type { AcceptBacklog, AcceptBacklogMonitor } from "../../src/entry/acceptBacklog.js";
import { createAcceptBacklogMonitor } from "../../src/entry/acceptBacklog.js";

/** Plays turns of an event loop: each accepts at most one connection, and takes a time. */
class SimulatedLoop {
    readonly reports: AcceptBacklog[] = [];
    nowMs = 0;
    readonly monitor: AcceptBacklogMonitor;
    private callbacks: (() => void)[] = [];

    constructor() {
        this.monitor = createAcceptBacklogMonitor({
            clock: { now: () => ({ monoMs: this.nowMs, wallMs: 0 }), sleep: () => Promise.resolve() },
            atTurnEnd: (callback) => this.callbacks.push(callback),
            onBacklog: (backlog) => this.reports.push({ ...backlog }),
        });
    }

    turn(accepts: boolean, tookMs: number): void {
        if (accepts) {
            this.monitor.onAccepted();
        }
        this.nowMs += tookMs;
        for (const callback of this.callbacks.splice(0)) {
            callback();
        }
    }
}

describe("monitor of the accept backlog", () => {
    it("reports a connection that nobody waited behind as a backlog of one turn", () => {
        const loop = new SimulatedLoop();
        loop.turn(true, 30);
        loop.turn(false, 5);
        expect(loop.reports).to.deep.equal([{ sinceMs: 0, turnCount: 1, longestTurnMs: 30, maxWaitMs: 30 }]);
        expect(loop.monitor.maxWaitMs(loop.nowMs)).to.equal(0);
    });

    it("bounds the wait by the time since which each turn has accepted a connection", () => {
        const loop = new SimulatedLoop();
        for (let turn = 0; turn < 4; turn += 1) {
            loop.turn(true, 100);
        }
        expect(loop.monitor.maxWaitMs(loop.nowMs)).to.equal(400);
        loop.turn(false, 1);
        expect(loop.monitor.maxWaitMs(loop.nowMs)).to.equal(0);
        expect(loop.reports).to.deep.equal([{ sinceMs: 0, turnCount: 4, longestTurnMs: 100, maxWaitMs: 400 }]);
    });

    it("reports a backlog that goes on about once a second", () => {
        const loop = new SimulatedLoop();
        for (let turn = 0; turn < 9; turn += 1) {
            loop.turn(true, 300);
        }
        expect(loop.reports.map(({ maxWaitMs }) => maxWaitMs)).to.deep.equal([1_200, 2_400]);
    });
});
