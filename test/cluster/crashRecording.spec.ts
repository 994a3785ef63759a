import { expect } from "chai";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { draftCrashRecords, recordCrashes, watchCrashRecords } from "../../src/cluster/crashRecording.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { CrashReport } from "../../src/crashes/crashReport.js";
import type { Fingerprint, RequestFingerprints } from "../../src/crashes/requestFingerprint.js";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { HostId, Offset, ServiceId, TargetId } from "../../src/model/names.js";
import type { Clock, Instant } from "../../src/model/time.js";
import type { Log } from "../../src/observe/log.js";
import type { LedgerRecord } from "../../src/ownership/ledgerRecords.js";
import { encodeLedgerRecord } from "../../src/ownership/ledgerRecords.js";
import { decodeLedgerRecord } from "../../src/ownership/ledgerDecoder.js";
import type { LedgerWriter } from "../../src/ownership/ledgerWriter.js";
import type { DraftedRecord } from "../../src/ownership/ownershipDraft.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

const self = "h1" as HostId;
const silentLog: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const deadly = request("deadly");

function request(content: string): RequestFingerprints {
    return { content: content as Fingerprint, exact: `${content}/any` as Fingerprint };
}

function at(monoMs: number, wallMs = 1_000_000 + monoMs): Instant {
    return { monoMs, wallMs };
}

function report(target: number, contents: readonly string[]): CrashReport {
    return {
        targetId: `t-${String(target)}` as TargetId, bornWallMs: target, serviceId: "leases" as ServiceId, agoMs: 0,
        requests: contents.map((content) => ({ ...request(content), sentAgoMs: 50 })), others: { asked: 14, down: [] },
    };
}

/** Adds a crash of one target at each of the given times. */
function addCrashes(evidence: CrashEvidence, timesMs: readonly number[], contents: readonly string[]): void {
    timesMs.forEach((atMs, index) => evidence.merge({ crashes: [report(index, contents)], completions: [] }, atMs));
}

/** Applies drafted records to a ledger as if they had been appended, encoded and read. */
function append(view: ClusterView, drafts: readonly DraftedRecord[]): void {
    const from = view.ledger.upTo;
    const changes = drafts.map(({ key, record }, index) => {
        const stored = { ...encodeLedgerRecord(key, record as LedgerRecord | undefined), offset: from + index as Offset };
        return decodeLedgerRecord(stored)._unsafeUnwrap();
    });
    view.applyLedger(changes, from, from + drafts.length as Offset);
}

describe("records of crashes in the ledger", () => {
    it("are written, and let a host that knows nothing refuse a request", () => {
        const evidence = new CrashEvidence();
        const view = new ClusterView();
        expect(draftCrashRecords(view.ledger, evidence, self, at(1_000))).to.deep.equal([]);
        addCrashes(evidence, [1_000, 4_000, 7_000], ["deadly"]);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(7_000)));
        expect(draftCrashRecords(view.ledger, evidence, self, at(7_100))).to.deep.equal([]);

        const restarted = new CrashEvidence();
        const clock: Clock = { now: () => at(50, 1_009_000), sleep: () => Promise.resolve() };
        watchCrashRecords(view, restarted, clock);
        expect(restarted.standingOf(deadly, 50)).to.deep.include({ kind: "quarantined", remainingMs: 13_000 });
    });

    it("leave out requests that were run to their end since, and are removed when nobody is suspected any more", () => {
        const evidence = new CrashEvidence();
        const view = new ClusterView();
        addCrashes(evidence, [1_000, 4_000, 7_000], ["deadly", "unlucky"]);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(7_000)));
        evidence.merge({ crashes: [], completions: ["unlucky", "unlucky/any"].map((name) => ({ fingerprint: name as Fingerprint, agoMs: 0 })) }, 8_000);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(8_000)));
        expect(new Set(view.ledger.crashes().flatMap(({ requests }) => requests.map(({ content }) => content)))).to.deep.equal(new Set(["deadly"]));

        evidence.merge({ crashes: [], completions: ["deadly", "deadly/any"].map((name) => ({ fingerprint: name as Fingerprint, agoMs: 0 })) }, 30_000);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(120_000)));
        expect(view.ledger.crashes()).to.deep.equal([]);
    });

    describe("of a coordinator", () => {
        /** Records crashes of "deadly", of which two are known at the start; each append has the outcome that a test sets by its number. */
        function setUp(outcomeOf: (sent: number) => Result<void, Failure> = () => ok(undefined)) {
            const clock = new VirtualClock();
            const evidence = new CrashEvidence();
            const view = new ClusterView();
            let sent = 0;
            const record = async (records: readonly DraftedRecord[]) => {
                await clock.sleep(5);
                sent += 1;
                const outcome = outcomeOf(sent);
                if (outcome.isOk()) {
                    append(view, records);
                }
                return outcome;
            };
            const addCrash = (target: number) => evidence.merge({ crashes: [report(target, ["deadly"])], completions: [] }, clock.now().monoMs);
            const stop = new AbortController();
            const start = async () => {
                addCrash(1);
                await clock.advance(1_000);
                addCrash(2);
                const writer = { record } as unknown as LedgerWriter;
                void recordCrashes({ view, evidence, self, writer, clock, log: silentLog }, stop.signal);
            };
            return { clock, view, addCrash, start, stop };
        }

        it("are written at once, also for a crash that comes to be known while others are being recorded", async () => {
            const { clock, view, addCrash, start, stop } = setUp();
            await start();
            await clock.advance(60);
            addCrash(3);
            await clock.advance(200);
            stop.abort();
            expect(view.ledger.crashes().map(({ targetId }) => targetId)).to.have.members(["t-1", "t-2", "t-3"]);
        });

        it("are written within two seconds after the store has refused them, though nothing else happens", async () => {
            const { clock, view, start, stop } = setUp((sent) =>
                sent === 1 ? err(failure("refused", "store-append", "ledger", "the store is unavailable")) : ok(undefined));
            await start();
            await clock.advance(2_000);
            stop.abort();
            expect(view.ledger.crashes().map(({ targetId }) => targetId)).to.have.members(["t-1", "t-2"]);
        });
    });

    it("let a request be refused after three crashes though all hosts end after each of them", () => {
        const view = new ClusterView();
        const standingAfter = (number: number) => {
            const evidence = new CrashEvidence();
            const wallMs = 1_000_000 + number * 3_000;
            watchCrashRecords(view, evidence, { now: () => at(100, wallMs), sleep: () => Promise.resolve() });
            evidence.merge({ crashes: [report(number, ["deadly"])], completions: [] }, 100);
            append(view, draftCrashRecords(view.ledger, evidence, self, at(100, wallMs)));
            return evidence.standingOf(deadly, 100).kind;
        };
        expect([1, 2, 3].map(standingAfter)).to.deep.equal(["clear", "suspected", "quarantined"]);
    });

    it("tell a host that knows of crashes, but not of the completions between them, which requests these no longer count against", () => {
        const view = new ClusterView();
        const informed = new CrashEvidence();
        const cutOff = new CrashEvidence();
        const names = ["unlucky", "unlucky/any"] as Fingerprint[];
        [informed, cutOff].forEach((evidence) => {
            addCrashes(evidence, [1_000], ["deadly", "unlucky"]);
        });
        informed.merge({ crashes: [], completions: names.map((fingerprint) => ({ fingerprint, agoMs: 0 })) }, 2_000);
        for (const [target, atMs] of [[1, 4_000], [2, 7_000]] as const) {
            informed.merge({ crashes: [report(target, ["deadly", "unlucky"])], completions: [] }, atMs);
        }
        append(view, draftCrashRecords(view.ledger, informed, self, at(7_000, 1_005_000)));
        watchCrashRecords(view, cutOff, { now: () => at(7_100), sleep: () => Promise.resolve() });
        expect(informed.standingOf(request("unlucky"), 7_100)).to.deep.include({ crashCount: 2 });
        expect(cutOff.standingOf(request("unlucky"), 7_100)).to.deep.include({ crashCount: 2 });
        expect(cutOff.standingOf(deadly, 7_100)).to.deep.include({ crashCount: 3 });
    });

    it("are not written for crashes that have one cause, unless a suspect was there", () => {
        const evidence = new CrashEvidence();
        for (let target = 1; target <= 3; target++) {
            evidence.merge({ crashes: [report(target, [`any-${String(target)}`])], completions: [] }, 100 * target);
        }
        addCrashes(evidence, [5_000], ["alone"]);
        expect(draftCrashRecords(new ClusterView().ledger, evidence, self, at(5_000)).map(({ key }) => key)).to.deep.equal(["crash/t-0/0/h1"]);
    });

    it("are written for a crash beside those of a suspected request", () => {
        const evidence = new CrashEvidence();
        addCrashes(evidence, [1_000, 1_200, 1_400, 1_600], ["deadly"]);
        evidence.merge({ crashes: [report(9, ["another"])], completions: [] }, 1_500);
        expect(draftCrashRecords(new ClusterView().ledger, evidence, self, at(1_600)).map(({ key }) => key)).to.include("crash/t-9/9/h1");
    });

    it("cost no append of their own when requests that were at one crash are run to their end", () => {
        const evidence = new CrashEvidence();
        const view = new ClusterView();
        const complete = (name: string, atMs: number) => {
            evidence.merge({ crashes: [], completions: [name, `${name}/any`].map((one) => ({ fingerprint: one as Fingerprint, agoMs: 0 })) }, atMs);
        };
        addCrashes(evidence, [1_000], ["first", "second"]);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(1_000)));
        complete("first", 8_000);
        expect(draftCrashRecords(view.ledger, evidence, self, at(8_000)).map(({ isUrgent }) => isUrgent)).to.deep.equal([false]);
        evidence.merge({ crashes: [report(2, ["second"])], completions: [] }, 8_000);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(8_000)));
        complete("second", 9_000);
        expect(draftCrashRecords(view.ledger, evidence, self, at(9_000)).map(({ isUrgent }) => isUrgent)).to.deep.equal([true, true]);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(9_000)));
        expect(draftCrashRecords(view.ledger, evidence, self, at(70_000)).map(({ record, isUrgent }) => [record, isUrgent]))
            .to.deep.equal([[undefined, false], [undefined, false]]);
    });

    it("are bounded in number", () => {
        const evidence = new CrashEvidence();
        for (let index = 0; index < 120; index++) {
            evidence.merge({ crashes: [report(index, ["deadly"])], completions: [] }, index * 3_000);
        }
        expect(draftCrashRecords(new ClusterView().ledger, evidence, self, at(360_000))).to.have.length(48);
    });

    it("keep the order of events when the clock of the host that wrote them is wrong by seconds", () => {
        const evidence = new CrashEvidence();
        const view = new ClusterView();
        addCrashes(evidence, [1_000, 4_000], ["deadly"]);
        append(view, draftCrashRecords(view.ledger, evidence, self, at(4_000, 1_007_000)));
        const other = new CrashEvidence();
        other.merge({ crashes: [report(0, ["seen by this host"])], completions: [] }, 101_000);
        watchCrashRecords(view, other, { now: () => at(104_000, 1_004_000), sleep: () => Promise.resolve() });
        expect(other.crashAgeMs({ targetId: "t-0" as TargetId, bornWallMs: 0 }, 104_000)).to.equal(3_000);
        expect(other.standingOf(deadly, 104_000).kind).to.equal("suspected");
    });

    it("are removed if they are years in the future, and stay if a host's clock is ahead by minutes", () => {
        const evidence = new CrashEvidence();
        const record = (ahead: number): DraftedRecord[] => {
            const atWallMs = 1_000_000 + ahead;
            const fingerprint = `f-${String(ahead)}` as Fingerprint;
            return [
                { key: `completion/${fingerprint}`, record: { kind: "completion", fingerprint, atWallMs } },
                { key: `quarantine-release/${fingerprint}`, record: {
                    kind: "quarantine-release", fingerprint, releasedWallMs: atWallMs, author: "ops", reason: "mended",
                } },
                { key: `crash/t-${String(ahead)}/1/h9`, record: {
                    kind: "crash", recordedBy: "h9" as HostId, targetId: `t-${String(ahead)}` as TargetId, bornWallMs: 1,
                    serviceId: "leases" as ServiceId, others: { asked: 0, down: [] }, atWallMs, requests: [],
                } },
            ];
        };
        const view = new ClusterView();
        append(view, [...record(300_000), ...record(1e12)]);
        const removed = draftCrashRecords(view.ledger, evidence, self, at(0)).map(({ key }) => key);
        expect(removed).to.have.members(["crash/t-1000000000000/1/h9", "completion/f-1000000000000", "quarantine-release/f-1000000000000"]);
    });

    it("let an operator release a request", () => {
        const evidence = new CrashEvidence();
        const view = new ClusterView();
        watchCrashRecords(view, evidence, { now: () => at(10_000), sleep: () => Promise.resolve() });
        addCrashes(evidence, [1_000, 4_000, 7_000], ["deadly"]);
        expect(evidence.standingOf(deadly, 9_000).kind).to.equal("quarantined");
        append(view, ["deadly", "deadly/any"].map((fingerprint) => ({ key: `quarantine-release/${fingerprint}`, record: {
            kind: "quarantine-release" as const, fingerprint: fingerprint as Fingerprint, releasedWallMs: 1_009_500, author: "ops", reason: "mended",
        } })));
        expect(evidence.standingOf(deadly, 10_000).kind).to.equal("clear");
    });
});
