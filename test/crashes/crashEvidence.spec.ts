import { expect } from "chai";
import fc from "fast-check";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { CrashEvidenceUpdate, CrashReport } from "../../src/crashes/crashReport.js";
import type { Fingerprint, RequestFingerprints } from "../../src/crashes/requestFingerprint.js";
import type { ServiceId, TargetId } from "../../src/model/names.js";

const minuteMs = 60_000;
const deadly = request("deadly");

function request(content: string): RequestFingerprints {
    return { content: content as Fingerprint, exact: `${content}/any` as Fingerprint };
}

function report(target: number, contents: readonly string[], agoMs = 0): CrashReport {
    return {
        targetId: `t-${String(target)}` as TargetId, bornWallMs: target, serviceId: "leases" as ServiceId, agoMs,
        requests: contents.map((content) => ({ ...request(content), sentAgoMs: agoMs + 50 })), others: { asked: 14, down: [] },
    };
}

function crashes(...reports: readonly CrashReport[]): CrashEvidenceUpdate {
    return { crashes: reports, completions: [] };
}

function completion(content: string): CrashEvidenceUpdate {
    return { crashes: [], completions: [{ fingerprint: content as Fingerprint, agoMs: 0 }] };
}

/** Three crashes of one request, the last one at `atMs`. */
function addThreeCrashes(evidence: CrashEvidence, atMs: number): void {
    [0, 1, 2].forEach((index) => evidence.merge(crashes(report(index, ["deadly", `other-${String(index)}`])), atMs - (2 - index) * 3_000));
}

describe("evidence of crashes", () => {
    it("turns a request from clear to suspected to quarantined, and leaves the others clear", () => {
        const evidence = new CrashEvidence();
        const kinds = [1, 2, 3].map((index) => {
            evidence.merge(crashes(report(index, ["deadly", `other-${String(index)}`])), index * 3_000);
            return evidence.standingOf(deadly, index * 3_000).kind;
        });
        expect(kinds).to.deep.equal(["clear", "suspected", "quarantined"]);
        expect(evidence.standingOf(request("other-3"), 9_000).kind).to.equal("clear");
        expect(evidence.adverseStandings(9_000).map(({ fingerprint }) => fingerprint)).to.have.members(["deadly", "deadly/any"]);
    });

    it("ends a quarantine after a time that grows with each crash after it", () => {
        const evidence = new CrashEvidence();
        addThreeCrashes(evidence, 0);
        const isQuarantinedUntil = (atMs: number) => {
            expect(evidence.standingOf(deadly, atMs - 1)).to.deep.include({ kind: "quarantined", remainingMs: 1 });
            expect(evidence.standingOf(deadly, atMs).kind).to.equal("trial-due");
        };
        isQuarantinedUntil(15_000);
        evidence.merge(crashes(report(8, ["deadly"])), minuteMs);
        isQuarantinedUntil(11 * minuteMs);
        evidence.merge(crashes(report(9, ["deadly"])), 20 * minuteMs);
        isQuarantinedUntil(260 * minuteMs);
    });

    it("clears a request that is run to its end after its quarantine", () => {
        const evidence = new CrashEvidence();
        addThreeCrashes(evidence, 10_000);
        evidence.merge(completion("deadly"), minuteMs);
        expect(evidence.standingOf({ ...deadly, exact: "deadly/new" as Fingerprint }, minuteMs).kind).to.equal("clear");
    });

    it("reports a completion once, however often the request is run", () => {
        const evidence = new CrashEvidence();
        evidence.merge(crashes(report(1, ["popular"])), 1_000);
        const added = [2_000, 3_000, 4_000].map((atMs) => evidence.merge(completion("popular"), atMs));
        expect(added.map((update) => update?.completions.length ?? 0)).to.deep.equal([1, 0, 0]);
        expect(evidence.merge(completion("never at a crash"), 5_000)).to.equal(undefined);
    });

    it("is the same on hosts that got the same updates in any order, some of them twice", () => {
        const updates = [
            ...[0, 1, 2, 3].map((index) => ({ atMs: index * 3_000, update: crashes(report(index, ["deadly", "popular", `other-${String(index)}`])) })),
            { atMs: 4_500, update: completion("popular") },
            { atMs: 3_010, update: crashes(report(1, ["seen by another host"])) },
        ];
        const nowMs = 20_000;
        const standingsAfter = (order: readonly number[]) => {
            const evidence = new CrashEvidence();
            const late = order.map((index) => updates[index]!).map(({ atMs, update }) => ({
                crashes: update.crashes.map((crash) => ({
                    ...crash, agoMs: nowMs - atMs, requests: crash.requests.map((one) => ({ ...one, sentAgoMs: nowMs - atMs + 50 })),
                })),
                completions: update.completions.map((one) => ({ ...one, agoMs: nowMs - atMs })),
            }));
            late.forEach((update) => evidence.merge(update, nowMs));
            late.forEach((update) => evidence.merge(update, nowMs));
            return evidence.adverseStandings(nowMs).map(({ fingerprint, kind, crashCount }) => `${fingerprint} ${kind} ${String(crashCount)}`).sort();
        };
        const inOrder = standingsAfter([0, 1, 2, 3, 4, 5]);
        expect(inOrder).to.include("deadly quarantined 4").and.include("popular suspected 2");
        fc.assert(fc.property(fc.shuffledSubarray([0, 1, 2, 3, 4, 5], { minLength: 6 }), (order) => {
            expect(standingsAfter(order)).to.deep.equal(inOrder);
        }));
    });

    it("passes on what another host needs to come to the same conclusion", () => {
        const evidence = new CrashEvidence();
        addThreeCrashes(evidence, 10_000);
        const other = new CrashEvidence();
        other.merge(evidence.snapshot(12_000), 5_000_000);
        expect(other.standingOf(deadly, 5_000_000)).to.deep.equal(evidence.standingOf(deadly, 12_000));
    });

    it("keeps a bounded number of crashes, those of suspected requests first, and forgets the rest after a while", () => {
        const evidence = new CrashEvidence();
        addThreeCrashes(evidence, 10_000);
        for (let index = 100; index < 2_000; index++) {
            evidence.merge(crashes(report(index, [`r-${String(index)}`])), 20_000 + index * 600);
        }
        const nowMs = 20_000 + 2_000 * 600;
        expect(evidence.crashCount).to.be.at.most(128);
        expect(evidence.targetsCrashedWith("deadly" as Fingerprint)).to.have.length(3);
        evidence.forgetOld(nowMs + 11 * minuteMs);
        expect(evidence.crashCount).to.equal(3);
        evidence.forgetOld(nowMs + 6 * 60 * minuteMs);
        expect(evidence.isEmpty).to.equal(true);
    });

    it("bounds the requests of one crash", () => {
        const evidence = new CrashEvidence();
        for (let index = 0; index < 100; index++) {
            evidence.merge(crashes(report(1, [`r-${String(index)}`])), 1_000);
        }
        expect(evidence.snapshot(1_000).crashes[0]?.requests).to.have.length(32);
    });

    it("is assessed quickly when hundreds of targets crash at once", () => {
        const evidence = new CrashEvidence();
        const startedMs = performance.now();
        for (let index = 0; index < 400; index++) {
            evidence.merge(crashes(report(index, [`a-${String(index)}`, `b-${String(index % 50)}`])), 1_000 + index);
            evidence.standingOf(deadly, 1_000 + index);
        }
        expect(evidence.adverseStandings(1_400).filter(({ kind }) => kind === "quarantined")).to.deep.equal([]);
        expect(performance.now() - startedMs).to.be.below(2_000);
    });
});
