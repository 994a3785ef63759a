import { expect } from "chai";
import type { AcceptSeries, AcceptWatch } from "../../src/entry/acceptWatch.js";
import { createAcceptWatch } from "../../src/entry/acceptWatch.js";

/** Plays turns of an event loop: each accepts at most one connection, and takes a time. */
class PlayedLoop {
    readonly reports: AcceptSeries[] = [];
    nowMs = 0;
    readonly watch: AcceptWatch;
    private callbacks: (() => void)[] = [];

    constructor() {
        this.watch = createAcceptWatch({
            clock: { now: () => ({ monoMs: this.nowMs, wallMs: 0 }), sleep: () => Promise.resolve() },
            atTurnEnd: (callback) => this.callbacks.push(callback),
            onSeries: (series) => this.reports.push({ ...series }),
        });
    }

    turn(accepts: boolean, tookMs: number): void {
        if (accepts) {
            this.watch.onAccepted();
        }
        this.nowMs += tookMs;
        for (const callback of this.callbacks.splice(0)) {
            callback();
        }
    }
}

describe("watch of accepted connections", () => {
    it("reports a connection that nobody waited behind as a series of one turn", () => {
        const loop = new PlayedLoop();
        loop.turn(true, 30);
        loop.turn(false, 5);
        expect(loop.reports).to.deep.equal([{ startedMs: 0, turnCount: 1, longestTurnMs: 30, lastedMs: 30 }]);
        expect(loop.watch.waitMs(loop.nowMs)).to.equal(0);
    });

    it("bounds the wait by the time since which each turn has accepted a connection", () => {
        const loop = new PlayedLoop();
        for (let turn = 0; turn < 4; turn += 1) {
            loop.turn(true, 100);
        }
        expect(loop.watch.waitMs(loop.nowMs)).to.equal(400);
        loop.turn(false, 1);
        expect(loop.watch.waitMs(loop.nowMs)).to.equal(0);
        expect(loop.reports).to.deep.equal([{ startedMs: 0, turnCount: 4, longestTurnMs: 100, lastedMs: 400 }]);
    });

    it("reports a series that goes on about once a second", () => {
        const loop = new PlayedLoop();
        for (let turn = 0; turn < 9; turn += 1) {
            loop.turn(true, 300);
        }
        expect(loop.reports.map(({ lastedMs }) => lastedMs)).to.deep.equal([1_200, 2_400]);
    });
});
