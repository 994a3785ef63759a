import { expect } from "chai";
import { err } from "neverthrow";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, Key, KeyRange, Offset, ServiceId, TargetId, Term } from "../../src/model/names.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import { createLeaseManagerSet } from "../../src/ownership/leaseManagerSet.js";
import { defaultHoldMs } from "../../src/ownership/leaseTerms.js";
import { ownershipKeyOf } from "../../src/ownership/ledgerRecords.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

const serviceId = "main" as ServiceId;
const targetCount = 300;
const keysPerTarget = 100;

function rangeOf(index: number): KeyRange {
    return { from: index * keysPerTarget as Key, to: (index + 1) * keysPerTarget - 1 as Key };
}

/** A view in which each target owns one range. */
function createView(): ClusterView {
    const view = new ClusterView();
    const indexes = Array.from({ length: targetCount }, (_, index) => index);
    const nameOf = (index: number) => `t-${String(index)}` as TargetId;
    const addressOf = (index: number) => `t-${String(index)}:1` as Address;
    view.applyTargets(indexes.map((index) => ({
        targetId: nameOf(index), offset: index as Offset,
        entry: {
            targetId: nameOf(index), serviceId, address: addressOf(index), dataCentreId: "a" as DataCentreId, slots: 3, state: "ready",
            bornWallMs: 1, sequence: 1, warmingUp: false,
        },
    })), targetCount as Offset, 0);
    view.applyLedger(indexes.map((index) => ({
        offset: index as Offset, key: ownershipKeyOf(nameOf(index)),
        record: { kind: "ownership", targetId: nameOf(index), serviceId, address: addressOf(index), ranges: [rangeOf(index)] },
    })), 0 as Offset, targetCount as Offset);
    return view;
}

describe("lease managers of many targets", () => {
    // Each end of a move had the moving ranges listed once for every target, so that a coordinator of hundreds of targets fell behind.
    it("have the moving ranges listed once for all targets of a service", () => {
        const view = createView();
        const stop = new AbortController();
        const managers = createLeaseManagerSet(view, {
            leases: { open: () => Promise.resolve(err(failure("lost", "connect", "t", "not in this test"))) },
            fences: new FenceCounter(1 as Term), clock: new VirtualClock(), log: silentLog,
            mayGrant: () => false, mayUseNewFences: () => true, isRecorded: () => true, holdMs: () => defaultHoldMs, maxHoldMs: 10_000,
            rateLimitOf: () => undefined, onOutdated: () => undefined, onLeaving: () => undefined, predecessorActsUntilMs: 0,
        }, () => undefined);
        managers.syncTargets([serviceId], stop.signal);
        const moving = [rangeOf(7), { from: 950 as Key, to: 959 as Key }];
        let listCount = 0;
        managers.syncRanges(() => {
            listCount += 1;
            return moving;
        }, []);
        expect(listCount).to.equal(1);
        expect(managers.get("t-6" as TargetId)?.ranges).to.deep.equal([rangeOf(6)]);
        expect(managers.get("t-7" as TargetId)?.ranges).to.deep.equal([]);
        expect(managers.get("t-9" as TargetId)?.ranges).to.deep.equal([{ from: 900, to: 949 }, { from: 960, to: 999 }]);
        stop.abort();
    });

    // Each look at the owners listed all records anew.
    it("read the ownership records of a ledger that hasn't changed without listing them again", () => {
        const { ledger } = createView();
        const listed = ledger.ownerships();
        expect(ledger.ownerships()).to.equal(listed);
        ledger.apply([{ offset: targetCount as Offset, key: ownershipKeyOf("t-1" as TargetId), record: undefined }],
            targetCount as Offset, targetCount + 1 as Offset);
        expect(ledger.ownerships()).to.have.length(targetCount - 1);
    });
});
