import { expect } from "chai";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import { explain } from "../../src/control/explain.js";
import { render } from "../../src/control/output.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { Fleet, paths, send, sleep } from "./fleet.js";

const logDelayMs = 400;

/** docs/OPERATIONS.md describes the same three cases. */
describe("explain finds the cause of a failed request by its id", function () {
    this.timeout(40_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(2, 3, 1);
    });

    after(async () => {
        await fleet.stop();
    });

    async function explainRequest(id: string): Promise<string> {
        await sleep(logDelayMs);
        return render(explain(id, fleet.logs()), false);
    }

    it("for an order answered with 502 because its server crashed while running it", async () => {
        const [host] = fleet.hosts as [FleetHost];
        const owner = fleet.holders(500)[0]!;
        owner.faults = { ...noServerFaults, slowness: 40 };
        const pendingOrder = send(host, { id: "order-on-crashed-server", method: "POST", path: `${paths.order}x`, key: 500, body: "{}" });
        await sleep(150);
        await owner.crash();
        fleet.servers.splice(fleet.servers.indexOf(owner), 1);
        expect((await pendingOrder).status).to.equal(502);
        await sleep(1_500);
        const text = await explainRequest("order-on-crashed-server");
        expect(text).to.include("reason=lost").and.include(`targets=["${owner.id}"]`);
        expect(text).to.include(`cluster: target silent target=${owner.id}`);
        expect(text).to.match(/Cause: lost\. .*the request may have run/);
        owner.removeEntry();
        await fleet.waitUntil("the keys are held again", () => Promise.resolve(fleet.holders(500).length === 1));
    });

    it("for a read refused because the owner of its key did not answer", async () => {
        const [host] = fleet.hosts as [FleetHost];
        const owner = fleet.holders(40_000)[0]!;
        owner.faults = { ...noServerFaults, silent: true };
        await sleep(1_300);
        const answer = await send(host, { id: "read-of-silent-owner", path: `${paths.read}x`, key: 40_000, budgetMs: 300 });
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers["retry-after"])).to.be.above(0);
        expect(answer.tookMs).to.be.below(250);
        const text = await explainRequest("read-of-silent-owner");
        expect(text).to.include("reason=owner-silent").and.include(`target=${owner.id}`);
        expect(text).to.match(/Cause: owner-silent\. .*lease had to end/);
        owner.faults = noServerFaults;
        const areKeysServed = async () => (await Promise.all([7, 40_000].map((key) => send(host, { id: "probe", path: `${paths.read}x`, key }))))
            .every(({ status }) => status === 200);
        await fleet.waitUntil("every key is served again", areKeysServed);
    });

    it("for a read refused because its key was hot", async () => {
        const [host] = fleet.hosts as [FleetHost];
        fleet.servers.forEach((server) => {
            server.faults = { ...noServerFaults, slowness: 10 };
        });
        const answers: Promise<ClientAnswer>[] = [];
        for (let count = 0; count < 60; count++) {
            answers.push(send(host, { id: `hot-${String(count)}`, path: `${paths.read}hot`, key: 7, budgetMs: 700 }));
            await sleep(10);
        }
        const refusedIndex = (await Promise.all(answers)).findIndex(({ status }) => status === 503);
        expect(refusedIndex).to.be.at.least(0);
        const text = await explainRequest(`hot-${String(refusedIndex)}`);
        expect(text).to.include("reason=overloaded").and.include("key=7");
        expect(text).to.match(/Cause: overloaded\. All slots were taken/);
    });
});
