import { expect } from "chai";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { watchCrashRecords } from "../../src/cluster/crashRecording.js";
import type { TrialGranter } from "../../src/cluster/trialGrants.js";
import { createMessageChecks } from "../../src/cluster/messageChecks.js";
import { createTrialGranter } from "../../src/cluster/trialGrants.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { Fingerprint } from "../../src/crashes/requestFingerprint.js";
import type { TrialParams, TrialReturn } from "../../src/crashes/trial.js";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Offset, ServiceId, TargetId } from "../../src/model/names.js";
import type { Clock } from "../../src/model/time.js";
import type { LedgerRecord } from "../../src/ownership/ledgerRecords.js";
import { encodeLedgerRecord } from "../../src/ownership/ledgerRecords.js";
import { decodeLedgerRecord } from "../../src/ownership/ledgerDecoder.js";
import type { LedgerWriter } from "../../src/ownership/ledgerWriter.js";
import type { DraftedRecord } from "../../src/ownership/ownershipDraft.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

const request: TrialParams = {
    content: "deadly" as Fingerprint, exact: "deadly/any" as Fingerprint, expectedMs: 100, deadlineLeftMs: 2_000,
};
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };

/** Adds a crash with the request that has just happened. */
function addCrash(evidence: CrashEvidence, target: number, clock: Clock): void {
    const { content, exact } = request;
    evidence.merge({ completions: [], crashes: [{
        targetId: `t-${String(target)}` as TargetId, bornWallMs: target, serviceId: "plain" as ServiceId, agoMs: 0,
        requests: [{ content, exact, sentAgoMs: 50 }], others: { asked: 14, down: [] },
    }] }, clock.now().monoMs);
}

interface Host {
    evidence: CrashEvidence;
    view: ClusterView;
    clock: Clock;
}

/** Creates a host that has seen three crashes with the request. */
async function createHost(clock: VirtualClock): Promise<Host> {
    const host: Host = { evidence: new CrashEvidence(), view: new ClusterView(), clock };
    host.view.applyLedger([], 0 as Offset, 1 as Offset);
    watchCrashRecords(host.view, host.evidence, clock);
    for (const target of [1, 2, 3]) {
        await clock.advance(2_000);
        addCrash(host.evidence, target, clock);
    }
    return host;
}

/** Applies drafted records to a host's ledger as if they had been appended, encoded and read. */
function append({ view }: Host, drafts: readonly DraftedRecord[]): void {
    const from = view.ledger.upTo;
    view.applyLedger(drafts.map(({ key, record }, index) => {
        const stored = { ...encodeLedgerRecord(key, record as LedgerRecord | undefined), offset: from + index as Offset };
        return decodeLedgerRecord(stored)._unsafeUnwrap();
    }), from, from + drafts.length as Offset);
}

/** Creates the granter of a coordinating host whose appends take some time, or fail. */
function createGranter(
    host: Host, appendMs = 5, outcome: () => Result<void, Failure> = () => ok(undefined), mayAct = () => true,
): TrialGranter & { written: DraftedRecord[] } {
    const written: DraftedRecord[] = [];
    const writer = { record: async (drafts: readonly DraftedRecord[]) => {
        await host.clock.sleep(appendMs);
        const result = outcome();
        if (result.isOk()) {
            written.push(...drafts);
            append(host, drafts);
        }
        return result;
    } } as unknown as LedgerWriter;
    const granter = createTrialGranter({
        evidence: host.evidence, recordedTrials: () => host.view.ledger.trials(), writer, mayAct, clock: host.clock, log: silentLog,
    });
    return { ...granter, written };
}

describe("a coordinator grants a trial", () => {
    let clock: VirtualClock;
    let host: Host;

    beforeEach(async () => {
        clock = new VirtualClock();
        host = await createHost(clock);
    });

    /** Asks `count` times at once, and lets a second pass. */
    const ask = async (granter: TrialGranter, count = 1) => {
        const replies = Array.from({ length: count }, () => granter.grant(request));
        await clock.advance(1_000);
        return Promise.all(replies);
    };

    it("not before the quarantine has ended", async () => {
        await clock.advance(10_000);
        expect(await ask(createGranter(host))).to.deep.equal([{ kind: "refused", retryAfterMs: 5_000 }]);
    });

    it("once, however many hosts ask at once, and records it first", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        const replies = await ask(granter, 20);
        expect(replies.map(({ kind }) => kind)).to.deep.equal(["granted", ...Array.from({ length: 19 }, () => "refused")]);
        expect(granter.written.map(({ key }) => key)).to.deep.equal(["trial/deadly", "trial/deadly/any"]);
        expect((await ask(granter, 20)).map(({ kind }) => kind)).to.deep.equal(Array.from({ length: 20 }, () => "refused"));
    });

    it("to nobody if the record can't be written, if it is written too late, or if it may not act", async () => {
        await clock.advance(16_000);
        const failing = createGranter(host, 5, () => err(failure("refused", "store-append", "ledger", "no")));
        expect(await ask(failing)).to.deep.equal([{ kind: "unavailable" }]);
        expect(await ask(createGranter(host, 5, () => ok(undefined), () => false))).to.deep.equal([{ kind: "unavailable" }]);
        const slow = createGranter(host, 700);
        expect(await ask(slow)).to.deep.equal([{ kind: "unavailable" }]);
        expect(slow.written).to.have.length(2);
        expect((await ask(createGranter(host))).map(({ kind }) => kind)).to.deep.equal(["refused"]);
    });

    it("to nobody who asks with times that are none, and to the next one who asks", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        const checks = createMessageChecks(silentLog);
        const handle = async (message: unknown) => {
            const checked = checks.trial(message, "peer");
            return checked.isOk() ? granter.grant(checked.value) : undefined;
        };
        const odd = [Number.NaN, Number.POSITIVE_INFINITY, 5n, "5", undefined].flatMap((value) => [
            { ...request, expectedMs: value }, { ...request, deadlineLeftMs: value },
        ]);
        expect(await Promise.all([...odd, { ...request, content: "" }, undefined].map(handle))).to.deep.equal(
            Array.from({ length: odd.length + 2 }, () => undefined));
        expect(granter.written).to.deep.equal([]);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["granted"]);
    });

    it("to the next one who asks after an unexpected error", async () => {
        await clock.advance(16_000);
        let errorCount = 0;
        const granter = createGranter(host, 5, () => {
            errorCount += 1;
            if (errorCount === 1) {
                throw new Error("unexpected");
            }
            return ok(undefined);
        });
        const failed = granter.grant(request).catch((error: unknown) => String(error));
        await clock.advance(1_000);
        expect(await failed).to.equal("Error: unexpected");
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["granted"]);
    });

    it("that a later coordinator knows, also one with a clock that is half a minute ahead", async () => {
        await clock.advance(16_000);
        const ahead: Clock = {
            now: () => ({ monoMs: clock.now().monoMs, wallMs: clock.now().wallMs + 30_000 }), sleep: (ms) => clock.sleep(ms),
        };
        const successor: Host = { evidence: new CrashEvidence(), view: new ClusterView(), clock: ahead };
        successor.evidence.merge(host.evidence.snapshot(clock.now().monoMs), clock.now().monoMs);
        successor.view.applyLedger([], 0 as Offset, 1 as Offset);
        watchCrashRecords(successor.view, successor.evidence, ahead);
        const granter = createGranter(host);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["granted"]);
        append(successor, granter.written);
        expect((await ask(createGranter(successor))).map(({ kind }) => kind)).to.deep.equal(["refused"]);
    });

    it("again only after a further quarantine, if it does not learn how the first one ended", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        await ask(granter);
        await clock.advance(16_000);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["refused"]);
        await clock.advance(1_000);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["granted"]);
        expect(host.view.ledger.trials().map(({ number }) => number)).to.deep.equal([2, 2]);
    });

    /** Asks for a trial that must be granted, and returns what gives it back. */
    const grantOnce = async (granter: TrialGranter): Promise<TrialReturn> => {
        const [reply] = await ask(granter);
        const { grantedWallMs } = reply as { grantedWallMs?: number };
        expect(reply).to.deep.equal({ kind: "granted", grantedWallMs });
        return { content: request.content, exact: request.exact, grantedWallMs: grantedWallMs ?? Number.NaN };
    };

    /** Gives a trial back, and lets a second pass. */
    const giveBack = async (granter: TrialGranter, trial: TrialReturn) => {
        void granter.takeBack(trial);
        await clock.advance(1_000);
    };

    it("again 5 s after one whose request did not run, however often, and a longer quarantine only after one that did", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        for (let count = 0; count < 5; count++) {
            await giveBack(granter, await grantOnce(granter));
            expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["refused"]);
            await clock.advance(4_000);
        }
        expect(host.view.ledger.trials().map(({ number }) => number)).to.deep.equal([1, 1]);
        await grantOnce(granter);
        await clock.advance(16_000);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["refused"]);
        await clock.advance(1_000);
        await grantOnce(granter);
        expect(host.view.ledger.trials().map(({ number }) => number)).to.deep.equal([2, 2]);
    });

    it("only once for one that is given back again, or so late that the next one has been granted", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        const first = await grantOnce(granter);
        await giveBack(granter, first);
        await clock.advance(5_000);
        await grantOnce(granter);
        const writtenCount = granter.written.length;
        await giveBack(granter, first);
        await giveBack(granter, { ...first, grantedWallMs: first.grantedWallMs - 1 });
        await clock.advance(5_000);
        expect(granter.written).to.have.length(writtenCount);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["refused"]);
    });

    it("not again if the record that it was given back can't be written, or if it may not act", async () => {
        await clock.advance(16_000);
        let isFailing = false;
        let isActing = true;
        const granter = createGranter(
            host, 5, () => isFailing ? err(failure("refused", "store-append", "ledger", "no")) : ok(undefined), () => isActing);
        const trial = await grantOnce(granter);
        isFailing = true;
        await giveBack(granter, trial);
        [isFailing, isActing] = [false, false];
        await giveBack(granter, trial);
        isActing = true;
        await clock.advance(6_000);
        expect((await ask(granter)).map(({ kind }) => kind)).to.deep.equal(["refused"]);
    });

    it("that was given back, also if it is a later coordinator that grants the next one", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        await giveBack(granter, await grantOnce(granter));
        const successor: Host = { evidence: new CrashEvidence(), view: new ClusterView(), clock };
        successor.evidence.merge(host.evidence.snapshot(clock.now().monoMs), clock.now().monoMs);
        append(successor, granter.written);
        watchCrashRecords(successor.view, successor.evidence, clock);
        await clock.advance(5_000);
        expect((await ask(createGranter(successor))).map(({ kind }) => kind)).to.deep.equal(["granted"]);
    });

    it("no more once the request has been run to its end, since it is clear", async () => {
        await clock.advance(16_000);
        const granter = createGranter(host);
        await ask(granter);
        const completions = [request.content, request.exact].map((fingerprint) => ({ fingerprint, agoMs: 0 }));
        host.evidence.merge({ crashes: [], completions }, clock.now().monoMs);
        expect(host.evidence.standingOf(request, clock.now().monoMs).kind).to.equal("clear");
        expect(await ask(granter)).to.deep.equal([{ kind: "refused", retryAfterMs: 500 }]);
    });
});
