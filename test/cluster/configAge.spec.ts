import { expect } from "chai";
import type { HostId } from "../../src/model/names.js";
import { World } from "../world/world.js";

/** Age above which a host no longer blames a request by its configuration. */
const maxConfirmedAgeMs = 2_000;

/** Time after which hosts that started together have found each other. */
const settledMs = 8_000;

describe("age of a host's configuration", function () {
    this.timeout(30_000);
    let world: World;

    beforeEach(async () => {
        world = new World(1, 4, 4);
        await world.clock.advance(settledMs);
    });

    afterEach(() => {
        world.stop();
    });

    function ageAt(hostId: HostId): number {
        const { node, process } = world.hosts.runs.get(hostId)!;
        return node.configAgeMs(process.clock.now().monoMs);
    }

    function versionAt(hostId: HostId): number {
        return world.hosts.runs.get(hostId)!.view.config?.config.version ?? 0;
    }

    /** Returns a host that does not coordinate, and the one that does. */
    function followerAndCoordinator(): [HostId, HostId] {
        const [coordinator] = world.hosts.coordinators() as [HostId];
        return [world.hostIds.find((hostId) => hostId !== coordinator)!, coordinator];
    }

    function cutOff(hostId: HostId): void {
        world.store.disconnectedHosts.add(hostId);
        for (const other of world.hostIds.filter((id) => id !== hostId)) {
            world.hosts.blockedLinks.add(`${hostId}>${other}`).add(`${other}>${hostId}`);
        }
    }

    it("stays low at all hosts while the store and the coordinator are reached, also if the coordinator is replaced", async () => {
        let largest = 0;
        const watch = () => {
            largest = Math.max(largest, ...[...world.hosts.runs.keys()].map(ageAt));
        };
        await world.clock.advance(10_000, watch);
        world.hosts.kill(followerAndCoordinator()[1]);
        await world.clock.advance(10_000, watch);
        expect(largest).to.be.below(maxConfirmedAgeMs);
    });

    it("grows at a host that is cut off, whichever role it had, and falls once it is back", async () => {
        for (const role of [0, 1]) {
            const hostId = followerAndCoordinator()[role]!;
            cutOff(hostId);
            await world.clock.advance(3_000);
            let smallest = Number.POSITIVE_INFINITY;
            await world.clock.advance(10_000, () => {
                smallest = Math.min(smallest, ageAt(hostId));
            });
            expect(smallest).to.be.above(maxConfirmedAgeMs);
            world.heal();
            await world.clock.advance(6_000);
            expect(ageAt(hostId)).to.be.below(maxConfirmedAgeMs);
        }
    });

    it("does not fall when a host finds a coordinator that cannot reach the store either", async () => {
        const [follower, coordinator] = followerAndCoordinator();
        world.store.isDown = true;
        world.hosts.blockedLinks.add(`${follower}>${coordinator}`).add(`${coordinator}>${follower}`);
        await world.clock.advance(5_000);
        world.hosts.blockedLinks.clear();
        let smallest = Number.POSITIVE_INFINITY;
        await world.clock.advance(5_000, () => {
            smallest = Math.min(smallest, ageAt(follower));
        });
        expect(smallest).to.be.above(maxConfirmedAgeMs);
    });

    it("is high at a host that starts and reads a store that lost its newest configuration, until it has that", async () => {
        const starting = "h9" as HostId;
        const { config } = world.hosts.runs.get(world.hostIds[0]!)!.view.config!;
        world.store.put("configuration", "config", { ...config, version: 7 });
        await world.clock.advance(3_000);
        expect(world.hostIds.map(versionAt)).to.deep.equal([7, 7, 7, 7]);
        world.store.loseNewest("configuration", 1);
        world.hosts.start(starting);
        let isOutdatedBelieved = false;
        await world.clock.advance(10_000, () => {
            isOutdatedBelieved ||= versionAt(starting) < 7 && ageAt(starting) <= maxConfirmedAgeMs;
        });
        expect(isOutdatedBelieved).to.equal(false);
        expect(versionAt(starting)).to.equal(7);
        expect(ageAt(starting)).to.be.below(maxConfirmedAgeMs);
    });

    it("is high at a coordinator that knows an older configuration than a host that follows it, until it has that", async () => {
        const { config } = world.hosts.runs.get(world.hostIds[0]!)!.view.config!;
        world.store.put("configuration", "config", { ...config, version: 7 });
        await world.clock.advance(3_000);
        const [follower] = followerAndCoordinator();
        const { process } = world.hosts.runs.get(follower)!;
        process.pause();
        world.hostIds.filter((hostId) => hostId !== follower).forEach((hostId) => {
            world.hosts.kill(hostId);
        });
        world.store.loseNewest("configuration", 1);
        const started = ["h7", "h8", "h9"] as HostId[];
        started.forEach((hostId) => {
            world.hosts.start(hostId);
        });
        await world.clock.advance(10_000);
        expect(started).to.include(world.hosts.coordinators()[0]);
        expect(started.map(versionAt)).to.deep.equal([1, 1, 1]);
        process.resume();
        await world.clock.advance(2_000);
        const believed = started.filter((hostId) => versionAt(hostId) < 7 && ageAt(hostId) <= maxConfirmedAgeMs);
        expect(believed).to.deep.equal([]);
        await world.clock.advance(2_000);
        expect([follower, ...started].map(versionAt)).to.deep.equal([7, 7, 7, 7]);
        expect(Math.max(...[follower, ...started].map(ageAt))).to.be.below(maxConfirmedAgeMs);
    });

    it("grows at all hosts while the store refuses readings of the configuration only, and falls once it answers them", async () => {
        world.store.refusedTopics.add("configuration");
        world.store.put("configuration", "config", { version: 7, routes: [], services: [] });
        await world.clock.advance(4_000);
        for (let second = 0; second < 5; second++) {
            expect(world.hostIds.map(ageAt).every((ageMs) => ageMs > maxConfirmedAgeMs), `at ${String(second)} s`).to.equal(true);
            await world.clock.advance(1_000);
        }
        world.store.refusedTopics.clear();
        await world.clock.advance(2_000);
        expect(world.hostIds.map(versionAt)).to.deep.equal([7, 7, 7, 7]);
        expect(Math.max(...world.hostIds.map(ageAt))).to.be.below(maxConfirmedAgeMs);
    });

    it("stays low at all hosts while one configuration follows another", async () => {
        const { config } = world.hosts.runs.get(world.hostIds[0]!)!.view.config!;
        let largest = 0;
        for (let version = 2; version < 30; version++) {
            world.store.put("configuration", "config", { ...config, version });
            await world.clock.advance(100 + version * 37, () => {
                largest = Math.max(largest, ...world.hostIds.map(ageAt).filter(Number.isFinite));
            });
        }
        await world.clock.advance(1_000);
        expect(world.hostIds.map(versionAt)).to.deep.equal([29, 29, 29, 29]);
        expect(largest).to.be.below(maxConfirmedAgeMs);
    });

    it("is high at a host that reads what the coordinator sent before the host was frozen", async () => {
        const { config } = world.hosts.runs.get(world.hostIds[0]!)!.view.config!;
        const [follower] = followerAndCoordinator();
        const { process } = world.hosts.runs.get(follower)!;
        process.pause();
        await world.clock.advance(2_000);
        world.store.put("configuration", "config", { ...config, version: 7 });
        await world.clock.advance(5_000);
        process.resume();
        let isOutdatedBelieved = false;
        await world.clock.advance(6_000, () => {
            isOutdatedBelieved ||= versionAt(follower) < 7 && ageAt(follower) <= maxConfirmedAgeMs;
        });
        expect(isOutdatedBelieved).to.equal(false);
        expect(versionAt(follower)).to.equal(7);
        expect(ageAt(follower)).to.be.below(maxConfirmedAgeMs);
    });

    it("is high at all hosts while the newest configuration cannot be decoded, until there is a newer one", async () => {
        const { config } = world.hosts.runs.get(world.hostIds[0]!)!.view.config!;
        world.store.put("configuration", "config", { ...config, version: "of another kind" });
        await world.clock.advance(2_000);
        expect(world.hostIds.map(ageAt).every((ageMs) => ageMs > maxConfirmedAgeMs)).to.equal(true);
        world.store.put("configuration", "config", { ...config, version: 8 });
        await world.clock.advance(2_000);
        expect(world.hostIds.map(versionAt)).to.deep.equal([8, 8, 8, 8]);
        expect(Math.max(...world.hostIds.map(ageAt))).to.be.below(maxConfirmedAgeMs);
    });

    it("is high at hosts that don't know the configuration published after the store came back from an older copy", async () => {
        const { config } = world.hosts.runs.get(world.hostIds[0]!)!.view.config!;
        world.store.put("configuration", "config", { ...config, version: 7 });
        await world.clock.advance(3_000);
        world.store.loseNewest("configuration", 1);
        await world.clock.advance(1_000);
        world.store.put("configuration", "config", { ...config, version: 8 });
        await world.clock.advance(3_000);
        const believed = world.hostIds.filter((hostId) => versionAt(hostId) < 8 && ageAt(hostId) <= maxConfirmedAgeMs);
        expect(believed).to.deep.equal([]);
    });
});
