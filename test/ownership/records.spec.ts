import { expect } from "chai";
import fc from "fast-check";
import type { Address, HostId, Key, KeyRange, Offset, RunId, ServiceId, TargetId, Term } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import type { LedgerChange, OwnershipRecord, TermRecord } from "../../src/ownership/ledgerRecords.js";
import { Ledger } from "../../src/ownership/ledger.js";
import { encodeLedgerRecord, ownershipKeyOf, termKey } from "../../src/ownership/ledgerRecords.js";
import { decodeLedgerRecord } from "../../src/ownership/ledgerDecoder.js";
import { OwnerMap } from "../../src/ownership/ownerMap.js";
import { draftOwnerships } from "../../src/ownership/ownershipDraft.js";
import { withoutRange, withRange } from "../../src/ownership/ranges.js";
import { authorityMs, TermAuthority } from "../../src/ownership/termAuthority.js";

const serviceId = "main" as ServiceId;

function range(from: number, to: number): KeyRange {
    return { from: from as Key, to: to as Key };
}

function ownership(name: string, ...ranges: KeyRange[]): OwnershipRecord {
    return { kind: "ownership", targetId: name as TargetId, serviceId, address: "10.0.0.1:1" as Address, ranges };
}

function change(offset: number, record: OwnershipRecord): LedgerChange {
    return { offset: offset as Offset, key: ownershipKeyOf(record.targetId), record };
}

function term(number: number): TermRecord {
    return { kind: "term", term: number as Term, hostId: "h" as HostId, runId: "r" as RunId, peerAddress: "10.0.0.2:1" as Address };
}

function apply(ledger: Ledger, changes: LedgerChange[], from: number, upTo: number): boolean {
    return ledger.apply(changes, from as Offset, upTo as Offset);
}

describe("ledger", () => {
    it("decodes an encoded record, and refuses an invalid one", () => {
        const stored = encodeLedgerRecord(termKey, term(3));
        expect(decodeLedgerRecord({ ...stored, offset: 7 as Offset })._unsafeUnwrap().record).to.deep.equal(term(3));
        expect(decodeLedgerRecord({ key: "x", value: Buffer.from("{\"kind\":\"term\"}"), offset: 7 as Offset }).isErr()).to.equal(true);
    });

    it("ignores changes that are already applied, and all changes after a gap", () => {
        const ledger = new Ledger();
        apply(ledger, [change(0, ownership("a", range(0, 9)))], 0, 1);
        expect(apply(ledger, [change(0, ownership("a", range(0, 1)))], 0, 1)).to.equal(false);
        expect(apply(ledger, [change(5, ownership("a", range(0, 2)))], 5, 6)).to.equal(false);
        expect(ledger.ownershipOf("a" as TargetId)?.ranges).to.deep.equal([range(0, 9)]);
        expect(ledger.upTo).to.equal(1);
    });

    it("is replaced by a newer snapshot, but not by an older one", () => {
        const ledger = new Ledger();
        apply(ledger, [change(0, ownership("a", range(0, 9)))], 0, 1);
        expect(ledger.replace([change(4, ownership("b", range(0, 9)))], 5 as Offset)).to.equal(true);
        expect(ledger.ownerships().map(({ targetId }) => targetId)).to.deep.equal(["b"]);
        expect(ledger.replace([], 4 as Offset)).to.equal(false);
    });

    it("drafts the records for several assignments at once, and removes those of targets without keys", () => {
        const ledger = new Ledger();
        apply(ledger, [change(0, ownership("a", range(0, 99))), change(1, ownership("b", range(100, 199)))], 0, 2);
        const address = "10.0.0.1:1" as Address;
        const drafted = draftOwnerships(ledger, [
            { serviceId, address, range: range(50, 99), targetId: "b" as TargetId },
            { serviceId, address, range: range(0, 49), targetId: "c" as TargetId },
        ]);
        expect(Object.fromEntries(drafted.map(({ key, record }) => [key, record?.ranges]))).to.deep.equal({
            "ownership/a": undefined, "ownership/b": [range(50, 199)], "ownership/c": [range(0, 49)],
        });
    });
});

describe("ranges", () => {
    const anyRange = fc.tuple(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 40 }))
        .map(([left, right]) => range(Math.min(left, right), Math.max(left, right)));
    const keysOf = (ranges: readonly KeyRange[]) => ranges
        .flatMap(({ from, to }) => Array.from({ length: to - from + 1 }, (_, index) => from + index))
        .sort((left, right) => left - right);

    it("lose exactly the removed keys, and are joined when the keys are added again", () => {
        fc.assert(fc.property(anyRange, anyRange, (whole, removed) => {
            const rest = withoutRange([whole], removed);
            const inside = keysOf([whole]).filter((key) => key >= removed.from && key <= removed.to);
            expect(keysOf(rest)).to.deep.equal(keysOf([whole]).filter((key) => !inside.includes(key)));
            if (inside.length > 0) {
                const first = inside[0] ?? 0;
                expect(withRange(rest, range(first, inside.at(-1) ?? first))).to.deep.equal([whole]);
            }
        }));
    });

    it("map every key to its owner", () => {
        const map = new OwnerMap([ownership("a", range(0, 9), range(20, 29)), ownership("b", range(10, 19))]);
        fc.assert(fc.property(fc.integer({ min: 0, max: maxKey }), (key) => {
            const expected = key < 10 || (key >= 20 && key < 30) ? "a" : key < 20 ? "b" : undefined;
            expect(map.ownerOf(serviceId, key as Key)).to.equal(expected);
        }));
    });
});

describe("authority of a term", () => {
    it("lasts from the sending of the confirmed call, by the clock that shows more elapsed time", () => {
        const authority = new TermAuthority();
        expect(authority.isHeld({ monoMs: 0, wallMs: 0 })).to.equal(false);
        authority.confirm({ monoMs: 1_000, wallMs: 50_000 });
        expect(authority.isHeld({ monoMs: 1_000 + authorityMs - 1, wallMs: 50_000 })).to.equal(true);
        expect(authority.isHeld({ monoMs: 1_000 + authorityMs, wallMs: 50_000 })).to.equal(false);
        expect(authority.isHeld({ monoMs: 1_001, wallMs: 50_000 + authorityMs })).to.equal(false);
    });

    it("is not shortened by an older confirmation", () => {
        const authority = new TermAuthority();
        authority.confirm({ monoMs: 2_000, wallMs: 2_000 });
        authority.confirm({ monoMs: 1_000, wallMs: 1_000 });
        expect(authority.ageMs({ monoMs: 2_500, wallMs: 2_500 })).to.equal(500);
    });
});

describe("fencing tokens", () => {
    it("increase within a term and from term to term, and are exact integers", () => {
        const early = new FenceCounter(7 as Term);
        const late = new FenceCounter(8 as Term);
        const [first, second] = [early.next(), early.next()];
        expect(second).to.be.above(first);
        expect(late.next()).to.be.above(second);
        expect(Number.isSafeInteger(new FenceCounter(20_000_000 as Term).next())).to.equal(true);
    });
});
