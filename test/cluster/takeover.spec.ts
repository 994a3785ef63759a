import { expect } from "chai";
import { ok } from "neverthrow";
import { KnownTerm } from "../../src/cluster/knownTerm.js";
import type { Member } from "../../src/cluster/membership.js";
import type { TakeoverDependencies } from "../../src/cluster/takeover.js";
import { createTakeover } from "../../src/cluster/takeover.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import type { Address, HostId, Offset, RunId, Term } from "../../src/model/names.js";
import { Signal } from "../../src/model/signal.js";
import { termKey } from "../../src/ownership/ledgerRecords.js";
import { ClusterView } from "../../src/store/clusterView.js";
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
        knownTerm: { latest: undefined, announced: new Signal(), termRead: new Signal() }, targetReach: { isCutOff: () => false },
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

describe("a host that waits for its turn to claim the term of a lost coordinator", () => {
    // With hundreds of hosts it waited up to 23 s for its turn, and did not look at a later term that it had read meanwhile.
    it("goes on at once when it has read that another host has claimed a later term, though no announcement reached it", async () => {
        const clock = new VirtualClock();
        const view = new ClusterView();
        const self = { hostId: "h0", cpuShare: 0.1 } as Member;
        const others = Array.from({ length: 194 }, (_, index) => ({ hostId: `other-${String(index)}`, cpuShare: 1 }) as Member);
        const knownTerm = new KnownTerm(view);
        const takeover = createTakeover({
            self, clock, knownTerm,
            membership: { members: () => [self, ...others], isLeaving: false } as unknown as TakeoverDependencies["membership"],
            links: { call: () => Promise.resolve(ok(true)) } as unknown as TakeoverDependencies["links"],
            reader: { read: () => Promise.resolve(ok({ targets: [], ledger: [] })) },
            directReader: { retryDelayMs: () => 100 },
            claims: { claim: () => Promise.resolve(true) } as unknown as TakeoverDependencies["claims"],
            targetReach: { isCutOff: () => false } as unknown as TakeoverDependencies["targetReach"],
        });
        let hasEnded = false;
        void takeover.succeed(undefined, new AbortController().signal).then(() => {
            hasEnded = true;
        });
        await clock.advance(1_000);
        expect(hasEnded).to.equal(false);
        const term = { kind: "term" as const, term: 2 as Term, hostId: "other-1" as HostId, runId: "r" as RunId, peerAddress: "a:1" as Address };
        view.applyLedger([{ offset: 0 as Offset, key: termKey, record: term }], 0 as Offset, 1 as Offset);
        await clock.advance(100);
        expect(hasEnded).to.equal(true);
    });
});
