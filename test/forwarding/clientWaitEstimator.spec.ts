import { expect } from "chai";
import { ClientWaitEstimator } from "../../src/forwarding/clientWaitEstimator.js";
import { SeededRandom } from "../support/seededRandom.js";

const kind = "read";

/** Creates an estimator that has seen 200 first attempts with budgets of 2.1 to 2.5 s. */
function createEstimator(nowMs = 0): ClientWaitEstimator {
    const estimator = new ClientWaitEstimator();
    const random = new SeededRandom(3);
    for (let count = 0; count < 200; count++) {
        estimator.estimateWaitMs(kind, 2_100 + 400 * random.uniform(), nowMs);
    }
    return estimator;
}

describe("estimated waiting times of clients", () => {
    it("are 0 for attempts with about the typical budget, even after a recent refusal", () => {
        const estimator = createEstimator();
        estimator.recordRefusal(kind, 0);
        for (const budgetMs of [2_100, 2_200, 2_300, 2_400, 2_500]) {
            expect(estimator.estimateWaitMs(kind, budgetMs, 10)).to.equal(0);
        }
    });

    it("are above 0 for attempts with a smaller budget, but only after a recent refusal of the same kind of request", () => {
        const estimator = createEstimator();
        expect(estimator.estimateWaitMs(kind, 1_500, 10)).to.equal(0);
        estimator.recordRefusal(kind, 20);
        expect(estimator.estimateWaitMs(kind, 1_500, 30)).to.be.within(600, 1_000);
        expect(estimator.estimateWaitMs("other", 1_500, 30)).to.equal(0);
        expect(estimator.estimateWaitMs(kind, 1_500, 10_000)).to.equal(0);
    });

    it("still tell first attempts from retries when two of three attempts are retries", () => {
        const estimator = createEstimator();
        const random = new SeededRandom(4);
        for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
            estimator.recordRefusal(kind, nowMs);
            estimator.estimateWaitMs(kind, 1_400 + 250 * random.uniform(), nowMs);
            estimator.estimateWaitMs(kind, 600 + 400 * random.uniform(), nowMs);
            expect(estimator.estimateWaitMs(kind, 2_100 + 400 * random.uniform(), nowMs)).to.equal(0);
        }
        expect(estimator.estimateWaitMs(kind, 1_400, 5_000)).to.be.above(400);
    });

    it("are hardly affected by single extreme budgets, and are 0 for an attempt without a budget", () => {
        const estimator = createEstimator();
        estimator.recordRefusal(kind, 0);
        estimator.estimateWaitMs(kind, 1e12, 1);
        estimator.estimateWaitMs(kind, 0, 2);
        expect(estimator.estimateWaitMs(kind, 2_100, 3)).to.equal(0);
        expect(estimator.estimateWaitMs(kind, undefined, 4)).to.equal(0);
    });
});
