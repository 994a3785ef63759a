import { expect } from "chai";
import fc from "fast-check";
import { iterateSorted } from "../../src/model/iterateSorted.js";

describe("sorted iteration", () => {
    it("yields items in the order of a stable sort", () => {
        const item = fc.record({ rank: fc.integer({ min: 0, max: 5 }), name: fc.string() });
        fc.assert(fc.property(fc.array(item, { maxLength: 20 }), (items) => {
            const compare = (left: { rank: number }, right: { rank: number }) => left.rank - right.rank;
            expect([...iterateSorted(items, compare)]).to.deep.equal([...items].sort(compare));
        }));
    });

    it("needs fewer comparisons than there are items when only the first item is taken", () => {
        let comparisonCount = 0;
        const items = Array.from({ length: 1_000 }, (_, index) => (index * 7_919) % 1_000);
        const [first] = iterateSorted(items, (left, right) => {
            comparisonCount += 1;
            return left - right;
        });
        expect(first).to.equal(0);
        expect(comparisonCount).to.be.below(items.length);
    });
});
