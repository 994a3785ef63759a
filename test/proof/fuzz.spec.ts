/** A fixed set of seeds of the stateful fuzzing; `npm run fuzz` runs more. */
import { expect } from "chai";
import { fuzzWorld } from "../support/fuzzCommands.js";
import { runCellModel } from "../support/cellModel.js";

const runsPerSeed = 6;
const cellRuns = 400;

describe("stateful fuzzing", function () {
    this.timeout(120_000);
    for (const seed of [11, 12, 13]) {
        it(`finds nothing with seed ${String(seed)}`, async () => {
            const report = await fuzzWorld({ seed, runs: runsPerSeed, maxCommands: 100 });
            expect(report.failed, report.text).to.equal(false);
            expect(report.done).to.be.greaterThan(0);
        });
    }

    it(`finds no two owners in ${String(cellRuns)} random runs of one cell`, () => {
        const violations = Array.from({ length: cellRuns }, (_, run) => runCellModel(run).violation).filter((found) => found !== undefined);
        expect(violations).to.deep.equal([]);
    });
});
