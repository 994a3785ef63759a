import { expect } from "chai";
import { ok } from "neverthrow";
import { ConfigAge } from "../../src/cluster/configAge.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import { createMessageChecks } from "../../src/cluster/messageChecks.js";
import type { EvacuationList, News } from "../../src/cluster/messages.js";
import { createNewsReceiver } from "../../src/cluster/newsReceiver.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { DataCentreId, HostId, Offset, Term } from "../../src/model/names.js";
import { OwnerLookup } from "../../src/ownership/ownerLookup.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";
import { World } from "../world/world.js";

const dataCentreId = "there" as DataCentreId;
const inForce = [{ dataCentreId, offset: 5 as Offset, isInForce: true }];

/** A follower that has read the configuration topic up to an offset. */
function createFollower(readUpTo: number) {
    const clock = new VirtualClock();
    const view = new ClusterView();
    view.applyConfig(undefined, readUpTo as Offset, readUpTo as Offset);
    const receiver = createNewsReceiver({
        log: silentLog,
        view, clock, checks: createMessageChecks(silentLog), owners: new OwnerLookup(view, 1_000), crashEvidence: new CrashEvidence(),
        membership: new Membership({ hostId: "h1", runId: "r1", peerAddress: "h1:1", dataCentreId: "here", cpuShare: 1 } as Member),
        configAge: new ConfigAge(), configFetcher: { fetchFrom: () => Promise.resolve() }, latestTerm: () => 3 as Term,
        reader: { read: () => Promise.resolve(ok({ targets: [], ledger: [] })) },
    });
    const connection = { address: "h2:1", call: () => new Promise(() => undefined) } as unknown as PeerConnection;
    const receive = (evacuations: EvacuationList | undefined, configAgeMs = 0) => {
        receiver.apply({
            term: 3 as Term, storeAgeMs: 0, configAgeMs, configOffset: -1 as Offset, configVersion: -1, targetsUpTo: 0 as Offset,
            targetsDigest: view.targets.digest(), ledgerUpTo: view.ledger.upTo, membersVersion: 0, sentAtMs: clock.now().monoMs,
            ...evacuations === undefined ? {} : { evacuations },
        } as News, connection);
    };
    return { clock, view, receive };
}

describe("evacuations in a coordinator's updates", () => {
    it("do not bring back an evacuation that had ended when this host read the topic, since no record would end it again", () => {
        const { view, receive } = createFollower(9);
        receive({ upTo: 6 as Offset, inForce });
        expect(view.evacuations.inForce()).to.deep.equal([]);
        receive({ upTo: 9 as Offset, inForce: [{ dataCentreId, offset: 8 as Offset, isInForce: true }] });
        expect(view.evacuations.inForce()).to.have.length(1);
    });

    it("confirm what this host knows only if the coordinator sends them, which one of an earlier version does not", async () => {
        for (const sendsEvacuations of [true, false]) {
            const { clock, view, receive } = createFollower(0);
            receive(sendsEvacuations ? { upTo: 0 as Offset, inForce: [] } : undefined);
            await clock.advance(4_000);
            receive(undefined, 100);
            const nowMs = clock.now().monoMs;
            view.evacuations.apply(inForce, nowMs);
            expect(view.evacuations.leavingSinceMs(dataCentreId)).to.equal(sendsEvacuations ? nowMs : Number.NEGATIVE_INFINITY);
        }
    });

    it("end an evacuation at a host that cannot read the store, although no other host remembers it", async () => {
        const world = new World(61);
        await world.clock.advance(6_000);
        world.evacuate(dataCentreId, true);
        await world.clock.advance(2_000);
        const late = world.hostIds.find((hostId) => !world.hosts.coordinators().includes(hostId)) as HostId;
        const others = world.hostIds.filter((hostId) => hostId !== late);
        const evacuatedAtLate = () => world.hosts.runs.get(late)?.view.evacuations.inForce().length;
        world.store.disconnectedHosts.add(late);
        others.forEach((hostId) => {
            world.hosts.blockedLinks.add(`${hostId}>${late}`);
            world.hosts.blockedLinks.add(`${late}>${hostId}`);
            world.hosts.kill(hostId);
        });
        world.evacuate(dataCentreId, false);
        others.forEach((hostId) => {
            world.hosts.start(hostId);
        });
        await world.clock.advance(15_000);
        expect(evacuatedAtLate()).to.equal(1);
        world.hosts.blockedLinks.clear();
        await world.clock.advance(8_000);
        expect(evacuatedAtLate()).to.equal(0);
        world.stop();
    });
});
