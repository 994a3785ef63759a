import { expect } from "chai";
import type { HostId, Key } from "../../src/model/names.js";
import { mayReceive } from "../../src/model/target.js";
import type { HostRun } from "./virtualHosts.js";
import { World } from "./world.js";

const settledMs = 6_000;
const boundMs = 5_000;
const sampleMs = 100;
const drainMs = 1_300;
const evacuated = "there";
const sampledKeys = Array.from({ length: 64 }, (_, index) => index * 1_024 as Key);

/** A cluster with targets in two data centres, all of which hold keys. */
async function startWorld(seed: number): Promise<World> {
    const world = new World(seed, 4);
    for (let count = 0; count < 4; count++) {
        world.addTarget(evacuated);
    }
    world.targets.publishEntries();
    for (let elapsedMs = 0; elapsedMs < settledMs; elapsedMs += 500) {
        world.addLoad();
        await world.clock.advance(500);
    }
    for (let elapsedMs = 0; world.targets.heldShare() < 1; elapsedMs += sampleMs) {
        expect(elapsedMs, "time until all moves have ended").to.be.below(settledMs);
        await world.clock.advance(sampleMs);
    }
    expect(heldByEvacuated(world), "keys there before the evacuation").to.be.above(0);
    return world;
}

/** Returns how many of the sampled keys are held by targets of the data centre that is evacuated. */
function heldByEvacuated(world: World): number {
    const nowMs = world.clock.now().monoMs;
    const targets = world.targets.all().filter(({ dataCentreId, isUp }) => dataCentreId === evacuated && isUp);
    return sampledKeys.filter((key) => targets.some(({ leaseEndMs }) => (leaseEndMs[key] ?? 0) > nowMs)).length;
}

/** Lists the hosts that would still send requests to a target of the data centre. */
function sendersTo(world: World, run?: HostRun): string[] {
    const runs = [...world.hosts.runs].filter(([, one]) => run === undefined || one === run);
    return runs.filter(([, { view, process }]) => [...view.targets.all()].some((target) =>
        target.dataCentreId === evacuated && mayReceive(target, drainMs, process.clock.now().monoMs))).map(([hostId]) => hostId);
}

/** Advances in steps, and returns the times at which some key was held by no target. */
async function observe(world: World, durationMs: number): Promise<number[]> {
    const unheldAtMs: number[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += sampleMs) {
        await world.clock.advance(sampleMs);
        if (world.targets.heldShare() < 1) {
            unheldAtMs.push(elapsedMs);
        }
    }
    return unheldAtMs;
}

describe("evacuation of a data centre, simulated", function () {
    this.timeout(60_000);

    it("moves all keys away before the bound and gives none back until it ends, then uses the targets again", async () => {
        for (const seed of [1, 2, 3]) {
            const world = await startWorld(seed);
            world.evacuate(evacuated, true);
            await observe(world, boundMs);
            expect(heldByEvacuated(world), `seed ${String(seed)}`).to.equal(0);
            expect(sendersTo(world)).to.deep.equal([]);
            expect(world.targets.heldShare()).to.equal(1);
            for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 500) {
                world.addLoad();
                await world.clock.advance(500);
                expect(heldByEvacuated(world), "keys given back").to.equal(0);
            }
            world.evacuate(evacuated, false);
            for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 500) {
                world.addLoad();
                await world.clock.advance(500);
            }
            expect(heldByEvacuated(world), "keys after the end").to.be.above(0);
            expect(world.targets.violations).to.deep.equal([]);
            world.stop();
        }
    });

    it("goes on under another coordinator when its own is lost in the middle, and moves no key back", async () => {
        for (const lostAfterMs of [10, 60, 200, 900]) {
            const world = await startWorld(11 + lostAfterMs);
            world.evacuate(evacuated, true);
            await world.clock.advance(lostAfterMs);
            const [lost] = world.hosts.coordinators() as [HostId];
            world.hosts.kill(lost);
            await world.clock.advance(boundMs - lostAfterMs);
            expect(sendersTo(world), `lost after ${String(lostAfterMs)} ms`).to.deep.equal([]);
            await observe(world, 10_000);
            expect(heldByEvacuated(world), `lost after ${String(lostAfterMs)} ms`).to.equal(0);
            expect(world.targets.heldShare()).to.equal(1);
            expect(world.targets.violations).to.deep.equal([]);
            world.stop();
        }
    });

    it("stays in force while the store is away past its end, and ends once the end can be read", async () => {
        const world = await startWorld(21);
        world.evacuate(evacuated, true);
        await world.clock.advance(boundMs);
        world.store.isDown = true;
        // A call that the store holds is answered although it is down.
        await world.clock.advance(1_500);
        world.evacuate(evacuated, false);
        await observe(world, 4_000);
        expect([heldByEvacuated(world), sendersTo(world)]).to.deep.equal([0, []]);
        world.store.isDown = false;
        await world.clock.advance(3_000);
        expect(sendersTo(world)).to.have.members(world.hostIds);
        world.stop();
    });

    it("is known to a restarted host at once, which sends nothing there though the bound has passed before it learned of it", async () => {
        const world = await startWorld(31);
        for (const target of world.targets.all().filter(({ dataCentreId }) => dataCentreId === evacuated)) {
            target.isUnresponsive = true;
        }
        world.evacuate(evacuated, true);
        await world.clock.advance(boundMs);
        const restarted = world.hostIds.find((hostId) => !world.hosts.coordinators().includes(hostId)) as HostId;
        world.hosts.kill(restarted);
        world.hosts.start(restarted);
        const run = world.hosts.runs.get(restarted) as HostRun;
        for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 5) {
            await world.clock.advance(5);
            if (run.view.config !== undefined) {
                expect(sendersTo(world, run), `${String(elapsedMs)} ms after the start`).to.deep.equal([]);
            }
        }
        expect(run.view.evacuations.inForce().map(({ dataCentreId }) => dataCentreId)).to.deep.equal([evacuated]);
        world.stop();
    });

    it("is kept by a host that learns of it long after the others, from the time at which it can have begun", async () => {
        const world = await startWorld(41);
        const late = world.hostIds.find((hostId) => !world.hosts.coordinators().includes(hostId)) as HostId;
        for (const target of world.targets.all().filter(({ dataCentreId }) => dataCentreId === evacuated)) {
            target.isUnresponsive = true;
        }
        world.store.disconnectedHosts.add(late);
        world.hostIds.filter((hostId) => hostId !== late).forEach((hostId) => {
            world.hosts.blockedLinks.add(`${hostId}>${late}`);
            world.hosts.blockedLinks.add(`${late}>${hostId}`);
        });
        await world.clock.advance(50);
        world.evacuate(evacuated, true);
        await world.clock.advance(4_000);
        world.store.disconnectedHosts.delete(late);
        world.hosts.blockedLinks.clear();
        const run = world.hosts.runs.get(late) as HostRun;
        await world.clock.advance(1_000);
        for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += sampleMs) {
            await world.clock.advance(sampleMs);
            if (run.view.evacuations.inForce().length > 0) {
                expect(sendersTo(world, run), `${String(boundMs + elapsedMs)} ms after the beginning`).to.deep.equal([]);
            }
        }
        expect(run.view.evacuations.inForce()).to.have.length(1);
        world.stop();
    });

    it("is read by a new coordinator before it plans, so that no key is assigned to a target of the data centre", async () => {
        const world = await startWorld(51);
        const others = world.targets.all().filter(({ dataCentreId }) => dataCentreId !== evacuated);
        world.hostIds.forEach((hostId) => world.store.refusedHosts.add(hostId));
        world.evacuate(evacuated, true);
        world.hosts.coordinators().forEach((hostId) => {
            world.hosts.kill(hostId);
        });
        others[0]?.crash();
        await world.clock.advance(3_000);
        world.store.refusedHosts.clear();
        await observe(world, 16_000);
        const assignedThere = world.hosts.logLines.filter((line) => line.includes("assignment of unowned keys finished")
            && world.targets.all().some(({ dataCentreId, targetId }) => dataCentreId === evacuated && line.includes(`"to":"${targetId}"`)));
        expect(assignedThere.slice(1)).to.deep.equal([]);
        expect(heldByEvacuated(world)).to.equal(0);
        world.stop();
    });
});
