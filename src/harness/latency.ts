/** Keyed reads through entry and coordinator against reads straight from the server, side by side in one run. */
import { build } from "hdr-histogram-js";
import { createHash } from "node:crypto";
import http from "node:http";
import { v4 as newUuid } from "uuid";
import { callJson } from "../adapters/httpJson.js";
import { createSystemClock } from "../adapters/systemClock.js";
import { shardOf } from "../model/keyHash.js";
import type { ServerAnswer } from "../coordinator/serverPort.js";
import type { CoordinatorDump } from "./fleet.js";
import { Fleet } from "./fleet.js";
import { Caller } from "./caller.js";
import { round } from "./load.js";
import { cpuMsOf } from "./usage.js";

const pool = "hladvarmi/status";
const clock = createSystemClock();
const warmUpRequests = 2_000;
const blockRequests = 1_000;
const blocks = 6;
const microsPerMs = 1_000;

interface Figures {
    way: string;
    inFlight: number;
    p50Ms: number;
    p99Ms: number;
    perSecond: number;
}

type Send = (key: string) => Promise<boolean>;

async function measure(send: Send, inFlight: number, requests: number, record: (tookMs: number) => void): Promise<number> {
    let left = requests;
    const startMs = clock.now().monoMs;
    const worker = async () => {
        while (left > 0) {
            left -= 1;
            const sentMs = clock.now().monoMs;
            if (!await send(`battery-${String(left % 500)}`)) {
                throw new Error("a read was not served");
            }
            record(clock.now().monoMs - sentMs);
        }
    };
    await Promise.all(Array.from({ length: inFlight }, worker));
    return clock.now().monoMs - startMs;
}

async function main(): Promise<void> {
    const fleet = new Fleet({
        hosts: 1, status: 5, archive: 1, numbering: 5, gazetteer: 1, serviceMs: 0, keepRecords: 10_000, snapshotEveryMs: 600_000,
        adjust: (document) => {
            document.defaults.maxInFlight = 1_000;
            return document;
        },
    });
    const caller = new Caller();
    const agent = new http.Agent({ keepAlive: true, maxSockets: 128 });
    try {
        await fleet.start();
        const ways: Record<string, Send> = {
            router: async (key) => (await caller.read(fleet.entryUrls[0] as string, pool, key)).outcome === "done",
            direct: await directWay(fleet, agent),
        };
        const rows: Figures[] = [];
        const daemons = ["entry-host-1", "coordinator-host-1"];
        const cpuMs = () => daemons.map((name) => cpuMsOf(fleet.processes.get(name)?.child.pid ?? 0));
        let perRequest: number[] = [];
        for (const inFlight of [1, 64]) {
            const before = cpuMs();
            rows.push(...await alternate(ways, inFlight));
            const requests = warmUpRequests + blocks * blockRequests;
            perRequest = cpuMs().map((after, index) => Math.round((after - (before[index] ?? 0)) * microsPerMs / requests));
        }
        for (const row of rows) {
            process.stdout.write(`${row.way.padEnd(7)} in flight ${String(row.inFlight).padStart(2)}: p50 ${String(row.p50Ms)} ms, `
                + `p99 ${String(row.p99Ms)} ms, ${String(row.perSecond)} requests/s\n`);
        }
        process.stdout.write(`processor time a request with 64 in flight: entry ${String(perRequest[0])} µs, coordinator ${String(perRequest[1])} µs\n`);
        const [router, direct] = rows as [Figures, Figures];
        process.stdout.write(`added at p50 with one in flight: ${String(round(router.p50Ms - direct.p50Ms))} ms (target: at most 1 ms)\n`);
    }
    finally {
        caller.close();
        agent.destroy();
        await fleet.stop();
    }
}

/** Blocks of both ways in turn, so that a busy moment of the machine strikes both. */
async function alternate(ways: Record<string, Send>, inFlight: number): Promise<Figures[]> {
    const recorded = Object.keys(ways).map((way) => ({ way, histogram: build(), totalMs: 0 }));
    for (const { way } of recorded) {
        await measure(ways[way] as Send, inFlight, warmUpRequests, () => undefined);
    }
    for (let block = 0; block < blocks; block += 1) {
        for (const one of recorded) {
            one.totalMs += await measure(ways[one.way] as Send, inFlight, blockRequests, (tookMs) => {
                one.histogram.recordValue(Math.max(1, Math.round(tookMs * microsPerMs)));
            });
        }
    }
    return recorded.map(({ way, histogram, totalMs }) => ({
        way, inFlight,
        p50Ms: round(histogram.getValueAtPercentile(50) / microsPerMs),
        p99Ms: round(histogram.getValueAtPercentile(99) / microsPerMs),
        perSecond: Math.round(blocks * blockRequests * 1_000 / totalMs),
    }));
}

/** Sends the same work to the owner of each key itself, under the grant in force. */
async function directWay(fleet: Fleet, agent: http.Agent): Promise<Send> {
    const dump = await fleet.dump<CoordinatorDump>("coordinator-host-1");
    const cell = dump?.cells.find((one) => one.cell.startsWith(pool));
    const ownerByShard = new Map(cell?.grants?.shards.map(({ shard, owner }) => [shard, owner ?? ""]));
    const shardCount = ownerByShard.size;
    return async (key) => {
        const shard = shardOf(key, shardCount);
        const address = fleet.processes.get(ownerByShard.get(shard) ?? "")?.address ?? "";
        const answer = await callJson<ServerAnswer>({
            method: "POST", url: `http://${address}/work`, agent, timeoutMs: 2_000, maxAnswerBytes: 100_000, step: "read", peer: address,
            payload: {
                requestId: newUuid(), kind: "read", cell: cell?.cell, key, shard, fence: cell?.grants?.fence,
                notAfterServerMs: Number.MAX_SAFE_INTEGER, body: "",
            },
        });
        return answer.isOk() && answer.value.digest === createHash("sha256").update(answer.value.body).digest("hex");
    };
}

await main();
process.exit(0);
