import { expect } from "chai";
import type { TargetId } from "../../src/model/ids.js";
import type { LeaseHolder } from "../../src/ownership/leaseHolder.js";
import { cellBench, createBench, serve } from "../support/cellBench.js";

const { shard, leaseMs, servers } = cellBench;

describe("Cell", () => {
    it("grants at once when every server answers that it holds nothing", () => {
        const bench = createBench();
        const cell = bench.createCell(1);
        expect(serve(bench, cell, 0)).to.be.at.most(50);
        expect(bench.owners(50)).to.have.length(1);
    });

    it("waits a whole lease when a server does not answer", () => {
        const bench = createBench();
        const cell = bench.createCell(1);
        for (let nowMs = 0; nowMs < leaseMs; nowMs += 10) {
            bench.beat(cell, nowMs, servers.slice(0, 4));
            expect(bench.owners(nowMs)).to.deep.equal([]);
        }
        bench.beat(cell, leaseMs + 1, servers.slice(0, 4));
        bench.beat(cell, leaseMs + 2, servers.slice(0, 4));
        bench.beat(cell, leaseMs + 3, servers.slice(0, 4));
        expect(bench.owners(leaseMs + 3)).to.have.length(1);
    });

    it("keeps a shard where a successor finds it", () => {
        const bench = createBench();
        const nowMs = serve(bench, bench.createCell(1), 0);
        const before = bench.owners(nowMs);
        const successor = bench.createCell(2);
        serve(bench, successor, nowMs);
        expect(bench.owners(nowMs + 10)).to.deep.equal(before);
        expect(successor.takeEvents().map((event) => event.cause)).to.deep.equal(["kept"]);
    });

    it("moves a shard of a lost server within a lease and a heartbeat", () => {
        const bench = createBench();
        const cell = bench.createCell(1);
        let nowMs = serve(bench, cell, 0);
        const [lost] = bench.owners(nowMs);
        const others = servers.filter((server) => server !== lost);
        const lostMs = nowMs;
        while (cell.servingOwner(shard, nowMs) === undefined || cell.servingOwner(shard, nowMs) === lost) {
            nowMs += 10;
            bench.beat(cell, nowMs, others);
            expect(bench.owners(nowMs).length).to.be.at.most(1);
        }
        expect(nowMs - lostMs).to.be.at.most(leaseMs + 40);
    });

    it("grants again when the owner answers that its lease has lapsed", () => {
        const bench = createBench();
        const cell = bench.createCell(1);
        let nowMs = serve(bench, cell, 0);
        const [owner] = bench.owners(nowMs) as [TargetId];
        const others = servers.filter((server) => server !== owner);
        // The owner's answer is long on its way, so its lease lapses before the coordinator may be sure of it.
        const request = cell.nextHeartbeat(owner, nowMs);
        const reply = (bench.holders.get(owner) as LeaseHolder).onHeartbeat(request, nowMs);
        cell.onReply(owner, request, nowMs, reply, nowMs + 20);
        bench.beat(cell, nowMs + 20, others);
        const renewal = cell.nextHeartbeat(owner, nowMs + 20);
        for (const untilMs = nowMs + leaseMs; nowMs < untilMs; nowMs += 10) {
            bench.beat(cell, nowMs, others);
        }
        expect(bench.owners(nowMs)).to.deep.equal([]);
        const late = (bench.holders.get(owner) as LeaseHolder).onHeartbeat(renewal, nowMs);
        cell.onReply(owner, renewal, nowMs - 80, late, nowMs + 1);
        expect(cell.servingOwner(shard, nowMs + 1)).to.equal(undefined);
        const servedMs = serve(bench, cell, nowMs + 12);
        expect(servedMs - nowMs).to.be.at.most(60);
        expect(bench.owners(servedMs)).to.have.length(1);
    });

    it("moves a shard on request only after its owner released it", () => {
        const bench = createBench();
        const cell = bench.createCell(1);
        const nowMs = serve(bench, cell, 0);
        const [owner] = bench.owners(nowMs);
        const to = servers.find((server) => server !== owner) as TargetId;
        expect(cell.moves.request(shard, to, nowMs)).to.equal(true);
        expect(cell.servingOwner(shard, nowMs)).to.equal(undefined);
        cell.moves.startRelease(shard);
        bench.beat(cell, nowMs + 10);
        bench.beat(cell, nowMs + 11);
        expect(bench.owners(nowMs + 11)).to.deep.equal([to]);
        bench.beat(cell, nowMs + 12);
        expect(cell.servingOwner(shard, nowMs + 12)).to.equal(to);
    });

    it("stops when a server has accepted a higher fence", () => {
        const bench = createBench();
        const cell = bench.createCell(1);
        const nowMs = serve(bench, cell, 0);
        serve(bench, bench.createCell(2), nowMs);
        bench.beat(cell, nowMs + 20);
        expect(cell.outrankedBy).to.equal(2);
        expect(cell.hasAuthority(nowMs + 20)).to.equal(false);
    });
});
