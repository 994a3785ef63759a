/** The whole path on real processes. */
import { execFile } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { expect } from "chai";
import { Caller, newOrderId } from "../../src/harness/caller.js";
import { Fleet } from "../../src/harness/fleet.js";
import type { ServerRecord } from "../../src/standins/keyedServer.js";

const pool = "hladvarmi/status";

describe("whole path as separate processes", function () {
    this.timeout(90_000);
    const caller = new Caller();
    const fleet = new Fleet({
        hosts: 3, status: 5, archive: 2, numbering: 5, gazetteer: 2, serviceMs: 1, keepRecords: 10_000, snapshotEveryMs: 60_000,
    });
    const entry = (index: number) => fleet.entryUrls[index] as string;

    before(async () => {
        await fleet.start();
    });

    after(async () => {
        caller.close();
        await fleet.stop();
    });

    it("answers a keyed read through every entry host from the same server", async () => {
        const answers = await Promise.all([0, 1, 2].map((index) => caller.read(entry(index), pool, "battery-1")));
        expect(answers.map((answer) => answer.outcome)).to.deep.equal(["done", "done", "done"]);
        expect(new Set(answers.map((answer) => answer.server)).size).to.equal(1);
    });

    it("runs an order once though it is sent through every entry host at once", async () => {
        const orderId = newOrderId();
        const answers = await Promise.all([0, 1, 2].map((index) => caller.order(entry(index), pool, "battery-1", orderId, "charge")));
        const record = await fleet.page<ServerRecord>(answers[0]?.server ?? "", "/record");
        expect(record?.runsByOrderId[orderId]).to.equal(1);
        expect(answers.map((answer) => answer.outcome)).to.deep.equal(["done", "done", "done"]);
    });

    it("gives a whole list, and acknowledges meter reads that the archive accepted", async () => {
        const list = await caller.list(entry(1), "malanad/gazetteer", "thrissur");
        const accepted = await caller.meterReads(entry(2), "hladvarmi/archive", "{\"meter\":7,\"kWh\":3}");
        expect((JSON.parse(list.body) as { entries: string[] }).entries).to.have.length(1_000);
        expect(accepted.outcome).to.equal("done");
    });

    it("refuses bad input as not run, with a status of the 400s", async () => {
        const refused = await Promise.all([
            caller.read(entry(0), "nobody/status", "battery-1"),
            caller.read(entry(0), "hladvarmi/nothing", "battery-1"),
            caller.read(entry(0), pool, "street-1"),
            caller.order(entry(0), pool, "battery-1", "not-an-id", ""),
            caller.order(entry(0), pool, "battery-1", newOrderId(), "x".repeat(70_000)),
            caller.order(entry(0), pool, "battery-1", newOrderId(), "late", Date.now() - 1_000),
            caller.list(entry(0), pool, "thrissur"),
        ]);
        for (const answer of refused) {
            expect(answer.outcome, answer.body).to.equal("not-run");
            expect(answer.status, answer.body).to.be.within(400, 499);
        }
    });

    it("refuses long headers before it parses them", async () => {
        const answer = await caller.read(entry(0), pool, `battery-1?${"x".repeat(9_000)}`);
        expect(answer.status).to.be.within(400, 499);
    });

    it("gives a draining server no new work after 3 s, and serves its keys elsewhere", async () => {
        const owner = (await caller.read(entry(0), pool, "battery-1")).server ?? "";
        await fleet.fault(owner, { draining: true });
        await pause(3_000);
        const before = (await fleet.page<ServerRecord>(owner, "/record"))?.reads;
        const answers = await Promise.all(Array.from({ length: 60 }, (_, number) => caller.read(entry(number % 3), pool, `battery-${String(number)}`)));
        expect(answers.filter((answer) => answer.outcome !== "done")).to.deep.equal([]);
        expect((await fleet.page<ServerRecord>(owner, "/record"))?.reads).to.equal(before);
        await fleet.fault(owner, {});
    });

    it("cuts off nothing when an entry host is stopped under load", async () => {
        const servers = [1, 2, 3, 4, 5].map((number) => `status-${String(number)}`);
        await Promise.all(servers.map((server) => fleet.fault(server, { slowMs: 300 })));
        const inFlight = Array.from({ length: 12 }, (_, number) => caller.read(entry(2), pool, `battery-${String(number)}`));
        await pause(100);
        fleet.signal("entry-host-3", "SIGTERM");
        const answers = await Promise.all(inFlight);
        expect(answers.map((answer) => answer.outcome)).to.deep.equal(answers.map(() => "done"));
        expect(await fleet.whenEnded("entry-host-3")).to.equal(0);
        await fleet.restart("entry-host-3");
        await Promise.all(servers.map((server) => fleet.fault(server, {})));
    });

    it("takes a publish by hornbeamctl, tells a late one what won, and waits until it is in force everywhere", async () => {
        const shown = await control(fleet, "config", "show", "--json");
        const { result } = JSON.parse(shown.output) as { result: { offset: number; document: object } };
        const file = path.join(mkdtempSync(path.join(tmpdir(), "hornbeam-test-")), "config.json");
        const publish = async (maxWaiting: number) => {
            const document = structuredClone(result.document) as { defaults: { maxWaiting: number } };
            document.defaults.maxWaiting = maxWaiting;
            writeFileSync(file, JSON.stringify(document));
            return control(fleet, "config", "publish", file, "--author=test", "--reason=a change for a test", `--based-on=${String(result.offset)}`);
        };
        expect((await publish(150)).exitCode).to.equal(0);
        const late = await publish(160);
        expect(late.exitCode).to.equal(1);
        expect(late.output).to.contain("Another change won");
        expect((await control(fleet, "config", "status", "--wait")).exitCode).to.equal(0);
        expect((await control(fleet, "owners", `${pool}/battery-1`)).output).to.match(/owner status-\d, served/);
    });
});

function pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Runs hornbeamctl against a fleet. */
function control(fleet: Fleet, ...args: string[]): Promise<{ exitCode: number; output: string }> {
    const program = path.resolve("dist/bin/hornbeamctl.js");
    const all = [program, ...args, `--log-url=${fleet.logUrl}`, `--host-list-url=${fleet.hostListUrl}`];
    return new Promise((resolve) => {
        execFile(process.execPath, all, (error, stdout) => {
            resolve({ exitCode: typeof error?.code === "number" ? error.code : 0, output: stdout });
        });
    });
}
