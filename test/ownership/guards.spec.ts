/** Each guard of the ownership rules: with it taken out two servers own a shard, with it in place they do not. */
import { expect } from "chai";
import type { Incarnation, TargetId } from "../../src/model/ids.js";
import type { GuardsOut } from "../../src/model/guards.js";
import { LeaseHolder } from "../../src/ownership/leaseHolder.js";
import { cellBench, createBench, serve } from "../support/cellBench.js";
import { runCellModel } from "../support/cellModel.js";

const { leaseMs } = cellBench;

/** Seeds of the cell runs that turn red without a guard. */
const seedByGuard: Partial<Record<keyof GuardsOut, number>> = { fence: 8, sequence: 71, freshAnswers: 496, wait: 2 };

type FiveServers = [TargetId, TargetId, TargetId, TargetId, TargetId];

function ownerFirst(bench: ReturnType<typeof createBench>, nowMs: number): FiveServers {
    const [owner] = bench.owners(nowMs) as [TargetId];
    return [owner, ...cellBench.servers.filter((server) => server !== owner)] as FiveServers;
}

/** An older coordinator keeps its owner while a newer one, which cannot reach that owner, waits. */
function ownersAfterRestart(guardsOut: GuardsOut): number {
    const bench = createBench(guardsOut);
    const older = bench.createCell(1);
    let nowMs = serve(bench, older, 0);
    const [owner, second, third, fourth, fifth] = ownerFirst(bench, nowMs);
    bench.beat(older, nowMs, [owner, second, third]);
    const newer = bench.createCell(2);
    const newerReaches = [third, fourth, fifth];
    const startMs = nowMs + 1;
    let most = 0;
    for (nowMs = startMs; nowMs < startMs + 160; nowMs += 5) {
        if (nowMs === startMs + 50) {
            bench.holders.set(fifth, new LeaseHolder("2" as Incarnation, nowMs, guardsOut));
            bench.beat(older, nowMs, [fifth]);
        }
        bench.beat(older, nowMs, [owner, second]);
        bench.beat(newer, nowMs + 1, newerReaches);
        most = Math.max(most, bench.owners(nowMs + 2).length);
    }
    return most;
}

/** The owner is out of the older coordinator's sight, and a newer one renews it in place. */
function ownersAfterRenewalInPlace(guardsOut: GuardsOut): number {
    const bench = createBench(guardsOut);
    const older = bench.createCell(1);
    let nowMs = serve(bench, older, 0);
    const [owner, second, third, fourth, fifth] = ownerFirst(bench, nowMs);
    const startMs = nowMs;
    const newer = bench.createCell(2);
    let most = 0;
    for (; nowMs < startMs + leaseMs + 40; nowMs += 5) {
        const sinceMs = nowMs - startMs;
        bench.beat(older, nowMs, sinceMs <= 40 ? [second, third, fourth] : [second, third]);
        if (sinceMs >= 45) {
            bench.beat(newer, nowMs + 1, [owner, fourth, fifth]);
        }
        most = Math.max(most, bench.owners(nowMs + 2).length);
    }
    return most;
}

/** A coordinator that has lost its majority still renews its owner, which the newer one cannot reach. */
function ownersAfterLostMajority(guardsOut: GuardsOut): number {
    const bench = createBench(guardsOut);
    const older = bench.createCell(1);
    let nowMs = serve(bench, older, 0);
    const [owner, ...others] = ownerFirst(bench, nowMs);
    const newer = bench.createCell(2);
    let most = 0;
    for (const untilMs = nowMs + 2 * leaseMs; nowMs < untilMs; nowMs += 5) {
        bench.beat(older, nowMs, [owner]);
        bench.beat(newer, nowMs + 1, others);
        most = Math.max(most, bench.owners(nowMs + 2).length);
    }
    return most;
}

describe("guards of ownership", () => {
    const directed: [keyof GuardsOut, (guardsOut: GuardsOut) => number][] = [
        ["amnesia", ownersAfterRestart],
        ["freshMajority", ownersAfterRenewalInPlace],
        ["leaseCap", ownersAfterLostMajority],
    ];
    for (const [guard, ownersWithout] of directed) {
        it(`${guard}: two owners without it, one with it`, () => {
            expect(ownersWithout({ [guard]: true })).to.equal(2);
            expect(ownersWithout({})).to.equal(1);
        });
    }

    for (const [guard, seed] of Object.entries(seedByGuard)) {
        it(`${guard}: seed ${String(seed)} of the cell runs shows two owners without it, none with it`, () => {
            expect(runCellModel(seed, { [guard]: true }).violation).to.be.a("string");
            expect(runCellModel(seed).violation).to.equal(undefined);
        });
    }
});
