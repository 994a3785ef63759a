/** One cell of the real code, whose heartbeats arrive when and where a test says. */
import type { CellId, Fence, Incarnation, Shard, TargetId } from "../../src/model/ids.js";
import type { GuardsOut } from "../../src/model/guards.js";
import { Cell } from "../../src/ownership/cell.js";
import { LeaseHolder } from "../../src/ownership/leaseHolder.js";

const shard = 0 as Shard;
const leaseMs = 100;
const servers = ["a", "b", "c", "d", "e"] as TargetId[];

/** One cell whose heartbeats arrive at once, unless a test keeps them back. */
export function createBench(guardsOut: GuardsOut = {}) {
    const holders = new Map(servers.map((server) => [server, new LeaseHolder("1" as Incarnation, -10_000, guardsOut)]));
    const createCell = (fence: number) => new Cell({
        cell: "c" as CellId, fence: fence as Fence, servers, voterSets: [servers], shards: [shard], leaseMs, waitMs: leaseMs, driftMarginMs: 0,
    }, guardsOut);
    const beat = (cell: Cell, nowMs: number, to: readonly TargetId[] = servers) => {
        for (const server of to) {
            const request = cell.nextHeartbeat(server, nowMs);
            const reply = (holders.get(server) as LeaseHolder).onHeartbeat(request, nowMs);
            cell.onReply(server, request, nowMs, reply, nowMs);
        }
    };
    const owners = (nowMs: number) => servers.filter((server) => holders.get(server)?.owns(shard, nowMs));
    return { holders, createCell, beat, owners };
}

/** Beats until the shard is served. */
export function serve(bench: ReturnType<typeof createBench>, cell: Cell, fromMs: number): number {
    let nowMs = fromMs;
    while (cell.servingOwner(shard, nowMs) === undefined && nowMs < fromMs + 1_000) {
        bench.beat(cell, nowMs);
        nowMs += 10;
    }
    return nowMs;
}

/** Fixed facts of the bench. */
export const cellBench = { shard, leaseMs, servers };
