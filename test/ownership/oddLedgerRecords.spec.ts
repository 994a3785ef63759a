import { expect, use } from "chai";
import fc from "fast-check";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { ok } from "neverthrow";
import { TermClaims } from "../../src/cluster/termClaims.js";
import type { Member } from "../../src/cluster/membership.js";
import { compileDocument } from "../../src/config/compile.js";
import type { Offset, Term } from "../../src/model/names.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import type { LedgerRecord, TermRecord } from "../../src/ownership/ledgerRecords.js";
import { decodeLedgerRecord } from "../../src/ownership/ledgerDecoder.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { NewRecord, StorePort, StoreRecord } from "../../src/store/storePort.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { sampleDocument } from "../config/sample.js";
import { anyOddValue, deepJson, mutate } from "../support/oddValues.js";
import { VirtualClock } from "../support/virtualTime.js";

use(jestSnapshotPlugin());

/** Seed of the property test, so that a failure comes again. */
const seed = 41;
const runCount = 3_000;

const nowWallMs = 1_700_000_000_000;
const maxWallMs = 4_102_444_800_000;

/** A record of each kind, as hosts and hornbeamctl write it. */
const records: Record<string, object> = {
    "term": { kind: "term", term: 3, hostId: "h1", runId: "run-1", peerAddress: "10.0.0.1:7720" },
    "document/2": {
        kind: "document", version: 2, basedOn: 1, document: sampleDocument, author: "ops", reason: "first document", publishedWallMs: nowWallMs,
    },
    "drain": { kind: "drain", targetIds: ["t-1", "t-2"] },
    "ownership/t-1": {
        kind: "ownership", targetId: "t-1", serviceId: "leases", address: "10.0.0.9:8080", ranges: [{ from: 0, to: 9 }, { from: 20, to: 65_535 }],
    },
    "crash/t-1/1700000000000/h1": {
        kind: "crash", recordedBy: "h1", targetId: "t-1", bornWallMs: nowWallMs, serviceId: "leases", others: { asked: 3, down: [] },
        atWallMs: nowWallMs, requests: [{ content: "abc_-", exact: "def", sentWallMs: nowWallMs }], cleared: ["ghi"],
    },
    "completion/abc": { kind: "completion", fingerprint: "abc", atWallMs: nowWallMs },
    "trial/abc": {
        kind: "trial", fingerprint: "abc", number: 1, excessCount: 0, expectedMs: 350, outcomeWithinMs: 3_000, grantedWallMs: nowWallMs,
    },
    "quarantine-release/abc": { kind: "quarantine-release", fingerprint: "abc", releasedWallMs: nowWallMs, author: "ops", reason: "harmless now" },
};

function describeRecord(key: string, value: string): string {
    return decodeLedgerRecord({ key, value: Buffer.from(value), offset: 0 as Offset })
        .match(({ record }) => `taken: ${String(record?.kind)}`, ({ step, peer, message }) => `${step} with ${peer}: ${message}`);
}

const oddFields: readonly [key: string, field: string, value: unknown][] = [
    ["term", "term", 0], ["term", "term", 2 ** 25 - 1], ["term", "term", 2 ** 25], ["term", "term", 2 ** 53], ["term", "peerAddress", "10.0.0.1:65536"],
    ["term", "peerAddress", "10.0.0.256:1"], ["term", "peerAddress", "host-1.example:7720"], ["term", "peerAddress", ""], ["term", "hostId", "h\r\n1"],
    ["ownership/t-1", "ranges", [{ from: 9, to: 0 }]], ["ownership/t-1", "ranges", [{ from: 0, to: 9 }, { from: 9, to: 20 }]],
    ["ownership/t-1", "ranges", [{ from: 0, to: 65_536 }]], ["ownership/t-1", "ranges", [{ from: -1, to: 4 }]], ["ownership/t-1", "ranges", []],
    ["ownership/t-1", "address", "10.0.0.9:99999"], ["ownership/t-1", "address", ""], ["ownership/t-1", "targetId", "t-2"],
    ["ownership/t-1", "serviceId", "s".repeat(129)],
    ["drain", "targetIds", ["t 1"]], ["drain", "targetIds", "t-1"], ["drain", "targetIds", Array.from({ length: 100_001 }, () => "t")],
    ["document/2", "document", {}], ["document/2", "document", { ...sampleDocument, later: 1 }], ["document/2", "version", 1e15],
    ["document/2", "document", { ...sampleDocument, defaults: { ...sampleDocument.defaults, readTimeoutMs: 2 ** 31 } }],
    ["document/2", "document", { ...sampleDocument, exceptions: [{ institution: "__proto__", set: {}, reason: "12345678", author: "a" }] }],
    ["document/2", "publishedWallMs", 1e300],
    ["crash/t-1/1700000000000/h1", "atWallMs", maxWallMs], ["crash/t-1/1700000000000/h1", "atWallMs", maxWallMs + 1],
    ["crash/t-1/1700000000000/h1", "atWallMs", -1],
    ["crash/t-1/1700000000000/h1", "requests", Array.from({ length: 1_001 }, () => ({ content: "a", exact: "b", sentWallMs: 1 }))],
    ["crash/t-1/1700000000000/h1", "requests", [{ content: "a\nb", exact: "b", sentWallMs: 1 }]],
    ["crash/t-1/1700000000000/h1", "cleared", ["a\nb"]], ["crash/t-1/1700000000000/h1", "cleared", Array.from({ length: 2_001 }, () => "a")],
    ["crash/t-1/1700000000000/h1", "others", { asked: -1, down: [] }], ["crash/t-1/1700000000000/h1", "recordedBy", "h2"],
    ["completion/abc", "atWallMs", "soon"], ["completion/abc", "fingerprint", ""], ["quarantine-release/abc", "reason", "r".repeat(10_001)],
    ["trial/abc", "number", 0], ["trial/abc", "grantedWallMs", maxWallMs + 1], ["trial/abc", "outcomeWithinMs", 1e300],
];

const oddTexts: readonly [key: string, name: string, value: string][] = [
    ["term", "a number too large", JSON.stringify(records["term"]).replace("\"term\":3", "\"term\":1e999")],
    ["drain", "100000 deep", `{"kind":"drain","targetIds":[],"later":${deepJson(100_000)}}`],
    ["document/2", "a document that is 100000 deep", `{"kind":"document","version":2,"document":${deepJson(100_000)}}`],
    ["drain", "more than 1 MiB", JSON.stringify({ kind: "drain", targetIds: [], later: "x".repeat(1_048_577) })],
    ["term", "an unknown kind", "{\"kind\":\"later\"}"], ["term", "__proto__ as kind", "{\"kind\":\"__proto__\"}"],
    ["term", "no JSON", "\u0000"], ["term", "null", "null"], ["other", "another key", JSON.stringify(records["term"])],
];

function isBelievable(record: LedgerRecord): boolean {
    const isTime = (ms: number) => ms >= 0 && ms <= maxWallMs;
    switch (record.kind) {
        case "term": return Number.isSafeInteger(new FenceCounter(record.term).next()) && /:[1-9][0-9]{0,4}$/.test(record.peerAddress);
        case "document": return record.version <= 1e9 && compileDocument(record.document, record.version, nowWallMs)
            .routes.every(({ timeoutMs, targetLatencyMs }) => timeoutMs > 0 && timeoutMs <= 3_600_000 && targetLatencyMs > 0);
        case "drain": return record.targetIds.every((id) => /^[!-~]{1,128}$/.test(id));
        case "ownership": return record.ranges.every(({ from, to }, index) => from >= 0 && from <= to && to <= 65_535
            && record.ranges.every((other, at) => at === index || other.to < from || to < other.from));
        case "crash": return isTime(record.atWallMs) && isTime(record.bornWallMs) && record.requests.every(({ sentWallMs }) => isTime(sentWallMs));
        case "trial": return isTime(record.grantedWallMs) && record.number >= 1 && record.excessCount >= 0
            && [record.expectedMs, record.outcomeWithinMs].every((ms) => ms >= 0 && ms < 2 ** 31);
        case "completion": return isTime(record.atWallMs);
        case "quarantine-release": return isTime(record.releasedWallMs);
    }
}

describe("odd records in the ledger", () => {
    it("are no records: only what can be meant is taken, and the rest is named with a reason", () => {
        const fromFields = oddFields.map(([key, field, value]) =>
            [`${key}: ${field} ${JSON.stringify(value).slice(0, 30)} ${JSON.stringify(value).slice(30).slice(-30)}`, describeRecord(key, JSON.stringify({ ...records[key], [field]: value }))]);
        const fromTexts = oddTexts.map(([key, name, value]) => [`${key}: ${name}`, describeRecord(key, value)]);
        expect(Object.fromEntries([...fromFields, ...fromTexts])).toMatchSnapshot();
    });

    it("leave correct records as they are, in the same order of fields", () => {
        for (const [key, record] of Object.entries(records)) {
            const decoded = decodeLedgerRecord({ key, value: Buffer.from(JSON.stringify(record)), offset: 0 as Offset })._unsafeUnwrap();
            expect(JSON.stringify(decoded.record)).to.equal(JSON.stringify(record));
        }
    });

    it("never make the decoder throw or pass on anything outside the ranges", () => {
        let takenCount = 0;
        fc.assert(fc.property(fc.gen(), fc.constantFrom(...Object.entries(records)), fc.boolean(), (random, [key, record], isOneField) => {
            const field = random(() => fc.constantFrom(...Object.keys(record)));
            const value = isOneField ? JSON.stringify({ ...record, [field]: random(() => anyOddValue) }) : mutate(record, random);
            const decoded = decodeLedgerRecord({ key, value: Buffer.from(value), offset: 0 as Offset });
            takenCount += decoded.isOk() ? 1 : 0;
            expect(decoded.isErr() || decoded.value.record === undefined || isBelievable(decoded.value.record), value).to.equal(true);
            expect(decoded.isErr() ? decoded.error.message.length : 1).to.be.within(1, 1_200);
        }), { seed, numRuns: runCount, endOnFailure: true });
        expect(takenCount).to.be.above(runCount / 20);
    });
});

/** A host that reads a ledger, and claims the next term in it. */
function createClaims(ledger: StoreRecord[]) {
    const clock = new VirtualClock();
    const view = new ClusterView();
    const claimed: TermRecord[] = [];
    const store: StorePort = {
        snapshot: () => Promise.resolve(ok({ records: ledger, upTo: ledger.length as Offset, era: undefined })),
        read: (_topic, from) => Promise.resolve(ok({
            kind: "page" as const,
            page: { records: ledger.slice(from), next: ledger.length as Offset, end: ledger.length as Offset, era: undefined },
        })),
        append: (appended: readonly NewRecord[]) => {
            claimed.push(JSON.parse(String(appended[0]?.value)) as TermRecord);
            return Promise.resolve(ok({ kind: "appended" as const, offset: ledger.length as Offset }));
        },
    };
    const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const reader = createTopicReader({ store, decoders: {} as never, view, clock, log });
    const self = { hostId: "h2", runId: "run-2", peerAddress: "10.0.0.2:7720" } as unknown as Member;
    return { clock, view, reader, claimed, claims: new TermClaims({ self, maxHoldMs: 10_000, view, store, reader, clock, log }) };
}

describe("an odd record of the term", () => {
    const stored = (value: unknown, offset: number, key = "term"): StoreRecord =>
        ({ key, offset: offset as Offset, value: Buffer.from(JSON.stringify(value)) });
    const odd = { ...records["term"], term: 1e300 };

    it("leaves the earlier term in force at a host that knows it", async () => {
        const ledger = [stored(records["term"], 0)];
        const { view, reader } = createClaims(ledger);
        await reader.read("ledger", 0);
        ledger.push(stored(odd, 1));
        await reader.read("ledger", 0);
        expect([view.ledger.term?.term, view.ledger.upTo, view.ledger.isTermUnreadable]).to.deep.equal([3, 2, false]);
    });

    it("is followed by a term above all earlier ones at a host that starts, which waits until earlier leases have ended", async () => {
        const { clock, view, reader, claims, claimed } = createClaims([
            stored({ kind: "drain", targetIds: [] }, 0, "drain"), ...Array.from({ length: 7 }, (_, index) => stored(odd, index + 1)),
        ]);
        await reader.read("ledger", 0);
        expect(await claims.claim()).to.equal(true);
        expect(claimed.map(({ term }) => term)).to.deep.equal([9]);
        expect(view.ledger.term?.term).to.equal(9 as Term);
        expect(claims.takeClaimedTerm().predecessor.grantsUntilMs).to.be.above(clock.now().monoMs + 10_000);
    });

    it("is not seen in a ledger without one: the first term is 1, and nothing is waited for", async () => {
        const { reader, claims, claimed } = createClaims([stored({ kind: "drain", targetIds: [] }, 0, "drain")]);
        await reader.read("ledger", 0);
        await claims.claim();
        expect(claimed.map(({ term }) => term)).to.deep.equal([1]);
        expect(claims.takeClaimedTerm().predecessor.grantsUntilMs).to.equal(0);
    });
});

describe("an odd record of ownership", () => {
    const owned = (targetId: string, from: number, to: number, offset: number): StoreRecord => ({
        key: `ownership/${targetId}`, offset: offset as Offset,
        value: Buffer.from(JSON.stringify({
            kind: "ownership", targetId, serviceId: "leases", address: "10.0.0.9:8080", ranges: [{ from, to }],
        })),
    });

    /** A host that reads a ledger of which only a snapshot is left after the first reading. */
    const createSnapshotReader = (ledger: StoreRecord[]) => {
        const view = new ClusterView();
        const store = {
            snapshot: () => Promise.resolve(ok({ records: ledger, upTo: ledger.length as Offset })),
            read: () => Promise.resolve(ok({ kind: "expired" as const })),
        } as unknown as StorePort;
        const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
        return { view, reader: createTopicReader({ store, decoders: {} as never, view, clock: new VirtualClock(), log }) };
    };

    it("leaves the earlier owner in force at a host that knows it, also when the host has to read a snapshot", async () => {
        const ledger = [owned("t-1", 0, 9, 0), owned("t-2", 10, 19, 1)];
        const { view, reader } = createSnapshotReader(ledger);
        await reader.read("ledger", 0);
        ledger[0] = { ...owned("t-1", 9, 0, 2) };
        await reader.read("ledger", 0);
        expect(view.ledger.ownerships().map(({ targetId, ranges }) => [targetId, ranges])).to.have.deep.members([
            ["t-1", [{ from: 0, to: 9 }]], ["t-2", [{ from: 10, to: 19 }]],
        ]);
        expect(view.ledger.isOwnershipUnreadable).to.equal(false);
    });

    it("is noticed by a host that starts, since its keys may be leased", async () => {
        const { view, reader } = createSnapshotReader([owned("t-1", 9, 0, 0), owned("t-2", 10, 19, 1)]);
        await reader.read("ledger", 0);
        expect(view.ledger.ownerships().map(({ targetId }) => targetId)).to.deep.equal(["t-2"]);
        expect(view.ledger.isOwnershipUnreadable).to.equal(true);
    });
});
