import { expect } from "chai";
import fc from "fast-check";
import type { Key, KeyRange, TargetId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import { KeyLoads } from "../../src/ownership/keyLoads.js";
import type { OwnedRange } from "../../src/ownership/ownerMap.js";
import type { Move, PlannerInput, PlannerTarget, TargetStanding } from "../../src/ownership/plannerInput.js";
import { gapsOf, planMoves } from "../../src/ownership/planner.js";
import { withoutRange } from "../../src/ownership/ranges.js";

const second = 1_000;

function target(name: string, standing: TargetStanding = "ready", capacity = 3): PlannerTarget {
    return { targetId: name as TargetId, standing, capacity, isRateLimited: false, maxMoves: Number.POSITIVE_INFINITY };
}

function range(from: number, to: number): KeyRange {
    return { from: from as Key, to: to as Key };
}

function owned(name: string, from: number, to: number): OwnedRange {
    return { targetId: name as TargetId, ...range(from, to) };
}

/** Loads after requests at a constant rate by key. */
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
    return ranges.filter(({ targetId }) => targetId === name).reduce((sum, one) => sum + loads.loadOf(one), 0);
}

/** No range is moving or has moved recently. */
const noMoves: Pick<PlannerInput, "moving" | "recentlyMoved" | "moveDestinations"> =
    { moving: [], recentlyMoved: [], moveDestinations: new Set() };
const targetNames = ["a", "b", "c", "d"];
const quarters = targetNames.map((name, index) => owned(name, index * 16_384, index * 16_384 + 16_383));

describe("planMoves", () => {
    it("distributes all keys evenly when none has an owner", () => {
        const moves = planMoves({ targets: targetNames.map((name) => target(name)), ranges: [], loads: new KeyLoads(), ...noMoves });
        expect(gapsOf(moves.map((move) => move.range))).to.deep.equal([]);
        expect(new Set(moves.map(({ to }) => to)).size).to.equal(4);
        expect(moves.every(({ range: { from, to } }) => to - from + 1 === (maxKey + 1) / 4)).to.equal(true);
    });

    it("reassigns the keys of a lost target in pieces and moves no other keys", () => {
        const targets = [target("a", "free"), ...["b", "c", "d"].map((name) => target(name))];
        const loads = loadsOf([{ key: 100, perSecond: 10, workMs: 100 }, { key: 9_000, perSecond: 10, workMs: 100 }]);
        const moves = planMoves({ targets, ranges: quarters, loads, ...noMoves });
        expect(moves.every(({ from, reason }) => from === undefined && reason === "unowned")).to.equal(true);
        expect(gapsOf(apply(quarters, moves))).to.deep.equal([]);
        expect(moves.every((move) => move.range.to <= 16_383 && move.to !== "a")).to.equal(true);
        expect(new Set(moves.map(({ to }) => to)).size).to.be.above(1);
    });

    it("cuts the range of a lost target into as many pieces as its load needs, whatever the number of targets", () => {
        const pieceCounts = [2, 3, 4, 5, 6].map((count) => {
            const others = Array.from({ length: count }, (_, index) => target(`other-${String(index)}`));
            const ranges = others.map(({ targetId }, index) => owned(targetId, 16_384 + index, 16_384 + index));
            return planMoves({
                targets: [target("lost", "free"), ...others], loads: new KeyLoads(), ...noMoves,
                ranges: [owned("lost", 0, 16_383), ...ranges, owned("other-0", 16_384 + count, maxKey)],
            }).length;
        });
        expect(pieceCounts).to.deep.equal([1, 1, 1, 1, 1]);
    });

    it("moves the keys of a leaving target away from it, and none of a target whose state is uncertain", () => {
        const targets = [target("a", "leaving"), target("b", "unsure"), target("c"), target("d")];
        const moves = planMoves({ targets, ranges: quarters, loads: new KeyLoads(), ...noMoves });
        expect(moves.every(({ from, to, reason }) => from === "a" && ["c", "d"].includes(to) && reason === "leaving")).to.equal(true);
    });

    it("plans no move for ranges that are being moved", () => {
        const targets = [target("a", "leaving"), target("b"), target("c"), target("d")];
        expect(planMoves({ targets, ranges: quarters, loads: new KeyLoads(), ...noMoves, moving: [range(0, 16_383)] })).to.deep.equal([]);
    });

    it("plans no move for a balanced service, even if some keys have a little more load", () => {
        const requests = Array.from({ length: 64 }, (_, index) => ({ key: index * 1_024, perSecond: 1 + index % 3, workMs: 50 }));
        const targets = targetNames.map((name) => target(name));
        expect(planMoves({ targets, ranges: quarters, loads: loadsOf(requests), ...noMoves })).to.deep.equal([]);
    });

    it("distributes a hot run of neighbouring keys over several targets, until none is overloaded", () => {
        const hot = Array.from({ length: 60 }, (_, index) => ({ key: 5_000 + index, perSecond: 1.2, workMs: 90 }));
        const loads = loadsOf(hot);
        const targets = targetNames.map((name) => target(name));
        let ranges: OwnedRange[] = [...quarters];
        for (let round = 0; round < 6; round++) {
            ranges = apply(ranges, planMoves({ targets, ranges, loads, ...noMoves }));
        }
        expect(gapsOf(ranges)).to.deep.equal([]);
        targetNames.forEach((name) => {
            expect(loadOf(loads, ranges, name) / 3, name).to.be.below(0.75);
        });
    });

    for (const { targetCount, coldKeys, perSecondCold, perSecondHot, workMs } of [
        { targetCount: 60, coldKeys: 600, perSecondCold: 0.6, perSecondHot: 2.2, workMs: 150 },
        { targetCount: 314, coldKeys: 3_000, perSecondCold: 0.3, perSecondHot: 2.7, workMs: 400 },
    ]) {
        it(`distributes a hot run of neighbouring keys over ${String(targetCount)} targets within a second (seven rounds of planning)`, () => {
            const names = Array.from({ length: targetCount }, (_, index) => `t${String(index)}`);
            const width = 65_536 / names.length;
            const spacing = Math.floor(65_536 / coldKeys);
            const loads = loadsOf([
                ...Array.from({ length: coldKeys }, (_, index) => ({ key: index * spacing + 3, perSecond: perSecondCold, workMs })),
                ...Array.from({ length: 200 }, (_, index) => ({ key: 5_000 + index, perSecond: perSecondHot, workMs })),
            ]);
            const targets = names.map((name) => target(name));
            let ranges = names.map((name, index) => owned(name, Math.ceil(index * width), Math.ceil((index + 1) * width) - 1));
            for (let round = 0; round < 7; round++) {
                ranges = apply(ranges, planMoves({ targets, ranges, loads, ...noMoves }));
            }
            const maxUtilization = Math.max(...names.map((name) => loadOf(loads, ranges, name) / 3));
            expect(maxUtilization).to.be.below(1);
        });
    }

    describe("with a target whose rate limit is below its load", () => {
        const requests = Array.from({ length: 128 }, (_, index) => ({ key: index * 512, perSecond: 0.45, workMs: 100 }));
        const loads = loadsOf(requests);
        const limited = (name: string, maxMoves: number) => ({ ...target(name, "ready", 0.17), isRateLimited: true, maxMoves });
        const others = ["b", "c", "d"].map((name) => target(name));

        it("moves all its keys to targets without one, in no more moves than may begin", () => {
            for (const maxMoves of [1, 3, 20]) {
                const moves = planMoves({ targets: [limited("a", maxMoves), ...others], ranges: quarters, loads, ...noMoves });
                expect(moves.length).to.be.within(1, maxMoves);
                expect(moves.every(({ from, to, reason }) => from === "a" && to !== "a" && reason === "rate-limit")).to.equal(true);
                expect(apply(quarters, moves).filter(({ targetId }) => targetId === "a")).to.deep.equal([]);
            }
        });

        it("moves no more than the excess if the limit is high enough to keep keys, and nothing below it", () => {
            const moderate = (capacity: number) => ({ ...limited("a", 4), capacity });
            const before = loadOf(loads, quarters, "a");
            const moves = planMoves({ targets: [moderate(before * 0.8), ...others], ranges: quarters, loads, ...noMoves });
            const relieved = apply(quarters, moves);
            expect(loadOf(loads, relieved, "a")).to.be.within(before * 0.3, before * 0.9);
            expect(planMoves({ targets: [moderate(before * 1.1), ...others], ranges: quarters, loads, ...noMoves })).to.deep.equal([]);
        });

        it("moves the most loaded of its ranges first when few moves may begin", () => {
            const ranges = [owned("a", 0, 599), owned("a", 600, 16_383), ...quarters.slice(1)];
            const moves = planMoves({ targets: [limited("a", 1), ...others], ranges, loads, ...noMoves });
            expect(moves.map(({ range: { from, to } }) => [from, to])).to.deep.equal([[600, 16_383]]);
        });

        it("moves none back to it, and none from one limited target to another", () => {
            const emptied = apply(quarters, [{ range: range(0, 16_383), from: "a" as TargetId, to: "b" as TargetId, reason: "balance" }]);
            const both = [limited("a", 4), limited("b", 4), ...others.slice(1)];
            for (const targets of [[limited("a", 4), ...others], both]) {
                const moves = planMoves({ targets, ranges: emptied, loads, ...noMoves });
                expect(moves.filter(({ to }) => to === "a" || to === targets.find(({ isRateLimited }) => isRateLimited)?.targetId)).to.deep.equal([]);
            }
        });

        it("lets it keep keys when the others have no room for them", () => {
            const targets = [limited("a", 20), ...["b", "c", "d"].map((name) => target(name, "ready", 1.6))];
            const moves = planMoves({ targets, ranges: quarters, loads, ...noMoves });
            expect(apply(quarters, moves).some(({ targetId }) => targetId === "a")).to.equal(true);
        });
    });

    it("moves no keys from a target that needs no relief to one that owns keys with little load", () => {
        const cold = { key: 50_000, perSecond: 0.2, workMs: 100 };
        const busy = [100, 17_000, 34_000].flatMap((from) =>
            [0, 1, 2, 3, 4].map((index) => ({ key: from + index, perSecond: 3, workMs: 100 })));
        const targets = targetNames.map((name) => target(name));
        expect(planMoves({ targets, ranges: quarters, loads: loadsOf([...busy, cold]), ...noMoves })).to.deep.equal([]);
    });

    it("does not move a range that has moved recently, and cuts the rest of the source's range", () => {
        const hot = Array.from({ length: 60 }, (_, index) => ({ key: 5_000 + index, perSecond: 1.2, workMs: 90 }));
        const recentlyMoved = [range(5_000, 5_019)];
        const moves = planMoves({
            targets: targetNames.map((name) => target(name)), ranges: quarters, loads: loadsOf(hot), ...noMoves, recentlyMoved,
        });
        expect(moves).to.not.have.length(0);
        moves.forEach((move) => {
            expect(move.range.to < 5_000 || move.range.from > 5_019, JSON.stringify(move.range)).to.equal(true);
        });
    });

    it("assigns a single key that overloads most targets to the one with the most capacity, and moves other keys off that one", () => {
        const loads = loadsOf([{ key: 5_000, perSecond: 45, workMs: 90 }, ...[100, 9_000, 20_000, 40_000, 60_000].map((key) =>
            ({ key, perSecond: 8, workMs: 90 }))]);
        const targets = [target("a", "ready", 2.1), target("b"), target("c", "ready", 5), target("d")];
        let ranges: OwnedRange[] = [...quarters];
        for (let round = 0; round < 8; round++) {
            ranges = apply(ranges, planMoves({ targets, ranges, loads, ...noMoves }));
        }
        expect(ranges.find(({ from, to }) => from <= 5_000 && to >= 5_000)?.targetId).to.equal("c");
        expect(loadOf(loads, ranges, "c")).to.be.below(4.6);
    });

    it("moves keys with load to a newly joined target", () => {
        const requests = Array.from({ length: 64 }, (_, index) => ({ key: index * 1_024 + 7, perSecond: 1.5, workMs: 50 }));
        const loads = loadsOf(requests);
        const moves = planMoves({ targets: [...targetNames.map((name) => target(name)), target("new")], ranges: quarters, loads, ...noMoves });
        expect(moves.some(({ to, reason }) => to === "new" && reason === "newcomer")).to.equal(true);
        expect(loadOf(loads, apply(quarters, moves), "new")).to.be.above(0.3);
    });

    it("gives every target a share of the keys when targets register one after the other before the first request", () => {
        const loads = new KeyLoads();
        loads.setExpectedLoad(0.3 * 6 * 3);
        let ranges: OwnedRange[] = [owned("a", 0, 32_767), owned("b", 32_768, maxKey)];
        const names = ["a", "b", "c", "d", "e", "f"];
        for (let round = 0; round < 4; round++) {
            ranges = apply(ranges, planMoves({ targets: names.map((name) => target(name)), ranges, loads, ...noMoves }));
        }
        names.forEach((name) => {
            expect(loadOf(loads, ranges, name), name).to.be.within(0.4, 1.6);
        });
    });

    it("neither loses nor duplicates a key, for any standing of the targets and any load", () => {
        const standings: TargetStanding[] = ["ready", "unsure", "leaving", "free"];
        fc.assert(fc.property(
            fc.array(fc.constantFrom(...standings), { minLength: 4, maxLength: 4 }),
            fc.array(fc.record({
                key: fc.integer({ min: 0, max: maxKey }), perSecond: fc.integer({ min: 1, max: 40 }), workMs: fc.constant(90),
            }), { maxLength: 8 }),
            (standing, requests) => {
                const targets = targetNames.map((name, index) => target(name, standing[index]));
                const moves = planMoves({ targets, ranges: quarters, loads: loadsOf(requests, 1), ...noMoves });
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
    it("shows the load of a key that becomes hot within a few tenths of a second", () => {
        const loads = loadsOf([{ key: 1, perSecond: 5, workMs: 90 }], 10);
        for (let step = 1; step <= 4; step++) {
            loads.add([7, 5 * 90], 10_000 + step * 100);
        }
        expect(loads.loadOf(range(7, 7))).to.be.above(2);
    });

    it("shows work that is added within the millisecond of the last evaluation", () => {
        const loads = loadsOf([{ key: 1, perSecond: 5, workMs: 90 }], 10);
        const nowMs = 10_000;
        loads.advanceTo(nowMs);
        const before = loads.loadOf(range(7, 7));
        loads.add([7, 4 * 300], nowMs);
        expect(loads.loadOf(range(7, 7)) - before).to.be.above(1);
    });

    it("drops the load of a key that receives no more requests", () => {
        const loads = loadsOf([{ key: 7, perSecond: 50, workMs: 90 }], 4);
        loads.advanceTo(4_000 + 10_000);
        expect(loads.loadOf(range(7, 7))).to.be.below(0.2);
    });

    it("spreads expected load that has not been counted evenly over all keys", () => {
        const loads = loadsOf([{ key: 10, perSecond: 10, workMs: 100 }]);
        loads.setExpectedLoad(9);
        expect(loads.loadOf(range(0, maxKey))).to.be.within(8.9, 9.1);
        expect(loads.loadOf(range(32_768, maxKey))).to.be.within(3.9, 4.1);
        loads.setExpectedLoad(0.5);
        expect(loads.loadOf(range(32_768, maxKey))).to.be.below(0.3);
    });

    it("finds the end of a range with a given load, and the keys above a given load", () => {
        const loads = loadsOf([{ key: 10, perSecond: 10, workMs: 100 }, { key: 20, perSecond: 10, workMs: 100 }]);
        expect(loads.lastKeyWithinLoad(0 as Key, 100 as Key, 1.5)).to.equal(19);
        expect(loads.keysAbove(range(0, 100), 0.9)).to.deep.equal([10, 20]);
    });

    it("agrees with the loads of the single keys, however much work is added to how many keys, and when", () => {
        const lastKey = 60;
        const keyLimit = 0.3;
        const additions = fc.array(fc.record({
            pairs: fc.array(fc.tuple(fc.nat(lastKey), fc.nat(2_000)), { maxLength: 20 }), afterMs: fc.nat(60_000),
        }), { maxLength: 5 });
        fc.assert(fc.property(additions, fc.nat(lastKey), fc.nat(lastKey), fc.nat(10), (steps, oneEnd, otherEnd, load) => {
            const loads = new KeyLoads();
            const checked = range(Math.min(oneEnd, otherEnd), Math.max(oneEnd, otherEnd));
            const keys = Array.from({ length: checked.to - checked.from + 1 }, (_, index) => (checked.from + index) as Key);
            let nowMs = 0;
            for (const { pairs, afterMs } of steps) {
                nowMs += afterMs;
                loads.add(pairs.flat(), nowMs);
                const ownLoads = keys.map((key) => loads.loadOf(range(key, key)));
                const whole = ownLoads.reduce((sum, ownLoad) => sum + ownLoad, 0);
                expect(loads.loadOf(checked)).to.be.closeTo(whole, 1e-9);
                expect(loads.keysAbove(checked, keyLimit).every((key) => loads.loadOf(range(key, key)) >= keyLimit)).to.equal(true);
                const last = loads.lastKeyWithinLoad(checked.from, checked.to, load);
                expect(last === checked.from || loads.loadOf(range(checked.from, last)) <= load + 1e-9).to.equal(true);
                expect(last === checked.to || loads.loadOf(range(checked.from, last + 1)) > load - 1e-9).to.equal(true);
            }
        }));
    });

    it("counts work on the first and the last key, and on every key", () => {
        const loads = new KeyLoads();
        loads.add([0, 1_000, maxKey, 1_000], 0);
        expect(loads.keysAbove(range(0, maxKey), 0.1)).to.deep.equal([0, maxKey]);
        loads.add(Array.from({ length: maxKey + 1 }, (_, key) => [key, 1_000]).flat(), 0);
        expect(loads.keysAbove(range(0, maxKey), 0.1)).to.have.length(maxKey + 1);
        expect(loads.loadOf(range(0, maxKey))).to.be.closeTo(2 * loads.loadOf(range(0, 32_767)), 1e-6);
    });
});
