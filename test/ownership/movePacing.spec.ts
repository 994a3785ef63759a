import { expect } from "chai";
import type { Key, TargetId } from "../../src/model/names.js";
import { MovePacing } from "../../src/ownership/movePacing.js";
import type { Move } from "../../src/ownership/planner.js";

const move = (from: string, key: number, reason: Move["reason"] = "balance"): Move =>
    ({ range: { from: key as Key, to: key as Key }, from: from as TargetId, to: "other" as TargetId, reason });

describe("pacing of moves", () => {
    const isRateLimited = (targetId: TargetId) => targetId === "limited";

    it("begins one move away from a target with a rate limit at a time, then none for four seconds", () => {
        const pacing = new MovePacing();
        const planned = [move("limited", 1), move("limited", 2), move("free", 3), move("free", 4)];
        expect(pacing.select(planned, isRateLimited, 0)).to.deep.equal([planned[0], planned[2], planned[3]]);
        pacing.recordRateLimitedStart("limited" as TargetId, 0);
        expect(pacing.select(planned, isRateLimited, 3_999)).to.deep.equal([planned[2], planned[3]]);
        expect(pacing.select(planned, isRateLimited, 4_000)).to.have.length(3);
    });

    it("does not hold back the moves away from a leaving target", () => {
        const planned = [move("limited", 1, "leaving"), move("limited", 2, "leaving")];
        expect(new MovePacing().select(planned, isRateLimited, 0)).to.deep.equal(planned);
    });

    it("waits after a move that has failed", () => {
        const pacing = new MovePacing();
        pacing.recordFailure("free" as TargetId, 0);
        expect(pacing.select([move("free", 1)], isRateLimited, 299)).to.deep.equal([]);
        expect(pacing.select([move("free", 1)], isRateLimited, 300)).to.have.length(1);
    });
});
