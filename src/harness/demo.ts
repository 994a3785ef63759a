/** Shows the main job on stand-ins: a read, an order run once though sent twice, a whole bulk read, a lost owner. */
import { createSystemClock } from "../adapters/systemClock.js";
import type { ServerRecord } from "../standins/keyedServer.js";
import { Caller, newOrderId } from "./caller.js";
import { Fleet, todaysSizes } from "./fleet.js";

const clock = createSystemClock();
const pool = "hladvarmi/status";
const key = "battery-4711";
const lossBoundMs = 1_000;
const retryPauseMs = 10;
const lossTimeoutMs = 10_000;

function say(line: string): void {
    process.stdout.write(`${line}\n`);
}

function check(holds: boolean, what: string): void {
    if (!holds) {
        throw new Error(`not shown: ${what}`);
    }
}

async function showRead(caller: Caller, entryUrl: string): Promise<string> {
    const answer = await caller.read(entryUrl, pool, key);
    check(answer.outcome === "done", `read: ${answer.outcome} ${answer.body}`);
    say(`Keyed read: ${answer.body} from ${answer.server ?? ""}`);
    return answer.server ?? "";
}

async function showOrder(caller: Caller, fleet: Fleet): Promise<void> {
    const orderId = newOrderId();
    const first = await caller.order(fleet.entryUrls[0] as string, pool, key, orderId, "discharge 2 kWh");
    const second = await caller.order(fleet.entryUrls[1] as string, pool, key, orderId, "discharge 2 kWh");
    const record = await fleet.page<ServerRecord>(first.server ?? "", "/record");
    const runs = record?.runsByOrderId[orderId];
    check(first.outcome === "done" && second.body === first.body && runs === 1, `order: ${first.outcome}, ${second.outcome}, ${String(runs)} runs`);
    say(`Order ${orderId} was sent through two entry hosts and ran ${String(runs)} time: ${second.body}`);
}

async function showBulkRead(caller: Caller, entryUrl: string): Promise<void> {
    const answer = await caller.list(entryUrl, "malanad/gazetteer", "kozhikode");
    const { entries } = JSON.parse(answer.body) as { entries: string[] };
    check(answer.outcome === "done" && entries.length === 1_000, "bulk read");
    say(`Bulk read: ${String(entries.length)} entries, whole, from ${answer.server ?? ""}`);
}

async function showOwnerLoss(caller: Caller, fleet: Fleet, owner: string): Promise<void> {
    fleet.signal(owner, "SIGKILL");
    const lostMs = clock.now().monoMs;
    for (;;) {
        const answer = await caller.read(fleet.entryUrls[2] as string, pool, key);
        const tookMs = clock.now().monoMs - lostMs;
        if (answer.outcome === "done") {
            say(`${owner} was killed; its key was served again by ${answer.server ?? ""} after ${tookMs.toFixed(0)} ms (target: ${String(lossBoundMs)} ms)`);
            return;
        }
        check(tookMs < lossTimeoutMs, "the key is served again");
        await clock.sleep(retryPauseMs);
    }
}

const fleet = new Fleet(todaysSizes);
const caller = new Caller();
try {
    say("Starting stand-ins and daemons.");
    await fleet.start();
    say(`${String(fleet.processes.size)} processes are up; every shard has an owner.`);
    const owner = await showRead(caller, fleet.entryUrls[0] as string);
    await showOrder(caller, fleet);
    await showBulkRead(caller, fleet.entryUrls[3] as string);
    await showOwnerLoss(caller, fleet, owner);
}
finally {
    caller.close();
    await fleet.stop();
}
process.exit(0);
