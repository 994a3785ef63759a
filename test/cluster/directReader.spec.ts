import { expect } from "chai";
import { err, ok } from "neverthrow";
import { ConfigAge } from "../../src/cluster/configAge.js";
import { createDirectReader } from "../../src/cluster/directReader.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import { failure } from "../../src/model/failure.js";
import type { Address, HostId } from "../../src/model/names.js";
import { OwnerLookup } from "../../src/ownership/ownerLookup.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Time within which a host knows a new configuration at the latest; it needs some of it for more than one reading. */
const configBoundMs = 2_500;

const callMs = 10;

/** A host of a large cluster that follows no coordinator, and a store that fails each call at first. */
function startReading(hostCount: number) {
    const clock = new VirtualClock();
    const members = Array.from({ length: hostCount }, (_, index) => ({
        hostId: `h${String(index)}` as HostId, peerAddress: `h${String(index)}:1` as Address,
    }) as Member);
    const membership = new Membership(members[0] as Member);
    membership.update(members);
    const store = { isFailing: true, callCount: 0 };
    const reader = createDirectReader({
        clock, membership, log: silentLog, configApplyMs: configBoundMs, configAge: new ConfigAge(),
        owners: new OwnerLookup(new ClusterView(), 1_000),
        reader: { read: async () => {
            store.callCount += 1;
            await clock.sleep(callMs);
            return store.isFailing ? err(failure("refused", "store-read", "store", "status 503")) : ok({ targets: [], ledger: [] });
        } },
    });
    const stop = new AbortController();
    void reader.readWhenStale(() => true, stop.signal);
    return { clock, store, reader, end: () => {
        stop.abort();
    } };
}

describe("a host that reads the store itself", () => {
    // With hundreds of hosts, a failed reading was repeated after more than twice the time in which a configuration must be in force.
    it("reads it again in time for a new configuration after a failed reading, however many hosts there are", async () => {
        for (const hostCount of [3, 70, 195, 1_000]) {
            const { clock, store, reader, end } = startReading(hostCount);
            await clock.advance(400);
            expect(store.callCount, `calls of one of ${String(hostCount)} hosts`).to.be.at.least(1);
            store.isFailing = false;
            const returnedAtMs = clock.now().monoMs;
            await clock.advance(configBoundMs / 2);
            expect(reader.lastReadAtMs, `last reading of one of ${String(hostCount)} hosts`).to.be.at.least(returnedAtMs);
            end();
        }
    });

    it("asks a store that fails less often the more hosts there are", async () => {
        const counts = [];
        for (const hostCount of [3, 195]) {
            const { clock, store, end } = startReading(hostCount);
            await clock.advance(10_000);
            counts.push(store.callCount);
            end();
        }
        expect(counts[1]).to.be.below((counts[0] as number) / 2);
    });
});
