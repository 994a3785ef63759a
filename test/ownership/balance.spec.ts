import { expect } from "chai";
import type { Shard, TargetId } from "../../src/model/ids.js";
import type { Cell } from "../../src/ownership/cell.js";
import type { ObservedWork } from "../../src/ownership/balance.js";
import { LoadBalancer, neededMoves } from "../../src/ownership/balance.js";

const servers = ["a", "b", "c"] as TargetId[];
const limits = { movesPerHour: 10, moveAboveRatio: 1.3, slots: 3 };
const settleMs = 2_000;

/** A cell of three servers with four shards each. */
function createCell(draining: TargetId[] = []): Cell {
    const shardsOf = (server: TargetId) => [0, 1, 2, 3].map((number) => servers.indexOf(server) * 4 + number as Shard);
    const reachableServers = () => servers.map((server) => ({
        server, shardCount: 4, draining: draining.includes(server), heldLast: false,
    }));
    return { shardsOf, reachableServers } as unknown as Cell;
}

function workOf(ratePerSecond: (shard: number) => number, slow?: TargetId): ObservedWork {
    return { ratePerSecond, serviceMs: (server) => server === slow ? 100 : 20 };
}

/** Moves after the imbalance has lasted. */
function movesOf(work: ObservedWork, changes: Partial<typeof limits> = {}) {
    const balancer = new LoadBalancer(settleMs);
    const first = balancer.nextMoves(createCell(), work, { ...limits, ...changes }, 0);
    expect(first).to.deep.equal([]);
    return balancer.nextMoves(createCell(), work, { ...limits, ...changes }, settleMs);
}

describe("LoadBalancer", () => {
    it("moves shards off a busy server, first the one that helps most", () => {
        const moves = movesOf(workOf((shard) => shard === 0 ? 60 : shard < 4 ? 30 : 10));
        expect(moves[0]).to.include({ shard: 0, reason: "load" });
    });

    it("counts a slow server as a busy one", () => {
        const moves = movesOf(workOf(() => 10, "b" as TargetId));
        expect(moves.length).to.be.greaterThan(0);
        expect(moves.every((move) => move.shard >= 4 && move.shard < 8)).to.equal(true);
    });

    it("leaves a quiet cell alone, however uneven it is", () => {
        expect(movesOf(workOf((shard) => shard === 0 ? 20 : 1))).to.deep.equal([]);
    });

    it("leaves alone what no move would mend: one key that is the whole load", () => {
        expect(movesOf(workOf((shard) => shard === 0 ? 200 : 0))).to.deep.equal([]);
    });

    it("keeps to its budget of moves", () => {
        const work = workOf((shard) => shard < 4 ? 40 : 5);
        expect(movesOf(work, { movesPerHour: 0 })).to.deep.equal([]);
        expect(movesOf(work, { movesPerHour: 1 })).to.have.length(1);
    });

    it("takes over a predecessor's spent budget", () => {
        const balancer = new LoadBalancer(0);
        balancer.adoptMoves([10, 20], 100);
        expect(balancer.moveAgesMs(130)).to.deep.equal([40, 50]);
        const work = workOf((shard) => shard < 4 ? 40 : 5);
        expect(balancer.nextMoves(createCell(), work, { ...limits, movesPerHour: 2 }, 130)).to.deep.equal([]);
        expect(balancer.nextMoves(createCell(), work, { ...limits, movesPerHour: 3 }, 130)).to.have.length(1);
    });
});

describe("neededMoves", () => {
    it("spreads the shards of a draining server, and leaves pinned ones to their pin", () => {
        const moves = neededMoves(createCell(["a" as TargetId]), new Map([[1 as Shard, "c" as TargetId]]), 0);
        expect(moves).to.deep.include({ shard: 1, to: "c", reason: "pinned" });
        const drained = moves.filter((move) => move.reason === "drain");
        expect(drained.map((move) => move.shard)).to.deep.equal([0, 2, 3]);
        expect(new Set(drained.map((move) => move.to)).size).to.equal(2);
    });
});
