import { expect } from "chai";
import type { Offset, RecordId } from "../../src/model/ids.js";
import { configRecord as config } from "../support/configRecord.js";
import type { FoldedState } from "../../src/platform/fold.js";
import { emptyState, foldFromStart, foldRecord, splitSnapshot, verdictOf } from "../../src/platform/fold.js";
import type { StoredRecord } from "../../src/platform/records.js";

function stored(...payloads: unknown[]): StoredRecord[] {
    return payloads.map((payload, index) => ({ offset: index + 1 as Offset, payload }));
}

const fold = (records: StoredRecord[]): FoldedState => records.reduce(foldRecord, emptyState);

describe("fold", () => {
    it("lets one of two racing operators win by log order, and tells the other what won", () => {
        const state = fold(stored(config("first", 0), config("second", 1), config("third", 1)));
        expect(state.config?.recordId).to.equal("second");
        expect(verdictOf(state, "third" as RecordId)).to.deep.include({ accepted: false, wonBy: 2 });
    });

    it("keeps the whole documents of the newest versions only", () => {
        const versions = Array.from({ length: 12 }, (_, index) => config(`version ${String(index)}`, index));
        const state = fold(stored(...versions));
        expect(state.history.map((version) => version.document !== undefined).filter((kept) => kept)).to.have.length(5);
        expect(state.history).to.have.length(12);
    });

    it("counts a record once though its append was repeated", () => {
        const state = fold(stored(config("first", 0), config("first", 0)));
        expect(state.history).to.have.length(1);
        expect(verdictOf(state, "first" as RecordId)?.accepted).to.equal(true);
    });

    it("ignores what it does not understand, but not its offset", () => {
        const state = fold(stored(config("first", 0), { kind: "other" }, "text"));
        expect(state.config?.offset).to.equal(1);
        expect(state.offset).to.equal(3);
    });

    it("refuses a change of the number of shards, and an exception without a reason", () => {
        const shards = config("shards", 1, (of) => {
            (of.institutions["hladvarmi"]?.pools["status"] ?? { shards: 0 }).shards = 8;
        });
        const reason = config("reason", 1, (of) => {
            (of.exceptions[0] ?? { reason: "" }).reason = "  ";
        });
        const state = fold(stored(config("first", 0), shards, reason));
        expect(state.config?.offset).to.equal(1);
        expect(verdictOf(state, "shards" as RecordId)?.why).to.contain("number of shards");
        expect(verdictOf(state, "reason" as RecordId)?.why).to.contain("schema");
    });

    it("never goes back: an old record, or a stale snapshot published late, changes nothing", () => {
        const first = fold(stored(config("first", 0)));
        const second = foldRecord(first, { offset: 2 as Offset, payload: config("second", 1) });
        const stale = splitSnapshot(first, "stale", 1_000_000, 0).map((payload, index) => ({ offset: 3 + index as Offset, payload }));
        const after = stale.reduce(foldRecord, second);
        expect(after.config?.recordId).to.equal("second");
        expect(foldRecord(after, { offset: 1 as Offset, payload: config("first", 0) })).to.equal(after);
    });

    it("starts from the newest whole snapshot when old records have expired", () => {
        const state = fold(stored(config("first", 0), config("second", 1)));
        const chunks = splitSnapshot(state, "s", 2_000, 0);
        expect(chunks.length).to.be.greaterThan(1);
        const records = chunks.map((payload, index): StoredRecord => ({ offset: 3 + index as Offset, payload }));
        const next = { offset: 3 + chunks.length as Offset, payload: config("third", 2) };
        expect(foldFromStart([...records, next], 3 as Offset)?.config?.recordId).to.equal("third");
        expect(foldFromStart([...records.slice(1), next], 4 as Offset), "a snapshot that is not whole").to.equal(undefined);
    });

    it("says that it cannot start when the log is empty though it once was not", () => {
        expect(foldFromStart([], 7 as Offset)).to.equal(undefined);
    });
});
