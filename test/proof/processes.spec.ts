/** The whole path on real processes. */
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
});
