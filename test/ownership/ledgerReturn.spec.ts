import { expect } from "chai";
import type { Address, Era, HostId, Offset, RunId, ServiceId, TargetId, Term } from "../../src/model/names.js";
import { eraOf, maxEra, offsetInEra, positionOf } from "../../src/model/storePosition.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import type { LedgerChange, LedgerRecord, OwnershipRecord, TermRecord } from "../../src/ownership/ledgerRecords.js";
import { Ledger } from "../../src/ownership/ledger.js";
import { documentKeyOf, drainKey, ownershipKeyOf, termKey } from "../../src/ownership/ledgerRecords.js";
import { eraOfTerm, nextTerm } from "../../src/ownership/termNumbers.js";

const [before, after] = [0 as Era, 1 as Era];

const termRecord = (term: number): TermRecord =>
    ({ kind: "term", term: term as Term, hostId: "h" as HostId, runId: "r" as RunId, peerAddress: "10.0.0.2:1" as Address });

const owner = (targetId: string, from: number, to: number): OwnershipRecord => ({
    kind: "ownership", targetId: targetId as TargetId, serviceId: "main" as ServiceId, address: "10.0.0.3:80" as Address,
    ranges: [{ from, to }] as unknown as OwnershipRecord["ranges"],
});

const drain = (...targetIds: string[]): LedgerRecord => ({ kind: "drain", targetIds: targetIds as TargetId[] });

const change = (era: Era, offset: number, key: string, record: LedgerRecord | undefined): LedgerChange =>
    ({ offset: positionOf(era, offset), key, record });

const keyOf = (targetId: string) => ownershipKeyOf(targetId as TargetId);

/** A ledger whose last three records, from offset 3 on, the copy below lacks. */
function knownLedger(): Ledger {
    const ledger = new Ledger();
    ledger.apply([
        change(before, 0, termKey, termRecord(1)), change(before, 1, keyOf("t1"), owner("t1", 0, 9)), change(before, 2, drainKey, drain("t9")),
        change(before, 3, keyOf("t1"), owner("t1", 0, 4)), change(before, 4, keyOf("t2"), owner("t2", 5, 9)),
        change(before, 5, drainKey, drain("t8")),
    ], 0 as Offset, positionOf(before, 6));
    return ledger;
}

const copy = [change(after, 0, termKey, termRecord(1)), change(after, 1, keyOf("t1"), owner("t1", 0, 9)), change(after, 2, drainKey, drain("t9"))];

describe("positions and terms over eras", () => {
    it("are above all earlier ones, and can be taken apart", () => {
        const position = positionOf(maxEra as Era, 2 ** 40);
        expect(Number.isSafeInteger(position)).to.equal(true);
        expect([eraOf(position), offsetInEra(position)]).to.deep.equal([maxEra, 2 ** 40]);
        expect(positionOf(after, 0)).to.be.above(positionOf(before, 2 ** 40));
        expect(eraOf(-1 as Offset)).to.equal(0);
    });

    it("never repeat a term or a fencing token whose record is lost", () => {
        const lost = nextTerm(5, before);
        const later = nextTerm(5, after);
        expect([lost, eraOfTerm(lost), eraOfTerm(later)]).to.deep.equal([6, before, after]);
        expect(new FenceCounter(later).next()).to.be.above(new FenceCounter(65_535 as Term).next());
        expect(Number.isSafeInteger(new FenceCounter(nextTerm(0, maxEra as Era)).next())).to.equal(true);
    });
});

describe("ledger after the store came back from an older copy", () => {
    it("keeps what is in force, and lists what is to be recorded again", () => {
        const ledger = knownLedger();
        ledger.replace([...copy, change(after, 3, documentKeyOf(1), drain())], positionOf(after, 4));
        expect(ledger.ownerships().map(({ targetId, ranges }) => [targetId, ranges])).to.deep.equal([
            ["t1", [{ from: 0, to: 4 }]], ["t2", [{ from: 5, to: 9 }]],
        ]);
        expect([ledger.drained(), ledger.isTermOutdated, eraOf(ledger.upTo)]).to.deep.equal([["t8"], true, after]);
        expect(ledger.lost().map(({ key }) => key)).to.have.members([keyOf("t1"), keyOf("t2"), drainKey]);
        expect(ledger.get(documentKeyOf(1)), "written again by its author").not.to.equal(undefined);
    });

    // World seed 995254: two owners.
    it("keeps what is in force when a second snapshot of the same copy arrives", () => {
        const ledger = knownLedger();
        ledger.replace(copy, positionOf(after, 3));
        ledger.replace(copy, positionOf(after, 3));
        expect(ledger.ownershipOf("t1" as TargetId)?.ranges).to.deep.equal([{ from: 0, to: 4 }]);
        expect(ledger.lost().map(({ key }) => key)).to.have.members([keyOf("t1"), keyOf("t2"), drainKey]);
    });

    // World seed 970049: two owners.
    it("keeps what is in force when an append of the earlier era takes effect late", () => {
        const ledger = knownLedger();
        ledger.replace(copy, positionOf(after, 3));
        ledger.apply([change(after, 3, keyOf("t2"), owner("t2", 7, 9))], positionOf(after, 3), positionOf(after, 4));
        expect(ledger.ownershipOf("t2" as TargetId)?.ranges).to.deep.equal([{ from: 5, to: 9 }]);
        expect(ledger.lost().map(({ key }) => key)).to.include(keyOf("t2"));
    });

    it("removes again the owner whose removal is lost", () => {
        const ledger = knownLedger();
        ledger.apply([change(before, 6, keyOf("t1"), undefined)], positionOf(before, 6), positionOf(before, 7));
        ledger.replace(copy, positionOf(after, 3));
        expect(ledger.lost()).to.deep.include({ key: keyOf("t1"), record: undefined });
        expect(ledger.ownershipOf("t1" as TargetId)).to.equal(undefined);
    });

    it("takes the copy if it knows less itself, unless it alone writes owners", () => {
        for (const isSoleWriter of [false, true]) {
            const ledger = new Ledger();
            ledger.isSoleWriter = isSoleWriter;
            ledger.apply([change(before, 0, termKey, termRecord(1))], 0 as Offset, positionOf(before, 1));
            ledger.replace(copy, positionOf(after, 3));
            expect(ledger.ownerships().length).to.equal(isSoleWriter ? 0 : 1);
            expect(ledger.isTermOutdated).to.equal(true);
        }
    });

    it("takes the copy if a later term than it knows was claimed there", () => {
        const ledger = knownLedger();
        ledger.replace([change(after, 4, termKey, termRecord(2)), change(after, 1, keyOf("t1"), owner("t1", 0, 9))], positionOf(after, 5));
        expect([ledger.term?.term, ledger.ownerships().length, ledger.lost()]).to.deep.equal([2, 1, []]);
    });

    it("drops what it knows of the lost past once another host has claimed a term", () => {
        const claimed = termRecord(nextTerm(1, after));
        const ledger = knownLedger();
        ledger.replace(copy, positionOf(after, 3));
        ledger.apply([change(after, 3, termKey, claimed), change(after, 4, keyOf("t1"), owner("t1", 2, 9))],
            positionOf(after, 3), positionOf(after, 5));
        expect(ledger.ownerships().map(({ targetId, ranges }) => [targetId, ranges])).to.deep.equal([["t1", [{ from: 2, to: 9 }]]]);
        expect([ledger.isTermOutdated, ledger.lost(), ledger.drained()]).to.deep.equal([false, [], ["t9"]]);
    });

    it("follows a coordinator of the new era only with the whole ledger", () => {
        const claimed = change(after, 3, termKey, termRecord(nextTerm(1, after)));
        const ledger = knownLedger();
        expect(ledger.apply([claimed], positionOf(after, 3), positionOf(after, 4))).to.equal(false);
        expect(ledger.apply(copy, 0 as Offset, positionOf(after, 3)), "not claimed anew").to.equal(false);
        expect(ledger.apply([claimed, copy[1] as LedgerChange], 0 as Offset, positionOf(after, 4))).to.equal(true);
        expect([ledger.term?.term, ledger.ownerships().length, ledger.upTo]).to.deep.equal([nextTerm(1, after), 1, positionOf(after, 4)]);
    });
});
