import { expect } from "chai";
import { runSoak } from "./soak.js";

/** Seeds that once failed, with the cause; KNOWN-RED.txt lists those that may still fail. */
const regressionSeeds: [seed: number, cause: string][] = [];

const testDurationMs = 8_000;

describe("random faults on real daemons", () => {
    for (const [seed, cause] of regressionSeeds) {
        it(`seed ${String(seed)}: ${cause}`, async () => {
            const { violations } = await runSoak(seed, testDurationMs);
            expect(violations).to.deep.equal([]);
        }).timeout(90_000);
    }

    it("seed 1: one owner of a key at a time, orders run at most once and never if refused, answers complete, full recovery", async () => {
        const { violations, answers } = await runSoak(1, testDurationMs);
        expect(violations).to.deep.equal([]);
        expect(answers["200"]).to.be.above(100);
    }).timeout(90_000);
});
