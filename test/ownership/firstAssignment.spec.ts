import { expect } from "chai";
import { FirstAssignment } from "../../src/ownership/firstAssignment.js";

/** Returns the first time at which the keys are to be assigned, and the number of targets registered by then. */
function firstDue(countAt: (nowMs: number) => number, requestsFromMs = Number.POSITIVE_INFINITY): { nowMs: number; count: number } {
    const assignment = new FirstAssignment();
    for (let nowMs = 0; ; nowMs += 50) {
        if (assignment.isDue(countAt(nowMs), nowMs >= requestsFromMs, nowMs)) {
            return { nowMs, count: countAt(nowMs) };
        }
    }
}

describe("first assignment of a service's keys", () => {
    it("waits while targets register one after the other", () => {
        const due = firstDue((nowMs) => Math.min(16, Math.floor(nowMs / 100)));
        expect(due.count).to.equal(16);
    });

    it("waits for more than three hundred targets that register over more than three seconds", () => {
        const due = firstDue((nowMs) => Math.min(314, Math.floor(nowMs / 460) * 45));
        expect(due.count).to.equal(314);
        expect(due.nowMs).to.be.below(4_500);
    });

    it("waits no longer than five seconds for late targets", () => {
        const due = firstDue((nowMs) => 1 + Math.floor(nowMs / 500));
        expect(due.nowMs).to.equal(5_000);
    });

    it("does not wait for late targets once a request has arrived", () => {
        const due = firstDue((nowMs) => 1 + Math.floor(nowMs / 500), 1_200);
        expect(due.nowMs).to.equal(1_200);
    });

    it("is never due without a target", () => {
        const assignment = new FirstAssignment();
        expect(assignment.isDue(0, true, 0)).to.equal(false);
        expect(assignment.isDue(0, true, 60_000)).to.equal(false);
    });
});
