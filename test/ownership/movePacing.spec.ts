import { expect } from "chai";
import type { Key, TargetId } from "../../src/model/names.js";
import { MovePacing } from "../../src/ownership/movePacing.js";
import type { Move } from "../../src/ownership/plannerInput.js";

const limited = "limited" as TargetId;
const free = "free" as TargetId;

const move = (from: TargetId, key: number, reason: Move["reason"] = "balance"): Move =>
    ({ range: { from: key as Key, to: key as Key }, from, to: "other" as TargetId, reason });

describe("pacing of moves", () => {
    const rateLimitOf = (targetId: TargetId) => targetId === limited ? 1.5 : undefined;

    it("begins no more moves away from a target with a rate limit in four seconds than the limit leaves room for", () => {
        const pacing = new MovePacing();
        const planned = [1, 2, 3].map((key) => move(limited, key, "rate-limit")).concat(move(free, 4), move(free, 5));
        expect(pacing.select(planned, rateLimitOf, 0)).to.deep.equal([planned[0], planned[1], planned[3], planned[4]]);
        pacing.recordStart(limited, 0);
        pacing.recordStart(limited, 1_000);
        expect(pacing.select(planned, rateLimitOf, 3_999)).to.deep.equal([planned[3], planned[4]]);
        expect(pacing.select(planned, rateLimitOf, 4_000)).to.deep.equal([planned[0], planned[3], planned[4]]);
        expect(pacing.remaining(limited, 0, 9_000)).to.equal(1);
    });

    it("begins one move for balance away from such a target, and the next one four seconds later", () => {
        const pacing = new MovePacing();
        const planned = [move(limited, 1), move(limited, 2)];
        expect(pacing.select(planned, rateLimitOf, 0)).to.deep.equal([planned[0]]);
        pacing.recordStart(limited, 0);
        expect(pacing.select(planned, rateLimitOf, 3_999)).to.deep.equal([]);
        expect(pacing.select(planned, rateLimitOf, 4_000)).to.deep.equal([planned[0]]);
    });

    it("does not hold back the moves away from a leaving target", () => {
        const planned = [1, 2, 3, 4].map((key) => move(limited, key, "leaving"));
        expect(new MovePacing().select(planned, rateLimitOf, 0)).to.deep.equal(planned);
    });

    it("waits after a move that has failed", () => {
        const pacing = new MovePacing();
        pacing.recordFailure(free, 0);
        expect(pacing.select([move(free, 1)], rateLimitOf, 299)).to.deep.equal([]);
        expect(pacing.select([move(free, 1)], rateLimitOf, 300)).to.have.length(1);
    });
});
