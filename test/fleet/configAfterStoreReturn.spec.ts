import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { noStoreFaults } from "../../platform/standins/storeStandIn.js";
import { buildRoutingConfig, Fleet, send, sleep } from "./fleet.js";

/** Time for which the store is away; long enough that no call is held over its return. */
const awayMs = 1_500;

/** Time within which a configuration comes into force on every host, as the platform states it, after the store was away. */
const configBoundMs = 2_000 + 5_000;

const earlierPrefix = "/earlier/";
const laterPrefix = "/later/";

describe("a configuration published as soon as the store is back from an older copy", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(3, 2, 2);
    });

    after(async () => {
        await fleet.stop();
    });

    function publish(version: number, extraPrefix: string): void {
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(version, { extraPrefix }));
    }

    async function statuses(prefix: string): Promise<number[]> {
        return Promise.all(fleet.hosts.map(async (host) =>
            (await send(host, { id: `${host.name}-${String(performance.now())}`, path: `${prefix}x` })).status));
    }

    // It stands at an offset that the hosts have read already, under which another one stood.
    it("is served by all hosts, and none denies its requests by the one before", async () => {
        const copy = fleet.store.takeCopy();
        publish(2, earlierPrefix);
        await fleet.waitUntil("the configuration is applied", async () => (await statuses(earlierPrefix)).every((status) => status === 200));
        fleet.store.faults = { ...noStoreFaults, silent: true };
        await sleep(awayMs);
        fleet.store.returnFrom(copy);
        publish(3, laterPrefix);
        fleet.store.faults = noStoreFaults;
        await sleep(configBoundMs);
        expect(await statuses(laterPrefix)).to.deep.equal([200, 200, 200]);
        const lines = fleet.logs().map((log) => log.split("\n").filter((line) => line.includes("store came back from an older copy")));
        for (const ofHost of lines) {
            const returns = ofHost.map((line) => JSON.parse(line) as { topic: string; era: number; eraBefore: number });
            const ofConfiguration = returns.filter(({ topic }) => topic === "configuration");
            expect(ofConfiguration.map(({ era, eraBefore }) => [era, eraBefore])).to.deep.equal([[1, 0]]);
            expect(new Set(returns.map(({ topic }) => topic)).size, "a line for each topic that the host reads").to.equal(returns.length);
        }
    });
});
