import { expect } from "chai";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Address, KeyRange, Offset, ServiceId, TargetId } from "../../src/model/names.js";
import { decodeLedgerRecord } from "../../src/ownership/ledgerDecoder.js";
import { createLedgerWriter } from "../../src/ownership/ledgerWriter.js";
import type { Assignment } from "../../src/ownership/ownershipDraft.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { AppendOutcome, NewRecord, StorePort } from "../../src/store/storePort.js";
import { VirtualClock } from "../support/virtualTime.js";

const assignment: Assignment = {
    serviceId: "s" as ServiceId, range: { from: 0, to: 9 } as KeyRange, targetId: "t" as TargetId, address: "10.0.0.1:1" as Address,
};

/** Creates a writer over a store whose appends have the outcomes that a test sets by their number. */
function setUp(append: (sent: number) => Promise<Result<AppendOutcome, Failure>>) {
    const clock = new VirtualClock();
    let sent = 0;
    const store = {
        append: () => {
            sent += 1;
            return append(sent);
        },
    } as unknown as StorePort;
    const writer = createLedgerWriter({
        store, clock, view: new ClusterView(),
        reader: { read: () => Promise.resolve(ok({ targets: [], ledger: [] })) },
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        mayWrite: () => true, isSuperseded: () => false, onWritten: () => undefined,
    });
    return { clock, writer, isStoreResponding: () => writer.isStoreResponding(clock.now().monoMs) };
}

describe("ledger writer", () => {
    it("reports the store as failing as soon as an append is slow or fails, until one is acknowledged", async () => {
        const outcomes = new Map<number, Result<AppendOutcome, Failure>>([
            [1, err(failure("lost", "store-append", "store", "no answer"))],
            [2, ok({ kind: "appended", offset: 0 as Offset })],
        ]);
        const { clock, writer, isStoreResponding } = setUp(async (sent) => {
            await clock.sleep(400);
            return outcomes.get(sent) as Result<AppendOutcome, Failure>;
        });
        expect(isStoreResponding()).to.equal(true);
        const assigned = writer.assign([assignment], "wait");
        await clock.advance(100);
        expect(isStoreResponding()).to.equal(true);
        await clock.advance(100);
        expect(isStoreResponding()).to.equal(false);
        await clock.advance(230);
        expect(isStoreResponding()).to.equal(false);
        await clock.advance(1_000);
        expect((await assigned).isOk()).to.equal(true);
        expect(isStoreResponding()).to.equal(true);
    });

    it("refuses optional assignments once an append has no answer, except those that were sent", async () => {
        const { clock, writer } = setUp(async (sent) => {
            await clock.sleep(sent === 1 ? 400 : 5);
            return ok({ kind: "appended", offset: sent as Offset });
        });
        const outcomes: string[] = [];
        const recordOutcome = (name: string, assigned: Promise<Result<void, Failure>>) => {
            void assigned.then((result) => outcomes.push(`${name} ${result.isOk() ? "done" : result.error.kind} ${String(clock.now().monoMs - startMs)}`));
        };
        const startMs = clock.now().monoMs;
        recordOutcome("sent", writer.assign([assignment], "refuse"));
        await clock.advance(10);
        recordOutcome("queued", writer.assign([assignment], "refuse"));
        recordOutcome("needed", writer.assign([assignment], "wait"));
        await clock.advance(200);
        recordOutcome("later", writer.assign([assignment], "refuse"));
        await clock.advance(1_000);
        expect(outcomes).to.deep.equal(["queued refused 150", "later refused 210", "sent done 400", "needed done 405"]);
    });

    it("answers its callers after an unexpected error, those that wait and those that come later", async () => {
        const { clock, writer } = setUp((sent) => {
            if (sent === 1) {
                throw new Error("unexpected");
            }
            return Promise.resolve(ok({ kind: "appended", offset: sent as Offset }));
        });
        let answerCount = 0;
        const assign = async () => {
            await writer.assign([assignment], "wait");
            answerCount += 1;
        };
        void assign();
        await clock.advance(1_000);
        void assign();
        await clock.advance(5_000);
        expect(answerCount).to.equal(2);
    });

    it("answers its callers when what follows from written records fails, and sends the records once", async () => {
        const clock = new VirtualClock();
        const view = new ClusterView();
        const errors: unknown[] = [];
        let sent = 0;
        let reported = 0;
        view.ledgerChanged.listen(() => {
            throw new Error("unexpected");
        });
        const writer = createLedgerWriter({
            clock, view,
            store: { append: () => Promise.resolve(ok({ kind: "appended", offset: sent++ as Offset })) } as unknown as StorePort,
            reader: { read: () => Promise.resolve(ok({ targets: [], ledger: [] })) },
            log: { info: () => undefined, warn: () => undefined, error: (_event, fields) => errors.push(fields?.["step"]) },
            mayWrite: () => true, isSuperseded: () => false,
            onWritten: () => {
                reported += 1;
                throw new Error("unexpected");
            },
        });
        const results: boolean[] = [];
        for (let index = 0; index < 2; index++) {
            void writer.assign([assignment], "wait").then((result) => results.push(result.isOk()));
            await clock.advance(1_000);
        }
        expect(results).to.deep.equal([true, true]);
        expect([sent, reported]).to.deep.equal([2, 2]);
        expect(errors).to.deep.equal(["apply", "report", "apply", "report"]);
    });

    it("refuses records that can't be encoded, and writes those that come later", async () => {
        const { clock, writer } = setUp((sent) => Promise.resolve(ok({ kind: "appended", offset: sent as Offset })));
        const results: string[] = [];
        const record = (value: unknown) => {
            void writer.record([{ key: "crash/t", record: value as never }]).then((result) => results.push(result.isOk() ? "written" : result.error.kind));
        };
        record({ kind: "crash", atWallMs: 1n });
        await clock.advance(1_000);
        record({ kind: "crash", atWallMs: 1 });
        await clock.advance(1_000);
        expect(results).to.deep.equal(["refused", "written"]);
    });

    it("records assignments that come within a short time together, and the first one at once", async () => {
        let appends = 0;
        const { clock, writer } = setUp(async () => {
            appends += 1;
            await clock.sleep(5);
            return ok({ kind: "appended", offset: appends as Offset });
        });
        const startMs = clock.now().monoMs;
        const doneMs: number[] = [];
        for (let index = 0; index < 20; index++) {
            void writer.assign([assignment], "refuse").then(() => doneMs.push(clock.now().monoMs - startMs));
            await clock.advance(10);
        }
        await clock.advance(100);
        expect(doneMs).to.have.length(20);
        expect(doneMs[0]).to.equal(5);
        expect(appends).to.be.at.most(6);
    });

    it("appends nothing when there is nothing to record, also while the store fails", async () => {
        let appends = 0;
        const { writer, isStoreResponding } = setUp(() => {
            appends += 1;
            return Promise.resolve(err(failure("refused", "store-append", "store", "status 400")));
        });
        expect((await writer.assign([], "wait")).isOk()).to.equal(true);
        expect((await writer.record([])).isOk()).to.equal(true);
        expect([appends, isStoreResponding()]).to.deep.equal([0, true]);
        await writer.assign([assignment], "wait");
        expect([appends, isStoreResponding()]).to.deep.equal([1, false]);
        expect((await writer.assign([], "refuse")).isOk()).to.equal(true);
    });

    it("does not report a store as failing that is slow but answers, and records assignments", async () => {
        const { clock, writer, isStoreResponding } = setUp(async (sent) => {
            await clock.sleep(360);
            return ok({ kind: "appended", offset: sent as Offset });
        });
        void writer.assign([assignment], "refuse");
        await clock.advance(400);
        expect(isStoreResponding()).to.equal(true);
        const outcomes: boolean[] = [];
        void writer.assign([assignment], "refuse").then((result) => outcomes.push(result.isOk()));
        await clock.advance(200);
        expect(isStoreResponding()).to.equal(true);
        void writer.assign([assignment], "refuse").then((result) => outcomes.push(result.isOk()));
        await clock.advance(600);
        expect(outcomes).to.deep.equal([true, true]);
    });

    it("completes an append whose answer is lost as soon as the ledger contains it, and reports the change", async () => {
        const clock = new VirtualClock();
        const view = new ClusterView();
        const written: string[] = [];
        let appended: readonly NewRecord[] = [];
        const store = {
            append: async (records: readonly NewRecord[]) => {
                appended = records;
                await clock.sleep(1_200);
                return err(failure("lost", "store-append", "store", "no answer"));
            },
        } as unknown as StorePort;
        const read = async () => {
            await clock.sleep(5);
            const changes = appended.map(({ key, value }, index) =>
                decodeLedgerRecord({ key, value, offset: index as Offset })._unsafeUnwrap());
            view.applyLedger(changes, 0 as Offset, changes.length as Offset);
            return ok({ targets: [], ledger: changes });
        };
        const writer = createLedgerWriter({
            store, clock, view, reader: { read },
            log: { info: () => undefined, warn: () => undefined, error: () => undefined },
            mayWrite: () => true, isSuperseded: () => false,
            onWritten: (changes, from, upTo) => {
                written.push(`${changes.map(({ key }) => key).join()} ${String(from)} ${String(upTo)}`);
            },
        });
        let doneMs: number | undefined;
        const startMs = clock.now().monoMs;
        void writer.assign([assignment], "wait").then((result) => {
            doneMs = result.isOk() ? clock.now().monoMs - startMs : undefined;
        });
        await clock.advance(2_000);
        expect(doneMs).to.be.below(400);
        expect(written).to.deep.equal(["ownership/t 0 1"]);
    });

    it("reports the store as responding again some time after a refused append, even if no append follows", async () => {
        const { clock, writer, isStoreResponding } = setUp(() => Promise.resolve(err(failure("refused", "store-append", "store", "status 503"))));
        expect((await writer.assign([assignment], "wait")).isErr()).to.equal(true);
        expect(isStoreResponding()).to.equal(false);
        await clock.advance(1_500);
        expect(isStoreResponding()).to.equal(true);
    });
});
