import { expect } from "chai";
import type { Address, DataCentreId, Key, Offset, ServiceId, TargetId } from "../../src/model/names.js";
import type { HolderSet } from "../../src/ownership/holderSet.js";
import { KeyLoads } from "../../src/ownership/keyLoads.js";
import type { OwnedRange } from "../../src/ownership/ownerMap.js";
import { planMoves } from "../../src/ownership/planner.js";
import { withoutRange } from "../../src/ownership/ranges.js";
import { TargetStandings } from "../../src/ownership/targetStandings.js";
import { ClusterView } from "../../src/store/clusterView.js";

const slots = 3;
const keysPerTarget = 1_024;

/** Thirty-two targets that own equal parts of the keys; each fourth takes twice as long as usual, each fourth half as long again. */
function playLoad(use: number): { slow: number; quick: number } {
    const names = Array.from({ length: 32 }, (_, index) => `t${String(index)}` as TargetId);
    const slownessOf = (index: number) => index % 4 === 0 ? 2 : index % 4 === 1 ? 0.67 : 1;
    const view = new ClusterView();
    view.applyTargets(names.map((targetId, index) => ({ targetId, offset: index as Offset, entry: {
        targetId, serviceId: "s" as ServiceId, address: `${targetId}:1` as Address, dataCentreId: "a" as DataCentreId,
        slots, state: "ready" as const, bornWallMs: 1, sequence: 1, warmingUp: false,
    } })), 40 as Offset, 0);
    const holders = { get: () => ({ isSilent: false, isConnected: true }) } as unknown as HolderSet;
    const standings = new TargetStandings(view, holders, 0);
    const loads = new KeyLoads();
    const room = names.reduce((sum, _name, index) => sum + slots / slownessOf(index), 0);
    const keys = Array.from({ length: 640 }, (_, index) => index * 51 as Key);
    const perKeyMs = use * room * 100 / keys.length;
    let ranges: OwnedRange[] = names.map((targetId, index) =>
        ({ targetId, from: index * keysPerTarget as Key, to: (index + 1) * keysPerTarget - 1 as Key }));
    for (let step = 0; step < 60; step++) {
        loads.add(keys.flatMap((key) => [key, perKeyMs]), step * 100);
    }
    standings.addPressures(names.map((targetId, index) => ({ targetId, running: 1, waiting: 0, slowness: slownessOf(index) })), 6_000);
    for (let round = 0; round < 20; round++) {
        const targets = standings.forPlanner(names, loads.of({ from: 0 as Key, to: 32_767 as Key }), 6_000);
        const moves = planMoves({ targets, ranges, loads, moving: [], settling: [], awaiting: new Set() });
        ranges = moves.reduce<OwnedRange[]>((current, move) => [
            ...current.flatMap((one) => withoutRange([one], move.range).map((rest) => ({ ...rest, targetId: one.targetId }))),
            { ...move.range, targetId: move.to },
        ], ranges);
    }
    const useOf = (index: number) => ranges.filter(({ targetId }) => targetId === names[index])
        .reduce((sum, range) => sum + loads.of(range), 0) * slownessOf(index) / slots;
    const meanUse = (kind: number) => {
        const uses = names.map((_name, index) => index).filter((index) => index % 4 === kind).map(useOf);
        return uses.reduce((sum, of) => sum + of, 0) / uses.length;
    };
    return { slow: meanUse(0), quick: meanUse(1) };
}

describe("targets of different speed", () => {
    it("leave the slow ones mostly free while there is room elsewhere", () => {
        for (const use of [0.3, 0.5]) {
            const { slow, quick } = playLoad(use);
            expect(slow).to.be.below(quick * 0.75);
            expect(quick).to.be.below(0.75);
        }
    });

    it("are all used in proportion to their speed when the service is nearly full", () => {
        const { slow, quick } = playLoad(0.85);
        expect(slow).to.be.within(0.75, 0.95);
        expect(quick).to.be.within(0.75, 0.95);
    });
});
