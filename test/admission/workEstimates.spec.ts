import { expect } from "chai";
import { WorkDistribution, WorkEstimates } from "../../src/admission/workEstimates.js";
import { oddNumbers } from "../support/oddValues.js";
import { SeededRandom } from "../support/seededRandom.js";

/** Observes requests of 20 sending hosts; `drawMs` returns the work time of each. */
function observed(count: number, drawMs: (random: SeededRandom) => number): WorkDistribution {
    const random = new SeededRandom(11);
    const work = new WorkDistribution(0, 100);
    for (let index = 0; index < count; index++) {
        work.observe(drawMs(random), 1, `host-${String(index % 20)}`);
    }
    return work;
}

describe("work estimates", () => {
    it("expect less remaining work the longer a request has run if work times are uniform", () => {
        const work = observed(2_000, (random) => 50 + random.uniform() * 100);
        expect(work.meanMs).to.be.closeTo(100, 6);
        expect(work.residualMs(0)).to.equal(work.meanMs);
        expect(work.residualMs(60)).to.be.closeTo(45, 8);
        expect(work.residualMs(120)).to.be.closeTo(15, 6);
    });

    it("expect the most remaining work of the requests that have run longest if few are very long, which the mean less the elapsed time puts at 0", () => {
        const work = observed(5_000, (random) => random.chance(0.03) ? 700 : 80 + random.uniform() * 40);
        expect(work.residualMs(200)).to.be.closeTo(500, 60);
        expect(work.residualMs(200)).to.be.above(work.residualMs(0) * 3);
        expect(work.shareAbove(2 * work.meanMs)).to.be.closeTo(0.03, 0.01);
    });

    it("count of a long request no more than one mean work time for the wait for a slot, since it keeps only its own slot", () => {
        const work = observed(5_000, (random) => random.chance(0.03) ? 700 : 80 + random.uniform() * 40);
        expect(work.nearResidualMs(200)).to.be.closeTo(work.meanMs, work.meanMs * 0.1);
        expect(work.nearResidualMs(0)).to.be.within(work.meanMs * 0.7, work.meanMs);
        expect(work.nearResidualMs(90)).to.be.below(work.meanMs * 0.5);
    });

    it("expect work to remain even beyond all that has been seen", () => {
        const work = observed(2_000, () => 100);
        expect(work.residualMs(5_000)).to.be.above(1_000);
        expect(work.residualMs(5_000)).to.be.below(2_000);
    });

    it("keep their mean when one sending host reports requests of 30 times the usual work", () => {
        const random = new SeededRandom(3);
        const work = new WorkDistribution(0, 100);
        for (let index = 0; index < 4_000; index++) {
            work.observe(100, 1, `host-${String(index % 20)}`);
            if (random.chance(0.9)) {
                work.observe(3_000, 1, "loud");
            }
        }
        // Unlimited, the share of the loud host would be 0.47 and the mean about 1,470 ms.
        expect(work.meanMs).to.be.below(1_000);
        expect(Math.exp(work.meanLog)).to.be.below(400);
    });

    it("ignore observations that no clock can have measured, and bound the effect of absurd ones", () => {
        const work = observed(500, () => 100);
        const before = [work.meanMs, work.residualMs(50), work.meanLog];
        for (const odd of [Number.NaN, Number.POSITIVE_INFINITY, -1, -1e9]) {
            work.observe(odd, 1, "host-1");
            work.observe(100, odd === -1e9 ? Number.NaN : odd, "host-1");
        }
        expect([work.meanMs, work.residualMs(50), work.meanLog].map((value) => value.toFixed(6)))
            .to.deep.equal(before.map((value) => value.toFixed(6)));
        work.observe(1e9, 1, "host-2");
        work.observe(1e300, 1e-5, "host-3");
        for (let index = 0; index < 16; index++) {
            work.observe(100, 1, `host-${String(index)}`);
        }
        expect(work.meanMs).to.be.below(250);
    });

    it("return finite estimates for any elapsed time, as after a step of the clock", () => {
        const work = observed(100, () => 100);
        for (const odd of [...oddNumbers, Number.NaN, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, -1e12, 1e12]) {
            const elapsedMs = Number(odd);
            for (const value of [work.residualMs(elapsedMs), work.nearResidualMs(elapsedMs)]) {
                expect(Number.isFinite(value) && value >= 0, `${String(odd)}: ${String(value)}`).to.equal(true);
            }
        }
        for (const typicalMs of [Number.NaN, Number.POSITIVE_INFINITY, -5, 0, 1e300]) {
            expect(new WorkDistribution(0, typicalMs).meanMs).to.satisfy((value: number) => Number.isFinite(value) && value > 0);
        }
    });

    it("keep a bounded number of kinds", () => {
        const estimates = new WorkEstimates();
        const indexes = new Set<number>();
        for (let index = 0; index < 10_000; index++) {
            indexes.add(estimates.ofKind(`kind ${String(index)}`, 100).index);
        }
        expect(indexes.size).to.equal(65);
        expect(estimates.ofKind("kind 3", 100)).to.equal(estimates.ofKind("kind 3", 5));
    });
});
