import { expect } from "chai";
import type { Fingerprint } from "../../src/crashes/requestFingerprint.js";
import type { Trial, TrialParams } from "../../src/crashes/trial.js";
import { countTrials, quarantineRemainingMs, trialTimes } from "../../src/crashes/trial.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const content = "deadly" as Fingerprint;

/** A trial granted at 20 s whose outcome is due 3 s later. */
function trial(changes: Partial<Trial> = {}): Trial {
    return { fingerprint: content, number: 1, excessCount: 0, grantedMs: 20_000, expectedMs: 400, outcomeWithinMs: 3_000, ...changes };
}

/** Time until which a request is refused that crashed its last target at 0. */
function refusedUntilMs(last: Trial | undefined, excessCount = 0, lastCrashMs = 0): number {
    const nowMs = 24_000;
    return nowMs + quarantineRemainingMs({ lastCrashMs, excessCount, trial: last }, nowMs);
}

describe("a trial after a quarantine", () => {
    it("is due 15 s after the crash that led to the quarantine", () => {
        expect(quarantineRemainingMs({ lastCrashMs: 1_000, excessCount: 0, trial: undefined }, 15_999)).to.equal(1);
        expect(quarantineRemainingMs({ lastCrashMs: 1_000, excessCount: 0, trial: undefined }, 16_000)).to.equal(0);
    });

    it("leads to a longer quarantine if the request crashes its target again", () => {
        expect(refusedUntilMs(trial(), 1, 20_050)).to.equal(20_050 + 10 * minuteMs);
    });

    it("is used up if nothing is known of its outcome, and the next one is due only after a further quarantine", () => {
        expect(refusedUntilMs(trial())).to.equal(23_000 + 15_000);
        expect(refusedUntilMs(trial({ number: 2 }))).to.equal(23_000 + 10 * minuteMs);
        expect(refusedUntilMs(trial({ number: 3 }))).to.equal(23_000 + 4 * hourMs);
        expect(refusedUntilMs(trial({ number: 9 }))).to.equal(23_000 + 4 * hourMs);
    });

    it("lets at most three runs happen in four hours, whatever becomes of them", () => {
        for (const outcomes of [[0, 0, 0], [1, 0, 0], [0, 1, 0], [1, 1, 0], [1, 1, 1], [0, 0, 1]]) {
            let excessCount = 0;
            let nowMs = 15_000;
            let last: Trial | undefined;
            let lastCrashMs = 0;
            const runsMs: number[] = [];
            while (nowMs < 4 * hourMs) {
                runsMs.push(nowMs);
                last = trial({ number: runsMs.length, excessCount, grantedMs: nowMs });
                if (outcomes[runsMs.length - 1] === 1) {
                    excessCount += 1;
                    lastCrashMs = nowMs + 50;
                }
                nowMs += 3_000;
                nowMs += quarantineRemainingMs({ lastCrashMs, excessCount, trial: last }, nowMs);
            }
            expect(runsMs.length, outcomes.join()).to.be.at.most(3);
        }
    });

    it("lets at most three runs happen in four hours, however many trials are given back between them", () => {
        let last: Trial | undefined;
        let nowMs = 15_000;
        let runCount = 0;
        let returnedCount = 0;
        for (let granted = 1; nowMs < 4 * hourMs; granted++) {
            const isReturned = granted % 4 !== 0;
            last = trial({ number: countTrials(last) + 1, grantedMs: nowMs, ...isReturned ? { isReturned } : {} });
            runCount += isReturned ? 0 : 1;
            returnedCount += isReturned ? 1 : 0;
            const remainingMs = quarantineRemainingMs({ lastCrashMs: 0, excessCount: 0, trial: last }, nowMs);
            nowMs += remainingMs;
            nowMs += quarantineRemainingMs({ lastCrashMs: 0, excessCount: 0, trial: last }, nowMs + 3_000) + 3_000;
        }
        expect([runCount, returnedCount]).to.deep.equal([3, 9]);
    });

    it("has others come back when it will probably have ended, and soon again if it has not", () => {
        const remainingMs = (nowMs: number) => quarantineRemainingMs({ lastCrashMs: 0, excessCount: 0, trial: trial() }, nowMs);
        expect([20_000, 20_100, 20_390, 22_900].map(remainingMs)).to.deep.equal([400, 300, 250, 250]);
    });

    it("is expected to take as long as its work and the news of it, and not longer than its client waits", () => {
        const params: TrialParams = { content, exact: content, expectedMs: 140.4, deadlineLeftMs: 2_000 };
        expect(trialTimes(params)).to.deep.equal({ expectedMs: 390, outcomeWithinMs: 3_000 });
        expect(trialTimes({ ...params, expectedMs: 9_000 })).to.deep.equal({ expectedMs: 3_000, outcomeWithinMs: 3_000 });
        expect(trialTimes({ ...params, deadlineLeftMs: hourMs }).outcomeWithinMs).to.equal(minuteMs);
    });
});
