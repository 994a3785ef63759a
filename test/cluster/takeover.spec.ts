import { expect } from "chai";
import { ok } from "neverthrow";
import type { TakeoverDependencies } from "../../src/cluster/takeover.js";
import { createTakeover } from "../../src/cluster/takeover.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import { Signal } from "../../src/model/signal.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Store calls and claims of a host that takes over, in order. */
function setUp() {
    const steps: string[] = [];
    const clock = new VirtualClock();
    const takeover = createTakeover({
        self: { hostId: "h1" }, membership: { members: () => [], isLeaving: false }, links: {}, clock,
        reader: { read: (topic: string) => {
            steps.push(`read ${topic}`);
            return Promise.resolve(ok({ targets: [], ledger: [] }));
        } },
        directReader: { retryDelayMs: () => 100 },
        claims: { claim: () => {
            steps.push("claim");
            return Promise.resolve(true);
        } },
        knownTerm: { latest: undefined, announced: new Signal() }, targetReach: { isCutOff: () => false },
    } as unknown as TakeoverDependencies);
    return { steps, clock, takeover };
}

describe("takeover", () => {
    it("reads the configuration topic before the claim of a lost term, so that no evacuation is missing when moves are planned", async () => {
        const { steps, clock, takeover } = setUp();
        void takeover.succeed(undefined, new AbortController().signal);
        await clock.advance(10_000);
        expect(steps.slice(-2)).to.deep.equal(["read configuration", "claim"]);
    });

    it("reads it before the claim of the term of a coordinator that resigns", async () => {
        const { steps, takeover } = setUp();
        const coordinator = { call: () => Promise.resolve(ok({ resigned: true, grantsLastMs: 100 })) } as unknown as PeerConnection;
        expect(await takeover.takeOver(coordinator)).to.equal(true);
        expect(steps).to.deep.equal(["read configuration", "claim"]);
    });
});
