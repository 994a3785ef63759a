/** Every fault at every step once, with a fixed seed; `npm run matrix` prints the same as a table, and pairs too. */
import { expect } from "chai";
import { faults, notApplicable, runCase, steps } from "../support/matrix.js";

const seed = 1;

describe("fault matrix", function () {
    this.timeout(60_000);
    for (const fault of faults) {
        it(`${fault}: no double owner, no doubled order, no false answer, served again in time at every step`, async () => {
            for (const step of steps.filter((one) => notApplicable(fault, one) === undefined)) {
                for (const phase of ["before", "after"] as const) {
                    const result = await runCase({ fault, step, phase, seed });
                    const where = `${step} (${phase})`;
                    expect(result.reached, `${where} is reached`).to.equal(true);
                    expect(result.violations, where).to.deep.equal([]);
                    expect(result.longestGapMs, where).to.be.at.most(result.boundMs);
                }
            }
        });
    }
});
