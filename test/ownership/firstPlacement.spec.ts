import { expect } from "chai";
import { FirstPlacement } from "../../src/ownership/firstPlacement.js";

/** Counts of registered targets over time; gives the first time at which the keys are given out, and to how many. */
function firstDue(countAt: (nowMs: number) => number): { nowMs: number; count: number } {
    const placement = new FirstPlacement();
    for (let nowMs = 0; ; nowMs += 50) {
        if (placement.isDue(countAt(nowMs), nowMs)) {
            return { nowMs, count: countAt(nowMs) };
        }
    }
}

describe("first placement", () => {
    it("waits while targets register one after the other", () => {
        const due = firstDue((nowMs) => Math.min(16, Math.floor(nowMs / 100)));
        expect(due.count).to.equal(16);
    });

    it("does not wait for stragglers for ever", () => {
        const due = firstDue((nowMs) => 1 + Math.floor(nowMs / 500));
        expect(due.nowMs).to.equal(2_000);
    });

    it("is never due without a target", () => {
        const placement = new FirstPlacement();
        expect(placement.isDue(0, 0)).to.equal(false);
        expect(placement.isDue(0, 60_000)).to.equal(false);
    });
});
