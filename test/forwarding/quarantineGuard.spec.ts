import { expect } from "chai";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { Fingerprint } from "../../src/crashes/requestFingerprint.js";
import type { TrialParams, TrialReply, TrialReturn } from "../../src/crashes/trial.js";
import type { WorkEnd } from "../../src/admission/workEnd.js";
import type { Placement, TargetSlot } from "../../src/forwarding/placement.js";
import { Signal } from "../../src/model/signal.js";
import { createQuarantineGuard } from "../../src/forwarding/quarantineGuard.js";
import type { RequestContext } from "../../src/forwarding/requestContext.js";
import type { ServiceId, TargetId } from "../../src/model/names.js";
import { VirtualClock } from "../support/virtualTime.js";

const fingerprints = { content: "deadly" as Fingerprint, exact: "deadly/any" as Fingerprint };

const rival = { content: "rival" as Fingerprint, exact: "rival/any" as Fingerprint };
/** One process of each other target. */
function processesOfOthers(bornWallMs: number) {
    return Array.from({ length: 14 }, (_, index) => ({ targetId: `other-${String(index)}` as TargetId, bornWallMs }));
}

/** What a host has seen of the request: crashes with it, beside another suspect each time if it has a rival. */
interface Past {
    crashCount: number;
    /** Times from crash to crash; 2 s each if absent. */
    gapsMs?: readonly number[];
    hasRival: boolean;
    /** True if the processes of all other targets end with each crash. */
    areAllDown: boolean;
}

const justQuarantined: Past = { crashCount: 3, hasRival: false, areAllDown: false };

/** A guard at a host that has seen crashes with the request 15 s ago and earlier; its placer always has a slot. */
async function setUp(reply: TrialReply, replyAfterMs = 5, past = justQuarantined, isInContact: () => boolean = () => true) {
    const requests = [fingerprints, ...past.hasRival ? [rival] : []].map((request) => ({ ...request, sentAgoMs: 50 }));
    const clock = new VirtualClock();
    const crashEvidence = new CrashEvidence();
    for (let target = 1; target <= past.crashCount; target++) {
        await clock.advance(past.gapsMs?.[target - 1] ?? 2_000);
        crashEvidence.merge({ completions: [], crashes: [{
            targetId: `t-${String(target)}` as TargetId, bornWallMs: target, serviceId: "plain" as ServiceId, agoMs: 0, requests,
            others: { asked: 14, down: past.areAllDown ? processesOfOthers(target) : [] },
        }] }, clock.now().monoMs);
    }
    await clock.advance(15_000);
    const asked: TrialParams[] = [];
    const released: WorkEnd[] = [];
    const returned: TrialReturn[] = [];
    const slot = { kind: "placed", expectedMs: 99.6, release: (end: WorkEnd) => released.push(end) } as unknown as TargetSlot;
    let placedCount = 0;
    const guard = createQuarantineGuard({
        clock, crashEvidence, isInContact, stopRefusalOf: () => undefined, shutdownStarted: new Signal(),
        placer: { place: () => {
            placedCount += 1;
            return Promise.resolve(slot);
        } },
        returnTrial: (params) => {
            returned.push(params);
        },
        requestTrial: async (params) => {
            asked.push(params);
            await clock.sleep(replyAfterMs);
            return reply;
        },
    });
    const context = {
        call: { clientLeft: new AbortController().signal }, getFingerprints: () => fingerprints, deadlineMs: clock.now().monoMs + 2_000,
    } as unknown as RequestContext;
    const place = async (): Promise<Placement> => {
        const placement = guard.place(context, undefined);
        await clock.advance(Math.max(10, replyAfterMs));
        return placement;
    };
    return { clock, guard, context, place, asked, released, returned, placedCount: () => placedCount };
}

describe("quarantine guard, when a quarantine has ended", () => {
    it("sends the request in a slot that is for its trial, if the coordinator grants one", async () => {
        const { place, asked, released } = await setUp({ kind: "granted" });
        expect(await place()).to.deep.include({ kind: "placed", isTrial: true });
        expect(asked).to.deep.equal([{ ...fingerprints, expectedMs: 100, deadlineLeftMs: 2_000 }]);
        expect(released).to.deep.equal([]);
    });

    for (const [kind, end, isReturned] of [
        ["was turned away", { kind: "turned-away" }, true], ["never reached its target", { kind: "unreachable" }, true],
        ["was answered", { kind: "answered", tookMs: 5 }, false], ["was lost", { kind: "lost" }, false],
        ["is late", { kind: "late", afterMs: 5 }, false], ["was perhaps sent in part", { kind: "dropped" }, false],
    ] as const) {
        it(`gives a trial back only if it certainly did not run: one that ${kind}`, async () => {
            const { place, released, returned } = await setUp({ kind: "granted", grantedWallMs: 7 });
            const placement = await place();
            expect(returned).to.deep.equal([]);
            (placement as TargetSlot).release(end);
            expect(released).to.deep.equal([end]);
            expect(returned).to.deep.equal(isReturned ? [{ ...fingerprints, grantedWallMs: 7 }] : []);
        });
    }

    it("gives a trial back that was granted too late to be used", async () => {
        const { place, returned } = await setUp({ kind: "granted", grantedWallMs: 7 }, 600);
        expect((await place()).kind).to.equal("refused");
        expect(returned).to.deep.equal([{ ...fingerprints, grantedWallMs: 7 }]);
    });

    it("refuses it with the time that the coordinator names, and returns the slot", async () => {
        const { place, released } = await setUp({ kind: "refused", retryAfterMs: 350 });
        expect(await place()).to.deep.equal({
            kind: "refused", refusal: { reason: "quarantined", retryAfterMs: 350, fingerprint: fingerprints.content },
        });
        expect(released).to.deep.equal([{ kind: "dropped" }]);
    });

    it("refuses it without a coordinator, and for a second at once, without a slot", async () => {
        const { place, guard, context, clock, placedCount } = await setUp({ kind: "unavailable" });
        expect((await place() as { refusal: object }).refusal).to.deep.include({ reason: "quarantined", retryAfterMs: 1_000 });
        expect(guard.refusalOf(context)).to.deep.include({ reason: "quarantined" });
        expect(guard.refusalOf(context)?.retryAfterMs).to.be.within(900, 1_000);
        expect(placedCount()).to.equal(1);
        await clock.advance(1_000);
        expect(guard.refusalOf(context)).to.equal(undefined);
    });

    it("does not use a grant that arrives late, as at a host that was frozen", async () => {
        const { place, released } = await setUp({ kind: "granted" }, 600);
        expect((await place()).kind).to.equal("refused");
        expect(released).to.deep.equal([{ kind: "dropped" }]);
    });
});

describe("quarantine guard, for a request that is suspected", () => {
    const strongSuspicion: Past = { crashCount: 3, hasRival: true, areAllDown: false };
    const isNotInContact = () => false;

    it("sends it, but after three crashes not while this host has no contact with the coordinator", async () => {
        let isInContact = false;
        const { place, guard, context, released, asked } = await setUp({ kind: "unavailable" }, 5, strongSuspicion, () => isInContact);
        expect(guard.refusalOf(context)).to.deep.equal({ reason: "quarantined", retryAfterMs: 1_000, fingerprint: fingerprints.content });
        expect((await place()).kind).to.equal("refused");
        expect(released).to.deep.equal([{ kind: "dropped" }]);
        isInContact = true;
        expect(guard.refusalOf(context)).to.equal(undefined);
        expect((await place()).kind).to.equal("placed");
        expect(asked).to.deep.equal([]);
    });

    it("does not send it without contact after three targets crashed, two of them before the first crash could be known", async () => {
        const past: Past = { ...strongSuspicion, gapsMs: [0, 20, 40] };
        const { place } = await setUp({ kind: "unavailable" }, 5, past, isNotInContact);
        expect((await place()).kind).to.equal("refused");
    });

    it("sends it without contact too after two crashes, or if all its crashes have another cause", async () => {
        for (const past of [{ ...strongSuspicion, crashCount: 2 }, { ...strongSuspicion, areAllDown: true }]) {
            const { place } = await setUp({ kind: "unavailable" }, 5, past, isNotInContact);
            expect((await place()).kind).to.equal("placed");
        }
    });
});
