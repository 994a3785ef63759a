/** Servers that leave and join a cell, hosts that restart one after the other. */
import { expect } from "chai";
import type { TargetId } from "../../src/model/ids.js";
import { Callers } from "../support/scenario.js";
import { usualWorld, World } from "../support/world.js";

describe("membership", function () {
    this.timeout(60_000);

    it("replaces a server of a cell: never two owners, every order judged rightly, every key served", async () => {
        const world = new World(usualWorld);
        await world.start();
        const callers = new Callers(world);
        void callers.keepReading("battery-1");
        world.addServer("status-6" as TargetId);
        const document = world.document();
        const targets = document.institutions["hladvarmi"]?.pools["status"]?.targets ?? [];
        (targets[4] ?? { id: "" }).id = "status-6";
        world.publish(document, world.configOffset);
        for (let round = 0; round < 200; round += 1) {
            void callers.giveOrder(`battery-${String(round % 6)}`, 1);
            await world.advance(50);
        }
        callers.stop();
        await world.advance(3_000);
        expect(callers.judgeAtEnd()).to.deep.equal([]);
        expect([0, 1, 2, 3, 4, 5].map((shard) => world.ownersOf(shard as never).length)).to.deep.equal([1, 1, 1, 1, 1, 1]);
        expect([0, 1, 2, 3, 4, 5].flatMap((shard) => world.ownersOf(shard as never))).to.not.include("status-5");
        expect(callers.longestGapMs.get("battery-1")).to.be.at.most(1_000);
    });

    it("survives the loss of the first host soon after the others have joined", async () => {
        const world = new World(usualWorld);
        world.publish(world.document());
        const [first, ...others] = world.hosts as [World["hosts"][number], World["hosts"][number], World["hosts"][number]];
        for (const host of others) {
            host.process.dead = true;
        }
        world.startHost(first);
        await world.advance(3_000);
        for (const host of others) {
            host.process.dead = false;
            world.startHost(host);
        }
        await world.advance(2_500);
        const callers = new Callers(world);
        void callers.keepReading("battery-1");
        await world.advance(200);
        world.killHost(first);
        await world.advance(3_000);
        callers.stop();
        await world.advance(1_000);
        expect(callers.longestGapMs.get("battery-1")).to.be.at.most(1_000);
    });

    for (const restMs of [4_000, 300]) {
        it(`restarts every host in turn, ${String(restMs)} ms apart: no order unknown, no key moved`, async () => {
            await restartAll(restMs);
        });
    }
});

/** Restarts every host as planned under a steady stream of orders. */
async function restartAll(restMs: number): Promise<void> {
    const world = new World(usualWorld);
    await world.start();
    const callers = new Callers(world);
    const before = [0, 1, 2, 3, 4, 5].map((shard) => world.ownersOf(shard as never));
    let stop = false;
    const load = async () => {
        for (let round = 0; !stop; round += 1) {
            void callers.giveOrder(`battery-${String(round % 6)}`, 0);
            await world.clock.sleep(40);
        }
    };
    void load();
    for (const host of [...world.hosts]) {
        // The balancer sends nothing to a host that is not ready.
        world.unready.add(host.host);
        void host.coordinator.leave();
        await world.advance(1_500);
        world.restartHost(host);
        await world.advance(restMs);
        world.unready.delete(host.host);
    }
    stop = true;
    await world.advance(3_000);
    expect(callers.judgeAtEnd()).to.deep.equal([]);
    expect(callers.orders.flatMap((order) => order.told).map((told) => told.outcome).filter((told) => told !== "done")).to.deep.equal([]);
    expect([0, 1, 2, 3, 4, 5].map((shard) => world.ownersOf(shard as never))).to.deep.equal(before);
}
