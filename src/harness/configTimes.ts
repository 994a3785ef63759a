/** Time from publish to in force on every host, with the log well, slow, and cut off from half the hosts. */
import { createSystemClock } from "../adapters/systemClock.js";
import type { Offset } from "../model/ids.js";
import type { CoordinatorDump } from "./fleet.js";
import { Fleet } from "./fleet.js";
import { round } from "./load.js";

const clock = createSystemClock();
const hosts = 10;
const publishes = 100;
const slowMs = 300;
const pollMs = 5;
const boundMs = 5_000;
const restMs = 10_000;

/** Publishes once and waits until every daemon has it in force. */
async function publishOnce(fleet: Fleet, basedOn: Offset): Promise<{ offset: Offset; tookMs: number }> {
    const document = structuredClone(fleet.document as NonNullable<Fleet["document"]>);
    document.defaults.maxWaiting = 100 + (basedOn % 100);
    const startMs = clock.now().monoMs;
    const offset = await fleet.publish(document, basedOn);
    const waiting = new Set([...fleet.processes.keys()].filter((name) => name.startsWith("coordinator-") || name.startsWith("entry-")));
    while (waiting.size > 0) {
        await Promise.all([...waiting].map(async (name) => {
            const dump = await fleet.dump<CoordinatorDump>(name);
            if ((dump?.configOffset ?? 0) >= offset) {
                waiting.delete(name);
            }
        }));
        if (clock.now().monoMs - startMs > boundMs * 2) {
            throw new Error(`not in force on ${[...waiting].join(", ")}`);
        }
        await clock.sleep(pollMs);
    }
    return { offset, tookMs: clock.now().monoMs - startMs };
}

async function measure(fleet: Fleet, name: string, basedOn: Offset): Promise<Offset> {
    const times: number[] = [];
    let offset = basedOn;
    for (let count = 0; count < publishes; count += 1) {
        const published = await publishOnce(fleet, offset);
        offset = published.offset;
        times.push(published.tookMs);
    }
    times.sort((left, right) => left - right);
    const p50 = round(times[publishes / 2] ?? 0, 0);
    process.stdout.write(`${name}: ${String(publishes)} publishes, in force on ${String(hosts)} hosts after p50 ${String(p50)} ms, `
        + `max ${String(round(times.at(-1) ?? 0, 0))} ms (target: ${String(boundMs)} ms)\n`);
    return offset;
}

async function currentOffset(fleet: Fleet): Promise<Offset> {
    const dump = await fleet.dump<CoordinatorDump>("coordinator-host-1");
    return (dump?.configOffset ?? 0) as Offset;
}

interface LogCounts {
    appends: number;
    appendedBytes: number;
}

async function appendsAtRest(fleet: Fleet): Promise<void> {
    const before = await fleet.page<LogCounts>("log", "/counts");
    await clock.sleep(restMs);
    const after = await fleet.page<LogCounts>("log", "/counts");
    const perSecond = ((after?.appends ?? 0) - (before?.appends ?? 0)) * 1_000 / restMs;
    process.stdout.write(`log appends at rest: ${String(round(perSecond))} a second (target: at most 20)\n`);
}

async function appendsUnderChurn(fleet: Fleet): Promise<void> {
    const before = await fleet.page<LogCounts>("log", "/counts");
    const startMs = clock.now().monoMs;
    for (const { hostId } of fleet.hosts.slice(0, 4)) {
        fleet.signal(`coordinator-${hostId}`, "SIGKILL");
        await clock.sleep(1_000);
        await fleet.restart(`coordinator-${hostId}`);
        await clock.sleep(4_000);
    }
    const after = await fleet.page<LogCounts>("log", "/counts");
    const seconds = (clock.now().monoMs - startMs) / 1_000;
    const perSecond = ((after?.appends ?? 0) - (before?.appends ?? 0)) / seconds;
    process.stdout.write(`log appends while a coordinator is killed and restarted every 5 s: ${String(round(perSecond))} a second (target: at most 20)\n`);
}

const fleet = new Fleet({
    hosts, status: 15, archive: 1, numbering: 15, gazetteer: 1, serviceMs: 2, keepRecords: 100_000, snapshotEveryMs: 20_000,
});
try {
    await fleet.start();
    let offset = await currentOffset(fleet);
    offset = await measure(fleet, "log well", offset);
    await fleet.fault("log", { slowMs });
    offset = await measure(fleet, `log slow by ${String(slowMs)} ms`, offset);
    const cutOff = fleet.hosts.slice(0, hosts / 2).map((host) => host.hostId);
    await fleet.fault("log", { cutOff });
    await measure(fleet, "log cut off from half the hosts", offset);
    await fleet.fault("log", {});
    await appendsAtRest(fleet);
    await appendsUnderChurn(fleet);
}
finally {
    await fleet.stop();
}
process.exit(0);
