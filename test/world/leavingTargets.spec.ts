import { expect } from "chai";
import type { HostId, TargetId } from "../../src/model/names.js";
import { mayReceive } from "../../src/model/target.js";
import type { HostRun } from "./virtualHosts.js";
import { World } from "./world.js";

const settledMs = 6_000;
const sampleMs = 50;

/** Bound on the time for which requests are sent to a target after the store has acknowledged that it leaves. */
const boundMs = 2_000;

/** The hosts of a world stop sending this long after they learned of it in time. */
const drainMs = 1_300;

/** Cuts a host off from the store and from all other hosts, or ends that. */
function cutOff(world: World, hostId: HostId, isCut: boolean): void {
    const links = world.hostIds.filter((other) => other !== hostId).flatMap((other) => [`${hostId}>${other}`, `${other}>${hostId}`]);
    if (isCut) {
        world.store.disconnectedHosts.add(hostId);
        links.forEach((link) => world.hosts.blockedLinks.add(link));
    }
    else {
        world.store.disconnectedHosts.delete(hostId);
        links.forEach((link) => world.hosts.blockedLinks.delete(link));
    }
}

/** Tells whether a host would send a request to a target now. */
function wouldSend({ view, process }: HostRun, targetId: TargetId): boolean {
    const target = view.targets.get(targetId);
    return target !== undefined && mayReceive(target, drainMs, process.clock.now().monoMs);
}

/** Has a target leave while a host is cut off; returns when, from then on, the host would still send to it after the cut has ended. */
async function findSends(cutMs: number): Promise<number[]> {
    const world = new World(71, 4, 4);
    await world.clock.advance(settledMs);
    const late = world.hostIds.find((hostId) => !world.hosts.coordinators().includes(hostId)) as HostId;
    const run = world.hosts.runs.get(late) as HostRun;
    const [leaving] = world.targets.all();
    if (leaving === undefined) {
        throw new Error("the world has no targets");
    }
    cutOff(world, late, true);
    await world.clock.advance(sampleMs);
    leaving.isDraining = true;
    world.targets.publishEntries();
    await world.clock.advance(cutMs);
    cutOff(world, late, false);
    const sentAtMs: number[] = [];
    for (let atMs = cutMs; atMs < 3 * boundMs; atMs += sampleMs) {
        if (run.view.targets.get(leaving.targetId)?.state === "draining" && wouldSend(run, leaving.targetId)) {
            sentAtMs.push(atMs);
        }
        await world.clock.advance(sampleMs);
    }
    world.stop();
    return sentAtMs;
}

describe("a target that leaves, simulated", function () {
    this.timeout(60_000);

    // The drain time counted from the moment at which a host learned of it, so that a late host sent for too long.
    it("gets nothing past the bound from a host that learns of it late", async () => {
        for (const cutMs of [700, 1_000, 1_300, 1_600]) {
            expect((await findSends(cutMs)).filter((atMs) => atMs > boundMs), `cut off for ${String(cutMs)} ms`).to.deep.equal([]);
        }
    });

    it("still gets requests for most of the bound from a host that learns of it in time", async () => {
        expect((await findSends(0)).filter((atMs) => atMs <= 0.5 * boundMs)).to.not.have.length(0);
    });
});
