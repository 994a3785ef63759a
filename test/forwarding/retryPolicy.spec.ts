import { expect } from "chai";
import { RetryBudget } from "../../src/admission/retryBudget.js";
import type { AttemptEnd } from "../../src/forwarding/attemptEnds.js";
import { withoutHopByHop } from "../../src/entry/hopByHop.js";
import type { RetrySituation } from "../../src/forwarding/retryPolicy.js";
import { nextStep } from "../../src/forwarding/retryPolicy.js";
import { WorkTimes } from "../../src/forwarding/workTimes.js";

function answered(status: number): AttemptEnd {
    return { kind: "answered", tookMs: 1, answer: { head: { status, reasonPhrase: "", rawHeaders: [], bodyBytes: 0 }, body: Buffer.alloc(0) } };
}

function situation(end: AttemptEnd, overrides: Partial<RetrySituation> = {}): RetrySituation {
    return {
        end, idempotent: true, isReplayable: true, attemptCount: 1, hasAttemptsLeft: true, remainingMs: 500, expectedMs: 100,
        takeRetry: () => true,
        ...overrides,
    };
}

const lost: AttemptEnd = { kind: "lost", why: "reset" };
const turnedAway: AttemptEnd = { kind: "turned-away", status: 503 };

describe("next step after an attempt", () => {
    it("never retries a non-idempotent request that may have run", () => {
        const ends: AttemptEnd[] = [lost, { kind: "timed-out" }, { kind: "broken-off", why: "reset" }, answered(500), answered(200)];
        for (const end of ends) {
            expect(nextStep(situation(end, { idempotent: false })), end.kind).not.to.equal("retry");
        }
    });

    it("reports a request that may have run as failed, not as refused", () => {
        expect(nextStep(situation(lost, { idempotent: false }))).to.equal("fail");
        expect(nextStep(situation({ kind: "timed-out" }, { idempotent: false }))).to.equal("fail");
        expect(nextStep(situation(lost, { takeRetry: () => false }))).to.equal("fail");
    });

    it("retries a request that did not run, idempotent or not, while time, retry budget, attempts and its body are available", () => {
        for (const idempotent of [true, false]) {
            expect(nextStep(situation(turnedAway, { idempotent }))).to.equal("retry");
            expect(nextStep(situation(turnedAway, { idempotent, remainingMs: 50 }))).to.equal("refuse");
            expect(nextStep(situation(turnedAway, { idempotent, takeRetry: () => false }))).to.equal("refuse");
            expect(nextStep(situation(turnedAway, { idempotent, hasAttemptsLeft: false }))).to.equal("refuse");
            expect(nextStep(situation(turnedAway, { idempotent, isReplayable: false }))).to.equal("refuse");
        }
    });

    it("delivers a target's error response if the request must not be retried", () => {
        expect(nextStep(situation(answered(500)))).to.equal("retry");
        expect(nextStep(situation(answered(500), { hasAttemptsLeft: false }))).to.equal("deliver");
        expect(nextStep(situation(answered(500), { idempotent: false }))).to.equal("deliver");
        expect(nextStep(situation(answered(404)))).to.equal("deliver");
    });

    it("does nothing after the client has left", () => {
        expect(nextStep(situation({ kind: "client-left" }))).to.equal("none");
    });
});

describe("retry budget", () => {
    it("allows the configured ratio of retries to first attempts, and a limited burst in addition", () => {
        const budget = new RetryBudget(0.2, () => 5);
        let retries = 0;
        for (let request = 0; request < 1_000; request++) {
            budget.onFirstAttempt();
            while (budget.tryRetry()) {
                retries += 1;
            }
        }
        expect(retries).to.be.within(199, 205);
    });

    it("shrinks when it is shared by more hosts", () => {
        let hosts = 1;
        const budget = new RetryBudget(0.5, () => 10 / hosts);
        for (let request = 0; request < 40; request++) {
            budget.onFirstAttempt();
        }
        hosts = 5;
        expect([1, 2, 3].filter(() => budget.tryRetry())).to.have.length(2);
    });

    it("allows a few retries at first, however large the burst is that it would allow", () => {
        const budget = new RetryBudget(0, () => 100);
        const taken = Array.from({ length: 100 }, () => budget.tryRetry()).filter((isTaken) => isTaken);
        expect(taken).to.have.length(5);
    });
});

describe("hop-by-hop headers", () => {
    it("are removed, including those listed in a Connection header; other headers are kept", () => {
        const raw = ["Host", "a", "Connection", "close, X-Own", "X-Own", "1", "Keep-Alive", "timeout=5", "Transfer-Encoding", "chunked", "X-Other", "2", "Hidden", "3"];
        expect(withoutHopByHop(raw, new Set(["hidden"]))).to.deep.equal(["Host", "a", "X-Other", "2"]);
    });
});

describe("work times", () => {
    it("start at the typical duration, follow the observed ones, and are not shifted by one stuck target", () => {
        const times = new WorkTimes();
        expect(times.meanMs("read", 105)).to.equal(105);
        for (let count = 0; count < 200; count++) {
            times.observe("read", count % 20 === 0 ? 10_000 : 90, 105);
        }
        expect(times.meanMs("read", 105)).to.be.within(85, 115);
    });
});
