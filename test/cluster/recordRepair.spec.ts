import { expect } from "chai";
import { ok } from "neverthrow";
import { repairRecords } from "../../src/cluster/recordRepair.js";
import type { Offset, TargetId } from "../../src/model/names.js";
import type { OwnershipRecord } from "../../src/ownership/ledgerRecords.js";
import { ownershipKeyOf } from "../../src/ownership/ledgerRecords.js";
import type { DraftedRecord } from "../../src/ownership/ownershipDraft.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

const key = ownershipKeyOf("t-1" as TargetId);
const record = { kind: "ownership", targetId: "t-1", serviceId: "s", address: "10.0.0.1:1", ranges: [] } as unknown as OwnershipRecord;

describe("records that another program has overwritten", () => {
    it("are written anew once, if they were known and are a coordinator's", async () => {
        const clock = new VirtualClock();
        const view = new ClusterView();
        const written: string[] = [];
        const stop = new AbortController();
        const append = (changed: DraftedRecord) => {
            const offset = view.ledger.upTo;
            view.applyLedger([{ ...changed, offset }], offset, offset + 1 as Offset);
        };
        const overwrite = (odd: string) => {
            const offset = view.ledger.upTo;
            view.ledger.markUnreadable(odd, offset);
            view.applyLedger([], offset, offset + 1 as Offset);
        };
        append({ key, record });
        append({ key: "drain", record: { kind: "drain", targetIds: [] } });
        void repairRecords({
            view, clock, log: { info: () => undefined, warn: () => undefined, error: () => undefined },
            writer: { record: (records) => {
                written.push(records.map((one) => one.key).join());
                records.forEach(append);
                return Promise.resolve(ok(undefined));
            } },
        }, stop.signal);
        await clock.advance(1_100);
        expect(written).to.deep.equal([]);
        overwrite(key);
        overwrite("drain");
        overwrite("ownership/unknown");
        await clock.advance(2_100);
        expect(written).to.deep.equal([key]);
        expect(view.ledger.ownershipOf("t-1" as TargetId)).to.deep.equal(record);
        stop.abort();
        await clock.advance(600);
    });
});
