import { expect } from "chai";
import { longestWaitMs, waitForOwner } from "../../src/forwarding/ownerWait.js";
import type { TargetId } from "../../src/model/names.js";

const target = "t" as TargetId;

/** Waits as a request would, while the status stays; gives how long it waited and when it may come back. */
function heldFor(status: Parameters<typeof waitForOwner>[0]["status"], budgetMs: number): { waitedMs: number; retryAfterMs: number } {
    for (let waitedMs = 0; ; waitedMs += 50) {
        const step = waitForOwner({ status, waitedMs, longestMs: longestWaitMs(status), leftMs: budgetMs - waitedMs });
        if (step.kind === "refuse") {
            return { waitedMs, retryAfterMs: step.retryAfterMs };
        }
    }
}

describe("wait for an owner", () => {
    it("is not begun when a silent owner's lease outlasts the request", () => {
        expect(heldFor({ kind: "silent", targetId: target, freeInMs: 2_500 }, 1_800)).to.deep.equal({ waitedMs: 0, retryAfterMs: 2_500 });
    });

    it("is not begun for a range whose move is stuck, as while the store is down", () => {
        expect(heldFor({ kind: "moving", freeInMs: 2_500 }, 1_800)).to.deep.equal({ waitedMs: 0, retryAfterMs: 2_500 });
    });

    it("lasts as long as a move may take, and no longer, when nobody says how long", () => {
        expect(heldFor({ kind: "moving", freeInMs: undefined }, 3_000).waitedMs).to.equal(700);
        expect(heldFor({ kind: "unowned" }, 3_000).waitedMs).to.equal(700);
        expect(heldFor({ kind: "moving", freeInMs: undefined }, 300).waitedMs).to.equal(300);
    });

    it("goes on while there will be an owner in time", () => {
        const first = { kind: "silent", targetId: target, freeInMs: 1_700 } as const;
        const now = { ...first, freeInMs: 900 };
        expect(waitForOwner({ status: now, waitedMs: 800, longestMs: longestWaitMs(first), leftMs: 1_000 }).kind).to.equal("wait");
    });

    it("ends soon after the time at which a silent owner's keys should have been free, as while nothing can be recorded", () => {
        expect(heldFor({ kind: "silent", targetId: target, freeInMs: 0 }, 4_000).waitedMs).to.equal(700);
    });
});
