import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { noStoreFaults } from "../../platform/standins/storeStandIn.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, fetchAdminPage, Fleet, paths, send, sleep } from "./fleet.js";

/** Time within which a configuration comes into force on every host, as the platform states it. */
const configBoundMs = 2_000;

describe("a request that the configuration does not allow", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(2, 2, 1);
    });

    after(async () => {
        await fleet.stop();
    });

    async function statusAtEachHost(id: string, path: string, key?: number): Promise<number[]> {
        return Promise.all(fleet.hosts.map(async (host) => (await send(host, { id: `${id}-${host.name}`, path, key })).status));
    }

    it("is not blamed while nobody can say whether that configuration is in force, and is as soon as the store is back", async () => {
        expect(await statusAtEachHost("before", "/nowhere/")).to.deep.equal([404, 404]);
        expect(await statusAtEachHost("before-keyless", `${paths.read}x`)).to.deep.equal([400, 400]);
        fleet.store.faults = { ...noStoreFaults, busy: true };
        await sleep(4_000);
        const [host] = fleet.hosts as [FleetHost];
        const answer = await send(host, { id: "unconfirmed", path: "/nowhere/" });
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers["retry-after"])).to.be.above(0);
        expect(answer.tookMs).to.be.below(300);
        expect(await statusAtEachHost("down", "/nowhere/")).to.deep.equal([503, 503]);
        expect(await statusAtEachHost("down-keyless", `${paths.read}x`)).to.deep.equal([503, 503]);
        expect(await statusAtEachHost("down-allowed", `${paths.list}x`)).to.deep.equal([200, 200]);
        expect(await statusAtEachHost("down-keyed", `${paths.read}x`, 7)).to.deep.equal([200, 200]);
        fleet.store.faults = noStoreFaults;
        await fleet.waitUntil("unknown routes are denied again", async () =>
            (await statusAtEachHost("after", "/nowhere/")).every((status) => status === 404), configBoundMs);
        const lines = fleet.logs().join("").split("\n").filter((line) => line.includes("\"unconfirmed\""));
        expect(lines).to.have.length(1);
        expect(JSON.parse(lines[0] ?? "")).to.include({ reason: "config-unconfirmed", path: "/nowhere/" }).and.have.property("configAgeMs").above(2_000);
    });

    it("is not blamed by a configuration that was replaced while the host was frozen", async () => {
        const roles = await Promise.all(fleet.hosts.map((host) => fetchAdminPage(host, "/metrics")));
        const follower = fleet.hosts[roles.findIndex((metrics) => metrics.includes("hornbeam_coordinating 0"))] as FleetHost;
        const coordinator = fleet.hosts.find((host) => host !== follower) as FleetHost;
        follower.child.kill("SIGSTOP");
        await sleep(1_000);
        await fleet.endHost(coordinator, "SIGKILL");
        await sleep(configBoundMs);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(2, { extraPrefix: "/extra/" }));
        await sleep(configBoundMs);
        const sendOne = async (id: string) => (await send(follower, { id: `frozen-${id}`, path: "/extra/x" })).status;
        follower.child.kill("SIGCONT");
        const answers: Promise<number>[] = [];
        for (let count = 0; count < 200; count++) {
            answers.push(sendOne(String(count)));
            await sleep(5);
        }
        expect((await Promise.all(answers)).filter((status) => status === 404)).to.deep.equal([]);
        await fleet.waitUntil("the new route is served", async () => await sendOne(String(Math.random())) === 200);
    });
});
