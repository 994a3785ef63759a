/** Slopes behind docs/CAPACITY.md, each at three sizes: `npm run slopes`. */
import Table from "cli-table3";
import { v7 as newOrderedUuid } from "uuid";
import type { CellId, Fence, HostId, Incarnation, Offset, OrderId, RecordId, RunId, Shard, TargetId } from "../model/ids.js";
import { noOffset } from "../model/ids.js";
import { createSystemClock } from "../adapters/systemClock.js";
import { assignCoordinators } from "../coordinator/assignment.js";
import { OrderBook } from "../orders/orderBook.js";
import { Cell } from "../ownership/cell.js";
import { LeaseHolder } from "../ownership/leaseHolder.js";
import type { FoldedState } from "../platform/fold.js";
import { emptyState, foldRecord } from "../platform/fold.js";
import type { TermRecord } from "../platform/records.js";
import { round } from "./load.js";
import { dataCentreOf } from "./sampleConfig.js";

const clock = createSystemClock();
const serversPerCell = 5;
const microsPerMs = 1_000;
const servers = Array.from({ length: serversPerCell }, (_, index) => `server-${String(index)}` as TargetId);

function usedBytes(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

function microsFor(repeats: number, run: (index: number) => void): number {
    const startMs = clock.now().monoMs;
    for (let index = 0; index < repeats; index += 1) {
        run(index);
    }
    return (clock.now().monoMs - startMs) * microsPerMs / repeats;
}

function print(title: string, head: string[], rows: (string | number)[][]): void {
    const table = new Table({ head, style: { head: [], border: [] } });
    table.push(...rows);
    process.stdout.write(`${title}\n${table.toString()}\n`);
}

/** One heartbeat: built, applied by the server, and its answer taken in. */
function heartbeats(shardCount: number): (string | number)[] {
    const before = usedBytes();
    const cell = new Cell({
        cell: "c" as CellId, fence: 1 as Fence, servers, voterSets: [servers], leaseMs: 600, waitMs: 600, driftMarginMs: 5,
        shards: Array.from({ length: shardCount }, (_, index) => index as Shard),
    });
    const holders = servers.map((server) => new LeaseHolder(server as string as Incarnation, -10_000));
    const bytes = { request: 0, reply: 0 };
    let nowMs = 0;
    const beat = (index: number) => {
        nowMs += 5;
        const place = index % serversPerCell;
        const request = cell.nextHeartbeat(servers[place] as TargetId, nowMs);
        const reply = (holders[place] as LeaseHolder).onHeartbeat(request, nowMs);
        cell.onReply(servers[place] as TargetId, request, nowMs, reply, nowMs);
        bytes.request = JSON.stringify(request).length;
        bytes.reply = JSON.stringify(reply).length;
    };
    microsFor(2_000, beat);
    const micros = microsFor(10_000, beat);
    return [shardCount, round(micros, 1), bytes.request, bytes.reply, Math.round((usedBytes() - before) / 1_024)];
}

function orders(count: number): (string | number)[] {
    const before = usedBytes();
    const book = new OrderBook(() => ({ windowMs: 600_000, maxOrders: count * 2, aheadMarginMs: 100, hostSkewMs: 50 }));
    const { wallMs } = clock.now();
    book.raiseHorizon(0 as Shard, wallMs - 1_000);
    const micros = microsFor(count, () => {
        const id = newOrderedUuid() as OrderId;
        book.admit(id, 0 as Shard, { monoMs: 0, wallMs: wallMs + 60_000 });
        book.settle(id, { outcome: "done", status: 200, body: `{"key":"battery-${id}"}`, server: "s" as TargetId });
    });
    const bytes = (usedBytes() - before) / count;
    return [count, round(micros, 1), Math.round(bytes), book.size];
}

function termRecord(cell: number, basedOn: Offset): TermRecord {
    const coordinators = [1, 2, 3, 4].map((host) => `host-${String(host)}@0123abcd` as RunId);
    return {
        kind: "term", recordId: newOrderedUuid() as RecordId, basedOn, cell: `institution/pool/cell-${String(cell)}` as CellId,
        servers, voterSets: [servers], leaseMs: 600, waitMs: 600, coordinators, reason: "coordinators changed",
    };
}

/** Folding terms: time for one more record, memory and bytes of the state. */
function folding(cells: number): (string | number)[] {
    const before = usedBytes();
    let state: FoldedState = emptyState;
    for (let cell = 0; cell < cells; cell += 1) {
        state = foldRecord(state, { offset: cell + 1 as Offset, payload: termRecord(cell, noOffset) });
    }
    const held = usedBytes() - before;
    const micros = microsFor(100, (index) => {
        state = foldRecord(state, { offset: cells + index + 1 as Offset, payload: termRecord(index % cells, noOffset) });
    });
    const record = JSON.stringify(termRecord(1, noOffset)).length;
    return [cells, round(micros, 1), record, Math.round(held / cells), Math.round(JSON.stringify(state).length / cells)];
}

function assignment(hostCount: number): (string | number)[] {
    const hosts = Array.from({ length: hostCount }, (_, index) => ({ hostId: `host-${String(index)}` as HostId, dataCentre: dataCentreOf(index) }));
    const cells = Array.from({ length: hostCount * 3 }, (_, index) => `cell-${String(index)}` as CellId);
    const startMs = clock.now().monoMs;
    const before = assignCoordinators(cells, hosts, 4);
    const tookMs = clock.now().monoMs - startMs;
    const after = assignCoordinators(cells, hosts.slice(1), 4);
    const counts = new Map<HostId, number>();
    for (const [first] of before.values()) {
        counts.set(first as HostId, (counts.get(first as HostId) ?? 0) + 1);
    }
    const needed = cells.filter((cell) => before.get(cell)?.[0] === hosts[0]?.hostId).length;
    const changed = cells.filter((cell) => before.get(cell)?.[0] !== after.get(cell)?.[0]).length;
    return [hostCount, cells.length, round(Math.max(...counts.values()) / (cells.length / hostCount)), needed, changed, round(tookMs, 1)];
}

print("Heartbeats of one cell of 5 servers", ["shards", "µs each", "request bytes", "reply bytes", "KiB for the cell"], [10, 40, 160].map(heartbeats));
print("Orders remembered", ["orders", "µs each", "bytes each", "remembered"], [10_000, 50_000, 200_000].map(orders));
print("Terms folded", ["cells", "µs for one more", "record bytes", "heap bytes a cell", "JSON bytes a cell"], [100, 1_000, 4_000].map(folding));
print("Cells over hosts", ["hosts", "cells", "max / mean", "needed changes", "changes when one leaves", "ms"], [8, 10, 100, 1_000].map(assignment));
