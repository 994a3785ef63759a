import { expect } from "chai";
import type { HostId } from "../../src/model/names.js";
import { drainKey } from "../../src/ownership/ledgerRecords.js";
import { World } from "./world.js";

/** Longest lease that the simulated hosts grant. */
const longestLeaseMs = 10_000;
const settledMs = 6_000;
const copyAgeMs = 2_000;
const observedMs = 15_000;
const sampleMs = 100;
const seeds = [17, 51];

/** Has the store come back from an older copy, and returns the times after the return at which some key was held by no target. */
async function observeReturn(world: World, awayMs: number, atOutage: () => void = () => undefined): Promise<number[]> {
    const back = world.returnStore(copyAgeMs, awayMs);
    await world.clock.advance(copyAgeMs / 2);
    world.addLoad();
    await world.clock.advance(copyAgeMs / 2);
    atOutage();
    await world.clock.advance(awayMs + 1);
    await back;
    const unheldAtMs: number[] = [];
    for (let elapsedMs = 0; elapsedMs < observedMs; elapsedMs += sampleMs) {
        await world.clock.advance(sampleMs);
        if (world.targets.heldShare() < 1) {
            unheldAtMs.push(elapsedMs);
        }
    }
    return unheldAtMs;
}

describe("store that comes back from an older copy, simulated", () => {
    it("leaves no key without an owner while the coordinator lives, if it is away for a moment only", async () => {
        for (const awayMs of [100, 400, 700, 1_300]) {
            for (const seed of seeds) {
                const world = new World(seed);
                await world.clock.advance(settledMs + seed * 7);
                const name = `away for ${String(awayMs)} ms, seed ${String(seed)}`;
                expect(await observeReturn(world, awayMs), name).to.deep.equal([]);
                expect(world.targets.violations, name).to.deep.equal([]);
                world.stop();
            }
        }
    });

    /** Returns the time after the return at which all keys have an owner again, after the coordinator was killed during the outage. */
    const recoverFromKill = async (seed: number, awayMs: number): Promise<number> => {
        const world = new World(seed);
        await world.clock.advance(settledMs + seed * 7);
        const unheldAtMs = await observeReturn(world, awayMs, () => {
            world.hosts.coordinators().forEach((hostId) => {
                world.hosts.kill(hostId);
            });
        });
        expect(world.targets.violations, `away for ${String(awayMs)} ms, seed ${String(seed)}`).to.deep.equal([]);
        world.stop();
        return Math.max(0, ...unheldAtMs);
    };

    it("gives no key two owners, and each an owner again, if the coordinator is killed meanwhile", async () => {
        for (const seed of seeds) {
            expect(await recoverFromKill(seed, 400)).to.be.below(observedMs - sampleMs);
        }
    });

    it("leaves keys without an owner for no longer than the longest lease and 3 s, if the coordinator is killed meanwhile", async () => {
        for (const awayMs of [400, 3_000]) {
            expect(await recoverFromKill(51, awayMs), `away for ${String(awayMs)} ms`).to.be.at.most(longestLeaseMs + 3_000);
        }
    });

    it("costs no more than 1 s beside an ordinary outage while the coordinator lives, if it is away for longer", async () => {
        const world = new World(17);
        await world.clock.advance(settledMs);
        expect((await observeReturn(world, 3_000)).length * sampleMs).to.be.at.most(1_000);
        world.stop();
    });

    it("gives no key two owners if the store has lost the claim and the moves of a coordinator that nobody can ask", async () => {
        let movedCount = 0;
        for (const seed of [3, 5, 8, 13, 21, 34]) {
            const world = new World(seed);
            await world.clock.advance(settledMs + seed * 7);
            const copy = world.store.takeCopy();
            const [first] = world.hosts.coordinators() as [HostId];
            const isolate = (hostId: HostId) => {
                world.hostIds.filter((other) => other !== hostId).forEach((other) => {
                    world.hosts.blockedLinks.add(`${hostId}>${other}`);
                    world.hosts.blockedLinks.add(`${other}>${hostId}`);
                });
                world.store.disconnectedHosts.add(hostId);
            };
            isolate(first);
            for (let elapsedMs = 0; elapsedMs < 4_000 + seed * 100; elapsedMs += 500) {
                world.addLoad();
                await world.clock.advance(500);
            }
            world.hostIds.filter((hostId) => hostId !== first).forEach((hostId) => {
                isolate(hostId);
            });
            world.store.returnFrom(copy);
            world.store.disconnectedHosts.delete(first);
            for (let elapsedMs = 0; elapsedMs < observedMs; elapsedMs += 500) {
                world.addLoad();
                await world.clock.advance(500);
            }
            movedCount += world.hosts.logLines.filter((line) => line.includes("keys moved") && !line.includes(` ${first} `)).length;
            expect(world.hosts.coordinators()).to.include(first);
            expect(world.targets.violations, `seed ${String(seed)}`).to.deep.equal([]);
            world.heal();
            await world.clock.advance(observedMs);
            expect([world.targets.heldShare(), world.targets.violations], `seed ${String(seed)}`).to.deep.equal([1, []]);
            world.stop();
        }
        expect(movedCount, "moves of the lost past").to.be.above(0);
    });

    it("does not undo what operators drained, also at hosts that start later", async () => {
        const world = new World(7);
        await world.clock.advance(settledMs);
        const drained = () => [...world.hosts.runs.values()].map(({ view }) => view.ledger.drained());
        const back = world.returnStore(copyAgeMs, 400);
        await world.clock.advance(copyAgeMs / 2);
        world.store.put("ledger", drainKey, { kind: "drain", targetIds: ["t1"] });
        await world.clock.advance(settledMs);
        await back;
        expect(drained()).to.deep.equal([["t1"], ["t1"], ["t1"]]);
        world.hostIds.forEach((hostId) => {
            world.hosts.kill(hostId);
            world.hosts.start(hostId);
        });
        await world.clock.advance(settledMs);
        expect(drained()).to.deep.equal([["t1"], ["t1"], ["t1"]]);
        world.stop();
    });

    it("never gives out a term that it gave out before, although its claim is lost and its coordinator cannot be asked", async () => {
        const world = new World(8);
        await world.clock.advance(settledMs);
        const back = world.returnStore(copyAgeMs, 400);
        world.hosts.coordinators().forEach((hostId) => {
            world.hosts.kill(hostId);
        });
        await world.clock.advance(copyAgeMs);
        const [lostCoordinator = ""] = world.hosts.coordinators();
        const lostTerm = world.hosts.runs.get(lostCoordinator as HostId)?.view.ledger.term?.term ?? 0;
        world.hostIds.forEach((hostId) => {
            world.hosts.kill(hostId);
        });
        await world.clock.advance(1_000);
        await back;
        world.hostIds.forEach((hostId) => {
            world.hosts.start(hostId);
        });
        await world.clock.advance(settledMs);
        const terms = [...world.hosts.runs.values()].map(({ view }) => view.ledger.term?.term ?? 0);
        expect(lostTerm).to.equal(2);
        expect(Math.min(...terms)).to.be.above(lostTerm);
        world.stop();
    });
});
