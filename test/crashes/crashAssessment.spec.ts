import { expect } from "chai";
import fc from "fast-check";
import type { Crash, Suspicion } from "../../src/crashes/crashAssessment.js";
import { assessCrashes, quarantineExcess } from "../../src/crashes/crashAssessment.js";
import type { Fingerprint, RequestFingerprints } from "../../src/crashes/requestFingerprint.js";
import type { ServiceId, TargetId } from "../../src/model/names.js";

const serviceId = "leases" as ServiceId;
const targetCount = 15;

function request(content: string, account = "any"): RequestFingerprints {
    return { content: content as Fingerprint, exact: `${content}/${account}` as Fingerprint };
}

/** Time from the sending of a request to the crash of its target. */
const runMs = 50;

/** A crash at `seconds` of target `target`, while processes of the targets `down` were down, which had started at `downBornMs`. */
function crash(seconds: number, target: number, requests: readonly string[], down: readonly number[] = [], downBornMs = 1_000_000): Crash {
    const processOf = (index: number, run: number) => ({ targetId: `t-${String(index)}` as TargetId, bornWallMs: run });
    return {
        ...processOf(target, 1_000 + seconds), serviceId, atMs: seconds * 1_000,
        requests: requests.map((content) => ({ ...request(content), sentMs: seconds * 1_000 - runMs })),
        others: { asked: targetCount - 1, down: down.map((other) => processOf(other, downBornMs)) },
    };
}

function quarantined(crashes: readonly Crash[], completedSeconds: Record<string, number> = {}): string[] {
    const completedMs = new Map(Object.entries(completedSeconds).map(([content, seconds]) => [content as Fingerprint, seconds * 1_000]));
    const suspicions: [Fingerprint, Suspicion][] = [...assessCrashes(crashes, completedMs)];
    return suspicions.filter(([fingerprint, suspicion]) => !fingerprint.includes("/") && quarantineExcess(suspicion) >= 0).map(([content]) => content);
}

describe("who is responsible for crashes", () => {
    it("a request that was at three crashes, and none of those that were there with it", () => {
        const crashes = [crash(1, 1, ["deadly", "a", "b"]), crash(4, 2, ["c", "deadly"]), crash(7, 3, ["deadly", "d"])];
        expect(quarantined(crashes.slice(0, 2))).to.deep.equal([]);
        expect(quarantined(crashes)).to.deep.equal(["deadly"]);
    });

    it("not a request that has been run to its end since", () => {
        const crashes = [crash(1, 1, ["deadly", "popular"]), crash(4, 2, ["popular", "deadly"]), crash(7, 3, ["deadly", "popular"])];
        expect(quarantined(crashes, { popular: 5 })).to.deep.equal(["deadly"]);
    });

    it("none of two requests that were at the same crashes, until one crashes a target without the other", () => {
        const together = [1, 4, 7, 10].map((seconds, index) => crash(seconds, index, ["deadly", "unlucky"]));
        expect(quarantined(together)).to.deep.equal([]);
        expect(quarantined([...together, crash(13, 9, ["deadly", "other"])])).to.deep.equal(["deadly"]);
    });

    it("two requests that crash targets at the same time, targets with keys or without", () => {
        const slowly = [0, 3, 6].flatMap((seconds, index) => [
            crash(seconds, index * 2, ["deadly-1", `a${String(index)}`]), crash(seconds + 0.1, index * 2 + 1, ["deadly-2", `b${String(index)}`]),
        ]);
        expect(quarantined(slowly)).to.have.members(["deadly-1", "deadly-2"]);
        const quickly = Array.from({ length: 12 }, (_, index) => index).map((index) =>
            crash(index * 0.2, index, [`deadly-${String(index % 2 + 1)}`, `a${String(index)}`]));
        expect(quarantined(quickly)).to.have.members(["deadly-1", "deadly-2"]);
    });

    it("three requests that crash targets in turn within a second, though nobody was suspected at the first six crashes", () => {
        const crashes = Array.from({ length: 9 }, (_, index) =>
            crash(index * 0.07, index, [`deadly-${String(index % 3 + 1)}`, `other-${String(index)}`]));
        expect(quarantined(crashes)).to.have.members(["deadly-1", "deadly-2", "deadly-3"]);
    });

    it("one client account's requests, not another's with the same content", () => {
        const crashes = [1, 4, 7].map((seconds, index) => ({
            ...crash(seconds, index, []), requests: [{ ...request("status", "account-1"), sentMs: seconds * 1_000 - runMs }],
        }));
        const suspicions = assessCrashes(crashes, new Map([["status" as Fingerprint, 8_000]]));
        expect(quarantineExcess(suspicions.get("status/account-1" as Fingerprint)!)).to.equal(0);
        expect(suspicions.has("status" as Fingerprint)).to.equal(false);
    });

    it("nobody, if all targets end together, time and again, with the same requests", () => {
        const waves = [0, 5, 10, 15, 20].flatMap((seconds, wave) => Array.from({ length: targetCount }, (_, target) =>
            crash(seconds + target * 0.01, target, [`r${String((target + wave) % targetCount)}`, "everywhere"])));
        expect(quarantined(waves)).to.deep.equal([]);
    });

    it("nobody, if many targets end with nothing at them but one request", () => {
        const idleDown = [5, 6, 7, 8, 9, 10];
        const waves = [0, 5, 10, 15].map((seconds, target) => crash(seconds, target, ["slow"], idleDown, 1_000_000 + seconds));
        expect(quarantined(waves)).to.deep.equal([]);
    });

    it("a request that crashes targets while the same others are cut off from all hosts", () => {
        const crashes = [0, 3, 6, 9].map((seconds, target) => crash(seconds, target, ["deadly", `a${String(target)}`], [5, 6, 7, 8, 9, 10]));
        expect(quarantined(crashes.slice(0, 3))).to.deep.equal([]);
        expect(quarantined(crashes)).to.deep.equal(["deadly"]);
    });

    it("nobody, by any sequence of simultaneous ends of at least half of the targets", () => {
        const wave = fc.record({
            targets: fc.uniqueArray(fc.integer({ min: 0, max: targetCount - 1 }), { minLength: 8, maxLength: targetCount }),
            spreadSeconds: fc.double({ min: 0, max: 0.4, noNaN: true }),
            contents: fc.array(fc.integer({ min: 0, max: 25 }), { minLength: 3 * targetCount, maxLength: 3 * targetCount }),
        });
        fc.assert(fc.property(fc.array(wave, { maxLength: 8 }), (waves) => {
            const crashes = waves.flatMap(({ targets, spreadSeconds, contents }, index) => targets.map((target, position) => crash(
                index * 6 + spreadSeconds * position / targets.length, target,
                contents.slice(target * 3, target * 3 + 3).map((content) => `r${String(content)}`), targets.filter((other) => other !== target))));
            expect(quarantined(crashes)).to.deep.equal([]);
        }), { numRuns: 200 });
    });

    it("the request that was at all crashes, by any innocents beside it", () => {
        const innocents = fc.array(fc.array(fc.integer({ min: 0, max: 1_000 }), { maxLength: 2 }), { minLength: 3, maxLength: 6 });
        fc.assert(fc.property(innocents, (beside) => {
            const crashes = beside.map((contents, index) => crash(index * 3, index, ["deadly", ...contents.map((content) => `r${String(content)}`)]));
            const completed = Object.fromEntries(beside.flat().map((content) => [`r${String(content)}`, beside.length * 3]));
            expect(quarantined(crashes, completed)).to.deep.equal(["deadly"]);
        }), { numRuns: 200 });
    });
});
