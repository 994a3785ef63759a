import { expect } from "chai";
import fc from "fast-check";
import type { Key, KeyRange, TargetId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import { KeyLoads } from "../../src/ownership/keyLoads.js";
import type { OwnedRange } from "../../src/ownership/ownerMap.js";
import type { Move, PlannerInput, PlannerTarget, TargetStanding } from "../../src/ownership/planner.js";
import { gapsOf, planMoves } from "../../src/ownership/planner.js";
import { withoutRange } from "../../src/ownership/ranges.js";

const second = 1_000;

function target(name: string, standing: TargetStanding = "ready", capacity = 3): PlannerTarget {
    return { targetId: name as TargetId, standing, capacity };
}

function range(from: number, to: number): KeyRange {
    return { from: from as Key, to: to as Key };
}

function owned(name: string, from: number, to: number): OwnedRange {
    return { targetId: name as TargetId, ...range(from, to) };
}

/** Loads after requests at a steady rate: requests a second and work by key. */
function loadsOf(requests: readonly { key: number; perSecond: number; workMs: number }[], seconds = 6): KeyLoads {
    const loads = new KeyLoads();
    for (let step = 0; step < seconds * 10; step++) {
        const pairs = requests.flatMap(({ key, perSecond, workMs }) => [key, perSecond * workMs / 10]);
        loads.add(pairs, step * second / 10);
    }
    return loads;
}

/** Applies moves to owned ranges. */
function apply(ranges: readonly OwnedRange[], moves: readonly Move[]): OwnedRange[] {
    return moves.reduce<OwnedRange[]>((current, move) => [
        ...current.flatMap((one) => withoutRange([one], move.range).map((rest) => ({ ...rest, targetId: one.targetId }))),
        { ...move.range, targetId: move.to },
    ], [...ranges]);
}

function loadOf(loads: KeyLoads, ranges: readonly OwnedRange[], name: string): number {
    return ranges.filter(({ targetId }) => targetId === name).reduce((sum, one) => sum + loads.of(one), 0);
}

/** Nothing moves, and nothing moved a moment ago. */
const still: Pick<PlannerInput, "moving" | "settling" | "awaiting"> = { moving: [], settling: [], awaiting: new Set() };
const four = ["a", "b", "c", "d"];
const quarters = four.map((name, index) => owned(name, index * 16_384, index * 16_384 + 16_383));

describe("plan of the owners", () => {
    it("spreads all keys evenly when nobody owns any", () => {
        const moves = planMoves({ targets: four.map((name) => target(name)), ranges: [], loads: new KeyLoads(), ...still });
        expect(gapsOf(moves.map((move) => move.range))).to.deep.equal([]);
        expect(new Set(moves.map(({ to }) => to)).size).to.equal(4);
        expect(moves.every(({ range: { from, to } }) => to - from + 1 === (maxKey + 1) / 4)).to.equal(true);
    });

    it("covers what a lost target had, in pieces, without touching the rest", () => {
        const targets = [target("a", "free"), ...["b", "c", "d"].map((name) => target(name))];
        const loads = loadsOf([{ key: 100, perSecond: 10, workMs: 100 }, { key: 9_000, perSecond: 10, workMs: 100 }]);
        const moves = planMoves({ targets, ranges: quarters, loads, ...still });
        expect(moves.every(({ from, reason }) => from === undefined && reason === "unowned")).to.equal(true);
        expect(gapsOf(apply(quarters, moves))).to.deep.equal([]);
        expect(moves.every((move) => move.range.to <= 16_383 && move.to !== "a")).to.equal(true);
        expect(new Set(moves.map(({ to }) => to)).size).to.be.above(1);
    });

    it("takes the keys of a leaving target by release, and leaves those of an unsure one alone", () => {
        const targets = [target("a", "leaving"), target("b", "unsure"), target("c"), target("d")];
        const moves = planMoves({ targets, ranges: quarters, loads: new KeyLoads(), ...still });
        expect(moves.every(({ from, to, reason }) => from === "a" && ["c", "d"].includes(to) && reason === "leaving")).to.equal(true);
    });

    it("plans nothing for ranges that move already", () => {
        const targets = [target("a", "leaving"), target("b"), target("c"), target("d")];
        expect(planMoves({ targets, ranges: quarters, loads: new KeyLoads(), ...still, moving: [range(0, 16_383)] })).to.deep.equal([]);
    });

    it("leaves a balanced service alone, also when chance makes some keys busier", () => {
        const requests = Array.from({ length: 64 }, (_, index) => ({ key: index * 1_024, perSecond: 1 + index % 3, workMs: 50 }));
        const targets = four.map((name) => target(name));
        expect(planMoves({ targets, ranges: quarters, loads: loadsOf(requests), ...still })).to.deep.equal([]);
    });

    it("cuts a hot run of neighbouring keys over several targets, until none is full", () => {
        const hot = Array.from({ length: 60 }, (_, index) => ({ key: 5_000 + index, perSecond: 1.2, workMs: 90 }));
        const loads = loadsOf(hot);
        const targets = four.map((name) => target(name));
        let ranges: OwnedRange[] = [...quarters];
        for (let round = 0; round < 6; round++) {
            ranges = apply(ranges, planMoves({ targets, ranges, loads, ...still }));
        }
        expect(gapsOf(ranges)).to.deep.equal([]);
        four.forEach((name) => {
            expect(loadOf(loads, ranges, name) / 3, name).to.be.below(0.75);
        });
    });

    for (const { targetCount, cold, perSecondCold, perSecondHot, workMs } of [
        { targetCount: 60, cold: 600, perSecondCold: 0.6, perSecondHot: 2.2, workMs: 150 },
        { targetCount: 314, cold: 3_000, perSecondCold: 0.3, perSecondHot: 2.7, workMs: 400 },
    ]) {
        it(`spreads a hot run of neighbouring keys over ${String(targetCount)} targets within a second`, () => {
            const names = Array.from({ length: targetCount }, (_, index) => `t${String(index)}`);
            const width = 65_536 / names.length;
            const spacing = Math.floor(65_536 / cold);
            const loads = loadsOf([
                ...Array.from({ length: cold }, (_, index) => ({ key: index * spacing + 3, perSecond: perSecondCold, workMs })),
                ...Array.from({ length: 200 }, (_, index) => ({ key: 5_000 + index, perSecond: perSecondHot, workMs })),
            ]);
            const targets = names.map((name) => target(name));
            let ranges = names.map((name, index) => owned(name, Math.ceil(index * width), Math.ceil((index + 1) * width) - 1));
            for (let round = 0; round < 7; round++) {
                ranges = apply(ranges, planMoves({ targets, ranges, loads, ...still }));
            }
            const fullest = Math.max(...names.map((name) => loadOf(loads, ranges, name) / 3));
            expect(fullest).to.be.below(1);
        });
    }

    it("takes nothing from a target that is not full for one whose keys are cold", () => {
        const cold = { key: 50_000, perSecond: 0.2, workMs: 100 };
        const busy = [100, 17_000, 34_000].flatMap((from) =>
            [0, 1, 2, 3, 4].map((index) => ({ key: from + index, perSecond: 3, workMs: 100 })));
        const targets = four.map((name) => target(name));
        expect(planMoves({ targets, ranges: quarters, loads: loadsOf([...busy, cold]), ...still })).to.deep.equal([]);
    });

    it("leaves what has just moved where it is, and cuts the rest of its giver's range", () => {
        const hot = Array.from({ length: 60 }, (_, index) => ({ key: 5_000 + index, perSecond: 1.2, workMs: 90 }));
        const settling = [range(5_000, 5_019)];
        const moves = planMoves({ targets: four.map((name) => target(name)), ranges: quarters, loads: loadsOf(hot), ...still, settling });
        expect(moves).to.not.have.length(0);
        moves.forEach((move) => {
            expect(move.range.to < 5_000 || move.range.from > 5_019, JSON.stringify(move.range)).to.equal(true);
        });
    });

    it("puts a single key that fills more than one target on the quickest, and takes everything else off it", () => {
        const loads = loadsOf([{ key: 5_000, perSecond: 45, workMs: 90 }, ...[100, 9_000, 20_000, 40_000, 60_000].map((key) =>
            ({ key, perSecond: 8, workMs: 90 }))]);
        const targets = [target("a", "ready", 2.1), target("b"), target("c", "ready", 5), target("d")];
        let ranges: OwnedRange[] = [...quarters];
        for (let round = 0; round < 8; round++) {
            ranges = apply(ranges, planMoves({ targets, ranges, loads, ...still }));
        }
        expect(ranges.find(({ from, to }) => from <= 5_000 && to >= 5_000)?.targetId).to.equal("c");
        expect(loadOf(loads, ranges, "c")).to.be.below(4.6);
    });

    it("gives a target that has just joined some keys with requests on them", () => {
        const requests = Array.from({ length: 64 }, (_, index) => ({ key: index * 1_024 + 7, perSecond: 1.5, workMs: 50 }));
        const loads = loadsOf(requests);
        const moves = planMoves({ targets: [...four.map((name) => target(name)), target("new")], ranges: quarters, loads, ...still });
        expect(moves.some(({ to, reason }) => to === "new" && reason === "newcomer")).to.equal(true);
        expect(loadOf(loads, apply(quarters, moves), "new")).to.be.above(0.3);
    });

    it("gives targets that register one after the other before the first request their part", () => {
        const loads = new KeyLoads();
        loads.expect(0.3 * 6 * 3);
        let ranges: OwnedRange[] = [owned("a", 0, 32_767), owned("b", 32_768, maxKey)];
        const names = ["a", "b", "c", "d", "e", "f"];
        for (let round = 0; round < 4; round++) {
            ranges = apply(ranges, planMoves({ targets: names.map((name) => target(name)), ranges, loads, ...still }));
        }
        names.forEach((name) => {
            expect(loadOf(loads, ranges, name), name).to.be.within(0.4, 1.6);
        });
    });

    it("never loses or doubles a key, whatever stands and moves", () => {
        const standings: TargetStanding[] = ["ready", "unsure", "leaving", "free"];
        fc.assert(fc.property(
            fc.array(fc.constantFrom(...standings), { minLength: 4, maxLength: 4 }),
            fc.array(fc.record({
                key: fc.integer({ min: 0, max: maxKey }), perSecond: fc.integer({ min: 1, max: 40 }), workMs: fc.constant(90),
            }), { maxLength: 8 }),
            (standing, requests) => {
                const targets = four.map((name, index) => target(name, standing[index]));
                const moves = planMoves({ targets, ranges: quarters, loads: loadsOf(requests, 1), ...still });
                const after = apply(quarters, moves);
                expect(gapsOf(after)).to.deep.equal([]);
                expect(after.reduce((sum, { from, to }) => sum + to - from + 1, 0)).to.equal(maxKey + 1);
                moves.forEach(({ to }) => {
                    expect(targets.find(({ targetId }) => targetId === to)?.standing).to.equal("ready");
                });
            }), { numRuns: 60 });
    });
});

describe("load by key", () => {
    it("shows a key that turns hot within a few tenths of a second", () => {
        const loads = loadsOf([{ key: 1, perSecond: 5, workMs: 90 }], 10);
        for (let step = 1; step <= 4; step++) {
            loads.add([7, 5 * 90], 10_000 + step * 100);
        }
        expect(loads.of(range(7, 7))).to.be.above(2);
    });

    it("forgets a key that has cooled down", () => {
        const loads = loadsOf([{ key: 7, perSecond: 50, workMs: 90 }], 4);
        loads.decay(4_000 + 10_000);
        expect(loads.of(range(7, 7))).to.be.below(0.2);
    });

    it("takes what is expected beyond what was counted to be spread evenly", () => {
        const loads = loadsOf([{ key: 10, perSecond: 10, workMs: 100 }]);
        loads.expect(9);
        expect(loads.of(range(0, maxKey))).to.be.within(8.9, 9.1);
        expect(loads.of(range(32_768, maxKey))).to.be.within(3.9, 4.1);
        loads.expect(0.5);
        expect(loads.of(range(32_768, maxKey))).to.be.below(0.3);
    });

    it("finds how far a range reaches for some load", () => {
        const loads = loadsOf([{ key: 10, perSecond: 10, workMs: 100 }, { key: 20, perSecond: 10, workMs: 100 }]);
        expect(loads.endOfLoad(0 as Key, 100 as Key, 1.5)).to.equal(19);
        expect(loads.keysAbove(range(0, 100), 0.9)).to.deep.equal([10, 20]);
    });
});
