import { expect } from "chai";
import { decideOwnerWait, maxOwnerWaitMs } from "../../src/forwarding/ownerWait.js";
import type { TargetId } from "../../src/model/names.js";

const target = "t" as TargetId;

/** Simulates the wait of a request while the status does not change; returns its duration and the retry delay. */
function simulateWait(
    status: Parameters<typeof decideOwnerWait>[0]["status"], budgetMs: number,
): { waitedMs: number; retryAfterMs: number } {
    for (let waitedMs = 0; ; waitedMs += 50) {
        const decision = decideOwnerWait({ status, waitedMs, maxWaitMs: maxOwnerWaitMs(status), remainingMs: budgetMs - waitedMs });
        if (decision.kind === "refuse") {
            return { waitedMs, retryAfterMs: decision.retryAfterMs };
        }
    }
}

describe("wait for an owner", () => {
    it("does not begin if a silent owner's lease outlasts the request's deadline", () => {
        expect(simulateWait({ kind: "silent", targetId: target, freeInMs: 2_500 }, 1_800)).to.deep.equal({ waitedMs: 0, retryAfterMs: 2_500 });
    });

    it("does not begin if a move is known to take longer than the deadline, as while the store is unavailable", () => {
        expect(simulateWait({ kind: "moving", freeInMs: 2_500 }, 1_800)).to.deep.equal({ waitedMs: 0, retryAfterMs: 2_500 });
    });

    it("is limited to 700 ms, and to the request's deadline, if the time until there is an owner is unknown", () => {
        expect(simulateWait({ kind: "moving", freeInMs: undefined }, 3_000).waitedMs).to.equal(700);
        expect(simulateWait({ kind: "unowned" }, 3_000).waitedMs).to.equal(700);
        expect(simulateWait({ kind: "moving", freeInMs: undefined }, 300).waitedMs).to.equal(300);
    });

    it("continues while an owner is expected before the deadline", () => {
        const first = { kind: "silent", targetId: target, freeInMs: 1_700 } as const;
        const now = { ...first, freeInMs: 900 };
        expect(decideOwnerWait({ status: now, waitedMs: 800, maxWaitMs: maxOwnerWaitMs(first), remainingMs: 1_000 }).kind).to.equal("wait");
    });

    it("ends 700 ms after a silent owner's keys should have been free, as while no ownership can be recorded", () => {
        expect(simulateWait({ kind: "silent", targetId: target, freeInMs: 0 }, 4_000).waitedMs).to.equal(700);
    });
});
