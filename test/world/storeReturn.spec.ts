import { expect } from "chai";
import { World } from "./world.js";

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
});
