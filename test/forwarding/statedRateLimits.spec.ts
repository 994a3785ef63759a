import { expect } from "chai";
import { StatedRateLimits } from "../../src/forwarding/statedRateLimits.js";
import type { TargetId } from "../../src/model/names.js";

const target = { targetId: "t1" as TargetId, bornWallMs: 1 };
const stated = (requestsPerSecond: number) => ({ kind: "stated" as const, requestsPerSecond });

describe("rate limits stated to one host", () => {
    it("change, and end with a response to a request that was sent after the limit had been stated", () => {
        const limits = new StatedRateLimits();
        expect(limits.record(target, stated(3), 0, 10)).to.deep.equal({ kind: "stated", requestsPerSecond: 3, previousPerSecond: undefined });
        expect(limits.record(target, stated(3), 5, 20)).to.equal(undefined);
        expect(limits.record(target, { kind: "none" }, 15, 25), "a response that was overtaken").to.equal(undefined);
        expect(limits.find(target, 30)).to.deep.equal({ ...target, requestsPerSecond: 3, ageMs: 10 });
        expect(limits.record(target, stated(1.5), 30, 40)).to.deep.equal({ kind: "stated", requestsPerSecond: 1.5, previousPerSecond: 3 });
        expect(limits.record(target, { kind: "none" }, 45, 50)).to.deep.equal({ kind: "ended", previousPerSecond: 1.5 });
        expect(limits.find(target, 60)).to.equal(undefined);
    });

    it("stay in force when a response states something unreadable", () => {
        const limits = new StatedRateLimits();
        limits.record(target, stated(3), 0, 10);
        const unreadable = { kind: "unreadable" as const, text: "soon" };
        expect(limits.record(target, unreadable, 20, 30)).to.deep.equal(unreadable);
        expect(limits.record(target, unreadable, 20, 30), "reported once").to.equal(undefined);
        expect(limits.record(target, { ...unreadable, text: "-1" }, 20, 30)?.kind).to.equal("unreadable");
        expect(limits.find(target, 30)?.requestsPerSecond).to.equal(3);
    });

    it("do not apply to a later process of the target", () => {
        const limits = new StatedRateLimits();
        limits.record(target, stated(3), 0, 10);
        expect(limits.find({ ...target, bornWallMs: 2 }, 20)).to.equal(undefined);
    });
});
