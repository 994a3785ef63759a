import { expect } from "chai";
import type { TargetId } from "../../src/model/names.js";
import type { CheckResult } from "../../src/reachability/reachabilityBelief.js";
import { ReachabilityBelief } from "../../src/reachability/reachabilityBelief.js";

const knownCount = 9;

function ids(...names: string[]): TargetId[] {
    return names as TargetId[];
}

function check(reached: string[], unreached: string[], reachedByPeers: string[], isPeerEvidence = true): CheckResult {
    return { reached: ids(...reached), unreached: ids(...unreached), reachedByPeers: ids(...reachedByPeers), isPeerEvidence };
}

describe("belief of a host that it is cut off from targets", () => {
    it("needs several targets that others reach and this host doesn't", () => {
        const belief = new ReachabilityBelief();
        expect(belief.record(check([], ["a"], ["a"]), knownCount, 0)).to.equal("none");
        expect(belief.pathTo(ids("a")[0]!, 0)).to.equal("severed");
        expect(belief.pathTo(ids("b")[0]!, 0)).to.equal("open");
        expect(belief.record(check([], ["a", "b", "c"], ["a", "b", "c"]), knownCount, 10)).to.equal("cut-off");
        expect(belief.pathTo(ids("never-checked")[0]!, 10)).to.equal("severed");
    });

    const otherCauses: Record<string, CheckResult> = {
        "most targets have crashed": check([], ["a", "b", "c", "d"], ["d"]),
        "all targets have crashed": check([], ["a", "b", "c", "d"], []),
        "a target's path is broken, others are sound": check(["b", "c", "d"], ["a"], ["a"]),
        "no other host answers": check([], ["a", "b", "c", "d"], [], false),
    };
    for (const [cause, result] of Object.entries(otherCauses)) {
        it(`does not arise when ${cause}`, () => {
            const belief = new ReachabilityBelief();
            expect(belief.record(result, knownCount, 0)).to.equal("none");
            expect(belief.cutOffSinceMs).to.equal(undefined);
        });
    }

    it("takes the only target for all", () => {
        expect(new ReachabilityBelief().record(check([], ["a"], ["a"]), 1, 0)).to.equal("cut-off");
    });

    it("ends once most of the targets that are checked are reached again", () => {
        const belief = new ReachabilityBelief();
        belief.record(check([], ["a", "b", "c"], ["a", "b", "c"]), knownCount, 0);
        expect(belief.record(check(["a"], ["b", "c"], ["b", "c"]), knownCount, 500)).to.equal("none");
        expect(belief.record(check(["b", "c"], ["a"], ["a"]), knownCount, 1_000)).to.equal("rejoined");
        expect(belief.hasBrokenPaths).to.equal(false);
    });

    it("takes a target that nobody reaches for down, and for a while only", () => {
        const belief = new ReachabilityBelief();
        belief.record(check([], ["a"], []), knownCount, 0);
        expect(belief.pathTo(ids("a")[0]!, 100)).to.equal("down");
        expect(belief.pathTo(ids("a")[0]!, 5_000)).to.equal("open");
    });
});
