import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { ok } from "neverthrow";
import { stringify } from "yaml";
import { createStore } from "../../platform/store.js";
import type { StoreStandIn } from "../../platform/standins/storeStandIn.js";
import { noStoreFaults, startStore } from "../../platform/standins/storeStandIn.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import * as config from "../../src/control/configCommands.js";
import type { Fingerprint } from "../../src/crashes/requestFingerprint.js";
import { explain } from "../../src/control/explain.js";
import * as fleet from "../../src/control/fleetCommands.js";
import { exitCodes, render } from "../../src/control/output.js";
import * as quarantine from "../../src/control/quarantineCommands.js";
import type { HostDump } from "../../src/control/session.js";
import { createSession } from "../../src/control/session.js";
import type { Address, HostId, KeyRange, RunId, ServiceId, TargetId, Term } from "../../src/model/names.js";
import { encodeLedgerRecord, ownershipKeyOf, termKey } from "../../src/ownership/ledgerRecords.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { platformDecoders } from "../../platform/decoders.js";
import { sampleDocument } from "../config/sample.js";

use(jestSnapshotPlugin());

const note = { author: "ops", reason: "a change for a test" };
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const documentText = stringify(sampleDocument);

function dumpOf(name: string, change: Partial<HostDump> = {}): HostDump {
    return {
        self: { hostId: name, runId: `${name}-run`, dataCentreId: "dc-a", peerAddress: `${name}:1` },
        members: ["h1", "h2"].map((hostId) => ({ hostId, dataCentreId: "dc-a", peerAddress: `${hostId}:1` })),
        configVersion: 1, ledgerUpTo: 3, knowledgeAgeMs: 200, pending: 0, ...change,
    };
}

describe("hornbeamctl", () => {
    let store: StoreStandIn;

    beforeEach(async () => {
        store = await startStore("127.0.0.1", 0);
    });

    afterEach(async () => {
        await store.stop();
    });

    function openSession(dumps: Record<string, HostDump> = {}) {
        const view = new ClusterView();
        const clock = createSystemClock();
        const port = createStore(store.address as Address, () => undefined);
        const reader = createTopicReader({ store: port, decoders: platformDecoders, view, clock, log: silentLog });
        return createSession({
            store: port, reader, view, clock, adminPort: 9_000,
            dumps: { dump: (address) => Promise.resolve(ok(dumps[address.split(":", 1)[0] as string] as HostDump)) },
        });
    }

    async function appendRecord(key: string, value: Parameters<typeof encodeLedgerRecord>[1]): Promise<void> {
        await createStore(store.address as Address, () => undefined).append([encodeLedgerRecord(key, value)], undefined);
    }

    async function appendTermRecord(): Promise<void> {
        await appendRecord(termKey, { kind: "term", term: 2 as Term, hostId: "h1" as HostId, runId: "r" as RunId, peerAddress: "h1:1" as Address });
    }

    it("validates a document and lists each problem", () => {
        expect(render(config.validate(documentText.replace("readTimeoutMs: 1000", "readTimeoutMs: 0")), false)).toMatchSnapshot();
        expect(config.validate(documentText).exitCode).to.equal(exitCodes.done);
    });

    it("publishes, shows, compares, lists and reverts versions", async () => {
        expect((await config.publish(openSession(), documentText, note)).json).to.deep.equal({ version: 1 });
        const changed = documentText.replace("readTimeoutMs: 1000", "readTimeoutMs: 900");
        expect(render(await config.compare(openSession(), changed), false)).toMatchSnapshot();
        expect((await config.publish(openSession(), changed, note, 1)).json).to.deep.equal({ version: 2 });
        expect((await config.revert(openSession(), 1, note)).json).to.deep.equal({ version: 3 });
        const versions = (await config.history(openSession())).json as { version: number; basedOn: number }[];
        expect(versions.map(({ version, basedOn }) => [version, basedOn])).to.deep.equal([[3, 2], [2, 1], [1, 0]]);
        expect((await config.show(openSession())).lines.at(-1)).to.equal("Version 3.");
    });

    it("accepts one of several concurrent changes, and tells the others which version is in force", async () => {
        await config.publish(openSession(), documentText, note);
        const results = await Promise.all([1, 2, 3].map(() => config.publish(openSession(), documentText, note, 1)));
        expect(results.filter(({ exitCode }) => exitCode === exitCodes.done)).to.have.length(1);
        const loser = results.find(({ exitCode }) => exitCode === exitCodes.refused);
        expect(loser?.lines[0]).to.match(/version 2 by ops is in force, because: a change for a test/);
    });

    it("keeps the ten newest versions", async () => {
        for (let version = 1; version <= 12; version++) {
            await config.publish(openSession(), documentText, note);
        }
        expect((await config.history(openSession())).json).to.have.length(10);
        expect((await config.revert(openSession(), 1, note)).exitCode).to.equal(exitCodes.refused);
    });

    it("names the next step when nothing is published, and reports a busy or unreachable store", async () => {
        expect((await config.show(openSession())).lines).to.deep.equal(["No document has been published; publish one with: hornbeamctl config publish FILE"]);
        store.faults = { ...noStoreFaults, busy: true };
        expect((await config.show(openSession())).exitCode).to.equal(exitCodes.refused);
        await store.stop();
        expect((await config.show(openSession())).exitCode).to.equal(exitCodes.unreachable);
        store = await startStore("127.0.0.1", 0);
    });

    it("lists the hosts on which the newest version is not in force", async () => {
        await config.publish(openSession(), documentText, note);
        await appendTermRecord();
        const dumps = { h1: dumpOf("h1"), h2: dumpOf("h2", { configVersion: 0 }) };
        expect(render(await config.status(openSession(dumps), 0), false)).toMatchSnapshot();
        expect((await config.status(openSession({ ...dumps, h2: dumpOf("h2") }), 0)).exitCode).to.equal(exitCodes.done);
    });

    it("shows that the store came back from an older copy, once it has", async () => {
        await appendTermRecord();
        const { table } = await fleet.status(openSession({ h1: dumpOf("h1", { storeEra: 0 }), h2: dumpOf("h2", { storeEra: 2 }) }));
        expect(table?.rows.map((row) => row[4])).to.deep.equal([3, "3, era 2"]);
    });

    it("shows hosts, targets and owners", async () => {
        await appendTermRecord();
        const ranges = [{ from: 0, to: 65_535 } as KeyRange];
        await appendRecord(ownershipKeyOf("t1" as TargetId), {
            kind: "ownership", targetId: "t1" as TargetId, serviceId: "leases" as ServiceId, address: "10.0.0.1:1" as Address, ranges,
        });
        const coordinator = { term: 2, owners: { targets: [{ targetId: "t1", standing: "ready", ranges, freeInMs: 1_800 }] } };
        const dumps = { h1: dumpOf("h1", { coordinator }), h2: dumpOf("h2", { unready: "no configuration" }) };
        expect(render(await fleet.status(openSession(dumps)), false)).toMatchSnapshot();
        expect(render(await fleet.targets(openSession(dumps)), false)).toMatchSnapshot();
        expect((await fleet.owner(openSession(dumps), "leases", "4711")).lines).to.deep.equal(["Key 4711 of leases is owned by t1."]);
        expect((await fleet.owner(openSession(dumps), "leases", "battery-7")).json).to.include({ targetId: "t1" });
        expect((await fleet.dump(openSession(dumps), "h9")).lines[0]).to.equal("Host h9 is not running; running hosts: h1, h2");
    });

    it("shows which data centre is evacuated, which hosts do not know of it, and its targets", async () => {
        await appendTermRecord();
        const ranges = [{ from: 0, to: 65_535 } as KeyRange];
        const coordinator = { term: 2, owners: { targets: [
            { targetId: "t1", standing: "leaving", ranges, freeInMs: 900 }, { targetId: "t2", standing: "ready", ranges: [], freeInMs: 0 },
        ] } };
        const knownTargets = [{ targetId: "t1", dataCentreId: "dc-b" }, { targetId: "t2", dataCentreId: "dc-a" }];
        const dumps = { h1: dumpOf("h1", { coordinator, evacuated: ["dc-b"], targets: knownTargets }), h2: dumpOf("h2") };
        expect((await fleet.status(openSession(dumps))).lines).to.include("Data centre dc-b is evacuated; not known to: h2.");
        const { table, lines, json } = await fleet.targets(openSession(dumps));
        expect(table?.rows.map((row) => row[1])).to.deep.equal(["leaving, evacuated", "ready"]);
        expect(lines).to.deep.equal(["Data centre dc-b is evacuated; not known to: h2."]);
        expect((json as object[])[0]).to.include({ targetId: "t1", evacuated: true });
    });

    it("explains a refusal by an evacuation that was in force, and not by one that had ended", () => {
        const line = (second: number, msg: string, fields: object) => JSON.stringify({
            time: `2026-01-01T00:00:0${String(second)}.000Z`, hostname: "h1", msg, ...fields,
        });
        const text = [
            line(1, "store: evacuation began", { dataCentre: "dc-a" }), line(2, "store: evacuation began", { dataCentre: "dc-b" }),
            line(3, "store: evacuation ended", { dataCentre: "dc-a" }),
            line(4, "request: refused", { request: "r1", reason: "no-target" }), line(4, "request: refused", { request: "r2", reason: "no-route" }),
            line(5, "store: evacuation ended", { dataCentre: "dc-b" }),
        ].join("\n");
        expect(explain("r1", [text]).lines.at(-1)).to.equal("Data centre dc-b was evacuated then, so its targets got no new requests.");
        expect(explain("r1", [text]).json).to.deep.include({ evacuated: ["dc-b"] });
        expect(explain("r2", [text]).lines.at(-1)).to.match(/^Cause: no-route/);
    });

    it("drains targets and undoes it", async () => {
        await fleet.drain(openSession(), "t1", false);
        await fleet.drain(openSession(), "t2", false);
        await fleet.drain(openSession(), "t1", true);
        const session = openSession();
        await session.read();
        expect(session.view.ledger.drained()).to.deep.equal(["t2"]);
    });

    describe("quarantine", () => {
        const standings = [
            { fingerprint: "aB3_fingerprint-", kind: "quarantined" as const, crashCount: 3, remainingMs: 12_345, targets: ["t1", "t2", "t3"] },
            { fingerprint: "other-fingerprnt", kind: "suspected" as const, crashCount: 2, targets: ["t1", "t4"] },
        ];
        const dumps = () => ({
            h1: dumpOf("h1", { crashes: { standings } }), h2: dumpOf("h2", { crashes: { standings: standings.slice(0, 1) } }),
        });
        const addTerm = () => appendRecord(termKey, {
            kind: "term", term: 1 as Term, hostId: "h1" as HostId, runId: "h1-run" as RunId, peerAddress: "h1:1" as Address,
        });

        it("lists what hosts suspect or refuse", async () => {
            await addTerm();
            expect(render(await quarantine.list(openSession(dumps())), false)).toMatchSnapshot();
            expect(render(await quarantine.list(openSession({ h1: dumpOf("h1"), h2: dumpOf("h2") })), false)).toMatchSnapshot();
        });

        it("releases a request that hosts know, for all of them, with author and reason", async () => {
            await addTerm();
            const requests = [["aB3_fingerprint-", "exact-1"], ["other", "exact-2"]]
                .map(([content, exact]) => ({ content: content as Fingerprint, exact: exact as Fingerprint, sentWallMs: 1 }));
            await appendRecord("crash/t1/1/h1", {
                kind: "crash", recordedBy: "h1" as HostId, targetId: "t1" as TargetId, bornWallMs: 1, serviceId: "s" as ServiceId, atWallMs: 2,
                requests, others: { asked: 3, down: [] },
            });
            const session = openSession(dumps());
            expect((await quarantine.release(session, "aB3_fingerprint-", note)).exitCode).to.equal(exitCodes.done);
            await session.read();
            expect(session.view.ledger.quarantineReleases().map(({ fingerprint }) => fingerprint)).to.have.members(["aB3_fingerprint-", "exact-1"]);
            expect(session.view.ledger.quarantineReleases()[0]).to.deep.include(note);
        });

        it("refuses to release what no host knows", async () => {
            await addTerm();
            expect((await quarantine.release(openSession(dumps()), "unknown", note)).exitCode).to.equal(exitCodes.refused);
        });
    });
});

describe("hornbeamctl explain", () => {
    const line = (fields: object) => JSON.stringify({ name: "hornbeam-host", hostname: "h1", pid: 1, level: 30, v: 0, ...fields });
    const log = [
        line({ msg: "request: sent again", request: "r1", target: "t1", end: "lost: reset", time: "2026-01-01T00:00:01.000Z", key: 40 }),
        line({ msg: "request: refused", request: "r1", targets: ["t1"], reason: "owner-silent", retryAfterMs: 900, key: 40, time: "2026-01-01T00:00:02.000Z" }),
        line({ msg: "request: answered", request: "r2", targets: ["t1"], time: "2026-01-01T00:00:02.000Z" }),
        "a line from another program",
    ].join("\n");
    const other = [
        line({ hostname: "h2", msg: "cluster: target silent", target: "t1", quietMs: 800, time: "2026-01-01T00:00:01.500Z" }),
        line({ hostname: "h2", msg: "cluster: assignment of unowned keys finished", moves: [{ keys: "0-99", to: "t2" }], time: "2026-01-01T00:00:03.500Z" }),
        line({ hostname: "h2", msg: "cluster: target silent", target: "t9", time: "2026-01-01T00:00:01.500Z" }),
        line({ hostname: "h2", msg: "cluster: target silent", target: "t1", time: "2026-01-01T01:00:00.000Z" }),
    ].join("\n");

    it("shows the cause of a request's outcome, with events of its target and its key", () => {
        expect(render(explain("r1", [log, other]), false)).toMatchSnapshot();
    });

    it("finds input that the listener denied by the client's address, or by an id that the excerpt shows", () => {
        const denied = line({
            msg: "clients: input denied", reason: "malformed", status: 400, parserCode: "HPE_INVALID_CONSTANT", time: "2026-01-01T00:00:01.000Z",
            clientAddress: "10.0.0.9:4711", earlierRequestCount: 2, excerpt: "Request-Id: r7",
        });
        const byAddress = render(explain("10.0.0.9:4711", [log, denied]), false);
        expect(byAddress).to.include("earlierRequestCount=2").and.include("Cause: malformed.");
        expect(render(explain("r7", [log, denied]), false)).to.equal(byAddress);
    });

    it("shows changes of the configuration near a request that had no route", () => {
        const lines = [
            line({ msg: "request: refused", request: "r3", reason: "no-route", hostName: "x", path: "/a/", config: 4, time: "2026-01-01T00:00:02.000Z" }),
            line({ msg: "store: configuration applied", version: 5, time: "2026-01-01T00:00:02.500Z" }),
        ].join("\n");
        expect(render(explain("r3", [lines]), false)).to.include("store: configuration applied version=5");
        expect(render(explain("r1", [log, lines]), false)).not.to.include("configuration applied");
    });

    it("is refused when no log line has the request's id", () => {
        expect(explain("r9", [log]).exitCode).to.equal(exitCodes.refused);
    });
});
