import { expect } from "chai";
import { AdmissionQueue } from "../../src/admission/admissionQueue.js";
import type { AdmissionRequest, AdmissionVerdict, Ticket } from "../../src/admission/admissionRequest.js";
import { CallerShares } from "../../src/admission/callerShares.js";
import type { Outcome, Replay, ReplayOutcome } from "./loadReplay.js";
import { replayLoad } from "./loadReplay.js";
import { formatVerdicts, request, target } from "./queueFixtures.js";

/** The two kinds of a service with keys, at their usual rates for one of 80 targets. */
const urgent = { priority: 0, workMs: 180, latencyMs: 511, deadlineMs: 2_548, perSecond: () => 2.6 };
const long = { priority: 2, workMs: 1_003, latencyMs: 6_012, deadlineMs: 12_007, perSecond: () => 2.4 };
const seeds = [1, 2, 3, 4];

function replays(change: Partial<Replay>): ReplayOutcome[] {
    return seeds.map((seed) => replayLoad({
        kinds: [urgent, long], slots: 6, slowness: 1, seconds: 30, countFromMs: 5_000, callerCount: 60, impatientShare: 0,
        sharesScarceCapacity: true, seed, ...change,
    }));
}

/** Returns a share of the requests in several replays. */
function shareOf(outcomes: readonly (Outcome | undefined)[], part: "served" | "inTime"): number {
    const sum = (field: keyof Outcome) => outcomes.reduce((total, outcome) => total + (outcome?.[field] ?? 0), 0);
    return sum(part) / sum("asked");
}

const ofPriority = (outcomes: readonly ReplayOutcome[], priority: number) => outcomes.map(({ byPriority }) => byPriority.get(priority));

/** A queue of one target with six slots that shares scarce capacity. */
function sharingQueue(slots = 6): AdmissionQueue {
    const queue = new AdmissionQueue(() => 0.5, true, true);
    queue.setTargets([target("t1", { slots })], 0);
    return queue;
}

function requestOf(kind: typeof urgent, name: string, nowMs: number, change: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return request(name, {
        priority: kind.priority, workMs: kind.workMs, arrivedMs: nowMs, softDeadlineMs: nowMs + kind.latencyMs,
        deadlineMs: nowMs + kind.deadlineMs, ...change,
    });
}

const grantsIn = (verdicts: readonly AdmissionVerdict[]) => verdicts.filter(({ kind }) => kind === "granted").length;

describe("reserved slots", () => {
    it("keep urgent work in time beside a burst of long work, which would otherwise hold every slot", () => {
        const outcomes = replays({ kinds: [urgent, { ...long, perSecond: () => 2.4 * 2.2 }] });
        expect(shareOf(ofPriority(outcomes, 0), "inTime")).to.be.above(0.9);
        expect(shareOf(ofPriority(outcomes, 2), "served")).to.be.above(0.7);
    });

    it("keep urgent work served beside a burst of long work at a target that is slower than the average", () => {
        const outcomes = replays({ slowness: 1.6, kinds: [urgent, { ...long, perSecond: () => 2.4 * 2.2 }] });
        const [urgentServed, longServed] = [shareOf(ofPriority(outcomes, 0), "served"), shareOf(ofPriority(outcomes, 2), "served")];
        expect(urgentServed).to.be.above(0.9);
        expect(longServed).to.be.above(urgentServed / 4);
    });

    it("leave long work a quarter of the served share of all in a burst of urgent work, and no more than the urgent share", () => {
        for (const factor of [10, 20]) {
            const outcomes = replays({ kinds: [{ ...urgent, perSecond: () => 2.6 * factor }, long] });
            const all = shareOf(outcomes.flatMap(({ byPriority }) => [...byPriority.values()]), "served");
            const longServed = shareOf(ofPriority(outcomes, 2), "served");
            expect(longServed, `factor ${String(factor)}`).to.be.above(all / 4);
            expect(longServed, `factor ${String(factor)}`).to.be.below(shareOf(ofPriority(outcomes, 0), "served") + 0.05);
        }
    });

    it("are given back within seconds when urgent work stops, since idle slots cost long work", () => {
        const outcomes = replays({ seconds: 15, kinds: [{ ...urgent, perSecond: (nowMs) => nowMs < 8_000 ? 2.6 : 0 }, long] });
        expect(outcomes.every(({ maxReserved }) => maxReserved > 0)).to.equal(true);
        expect(outcomes.map(({ reservedAtEnd }) => reservedAtEnd)).to.deep.equal(seeds.map(() => 0));
    });

    it("never number more than a quarter of the slots, rounded up", () => {
        for (const slots of [1, 2, 4, 6]) {
            const outcomes = replays({ slots, seconds: 12, kinds: [{ ...urgent, perSecond: () => 40 }, long] });
            expect(Math.max(...outcomes.map(({ maxReserved }) => maxReserved)), String(slots)).to.be.at.most(Math.ceil(slots / 4));
        }
    });

    it("are not kept where all requests have the same priority, or where scarce capacity is not shared", () => {
        const burst = [urgent, { ...long, perSecond: () => 2.4 * 2.2 }];
        const outcomes = replays({ seconds: 10, kinds: burst.map((kind) => ({ ...kind, priority: 1 })) });
        expect(outcomes.map(({ maxReserved }) => maxReserved)).to.deep.equal(seeds.map(() => 0));
        const queue = new AdmissionQueue(() => 0.5, true);
        queue.setTargets([target("t1", { slots: 6 })], 0);
        queue.offer(requestOf(urgent, "u", 0), 0);
        const verdicts = Array.from({ length: 5 }, (_, index) => queue.offer(requestOf(long, `l${String(index)}`, 0), 0)).flat();
        expect(grantsIn(verdicts)).to.equal(5);
        expect(queue.describeSharing(0)).to.equal(undefined);
    });

    it("do not keep the only slot of a target from less urgent work", () => {
        const queue = sharingQueue(1);
        queue.offer(requestOf(urgent, "u", 0), 0);
        queue.finish("u" as Ticket, { kind: "answered", tookMs: 180 }, 180);
        expect(formatVerdicts(queue.offer(requestOf(long, "l", 200), 200))).to.deep.equal(["l to t1"]);
    });

    it("count in the refusal of long work: it says so, and its retry time is when there is room for its kind", () => {
        const queue = sharingQueue(2);
        for (let nowMs = 0; nowMs < 2_000; nowMs += 200) {
            queue.offer(requestOf(urgent, String(nowMs), nowMs), nowMs);
            queue.finish(String(nowMs) as Ticket, { kind: "answered", tookMs: 180 }, nowMs + 180);
        }
        expect(formatVerdicts(queue.offer(requestOf(long, "l1", 2_000), 2_000))).to.deep.equal(["l1 to t1"]);
        const [verdict] = queue.offer(requestOf(long, "l2", 2_000, { softDeadlineMs: 3_100, deadlineMs: 3_100 }), 2_000);
        expect(verdict).to.deep.include({ kind: "refused", reason: "overloaded", isReserved: true });
        expect(verdict?.kind === "refused" && verdict.retryAfterMs).to.be.above(1_000);
        expect(formatVerdicts(queue.offer(requestOf(urgent, "u", 2_010), 2_010))).to.deep.equal(["u to t1"]);
    });

    it("ignore absurd work times, deadlines, priorities and a clock that steps", () => {
        const queue = sharingQueue();
        for (let index = 0; index < 40; index++) {
            const name = `odd-${String(index)}`;
            const odd = requestOf(urgent, name, 0, { priority: index * 25_000, workMs: 1e9, softDeadlineMs: -1e9, caller: index });
            queue.offer(odd, 1_000_000);
            queue.finish(name as Ticket, { kind: "dropped" }, 0);
        }
        queue.offer(requestOf(urgent, "nan", 0, { workMs: Number.NaN }), 0);
        queue.withdraw("nan" as Ticket, 0);
        const sharing = queue.describeSharing(0);
        expect(sharing?.kinds.length).to.be.at.most(16);
        expect(sharing?.reservedSlots).to.be.at.most(2);
        for (let nowMs = 1_000_000; nowMs < 1_060_000; nowMs += 1_000) {
            queue.tick(nowMs);
        }
        expect(queue.describeSharing(1_060_000)).to.deep.equal({ reservedSlots: 0, lentSlots: 0, callersAboveShare: 0, kinds: [] });
        const verdicts = Array.from({ length: 6 }, (_, index) =>
            queue.offer(requestOf(long, `l${String(index)}`, 1_060_000), 1_060_000)).flat();
        expect(grantsIn(verdicts)).to.equal(6);
    });
});

describe("shares of callers", () => {
    it("keep the served share of patient callers while a third retries at once and three times as often", () => {
        const kinds = [{ ...urgent, perSecond: () => 60 }];
        const allPatient = shareOf(replays({ kinds }).map(({ patient }) => patient), "served");
        const outcomes = replays({ kinds, impatientShare: 0.3 });
        const patient = shareOf(outcomes.map((outcome) => outcome.patient), "served");
        expect(patient).to.be.above(allPatient - 0.05);
        expect(shareOf(outcomes.map(({ impatient }) => impatient), "served")).to.be.below(patient + 0.05);
    });

    it("use the slots as fully as without shares", () => {
        const outcomes = replays({ kinds: [{ ...urgent, perSecond: () => 60 }], impatientShare: 0.3 });
        expect(Math.min(...outcomes.map(({ usedShare }) => usedShare))).to.be.above(0.95);
    });

    it("give each caller a slot before any gets a second one, whoever asked first", () => {
        const queue = sharingQueue(1);
        queue.offer(requestOf(urgent, "running", 0, { caller: 1 }), 0);
        queue.offer(requestOf(urgent, "greedy", 1, { caller: 1 }), 1);
        queue.offer(requestOf(urgent, "modest", 2, { caller: 2 }), 2);
        expect(formatVerdicts(queue.finish("running" as Ticket, { kind: "answered", tookMs: 90 }, 90))).to.deep.equal(["modest to t1"]);
    });

    it("count requests without a caller as those of one caller for each sending host and priority", () => {
        const shares = new CallerShares();
        const rankOf = (sender: string, priority: number) => shares.arrive(request("r", { sender, priority }), 0);
        expect([rankOf("h1", 0), rankOf("h1", 0), rankOf("h2", 0), rankOf("h1", 1), rankOf("h1", 0)]).to.deep.equal([0, 1, 0, 0, 2]);
    });

    it("put a caller that comes back at its time before new ones, and one that comes back early behind them", () => {
        const shares = new CallerShares();
        for (const caller of [1, 2]) {
            shares.arrive(request("r", { caller }), 0);
            shares.refuse(request("r", { caller }), 500, 0);
        }
        expect(shares.arrive(request("early", { caller: 1 }), 16)).to.equal(1);
        expect(shares.arrive(request("new", { caller: 3 }), 500)).to.equal(0);
        expect(shares.arrive(request("on time", { caller: 2 }), 500)).to.equal(-0.5);
        expect(shares.arrive(request("once only", { caller: 2 }), 501)).to.equal(1);
    });

    it("know a bounded number of callers, and forget those without slots, however often a client changes its address", () => {
        const shares = new CallerShares();
        for (let caller = 0; caller < 20_000; caller++) {
            shares.arrive(request("r", { caller }), 0);
            shares.refuse(request("r", { caller }), 100, 0);
        }
        expect(shares.count).to.be.at.most(4_096);
        shares.removeUnused(30_000);
        expect(shares.count).to.equal(0);
    });

    it("stay usable when the clock steps back", () => {
        const shares = new CallerShares();
        shares.arrive(request("r", { caller: 1 }), 1_000_000);
        shares.grant(request("r", { caller: 1 }), 1_000_000);
        expect(shares.arrive(request("r", { caller: 1 }), 0)).to.equal(1);
    });

    it("spread the retry times of requests that are refused together, so that they do not all meet again", () => {
        const queue = sharingQueue(1);
        queue.offer(requestOf(long, "running", 0, { caller: 0 }), 0);
        const verdicts = Array.from({ length: 8 }, (_, index) =>
            queue.offer(requestOf(urgent, `r${String(index)}`, 0, { caller: index, deadlineMs: 300 }), 0)).flat();
        const times = verdicts.map((verdict) => verdict.kind === "refused" ? verdict.retryAfterMs : 0);
        expect(times).to.have.length(8);
        const gaps = times.slice(1).map((timeMs, index) => timeMs - (times[index] as number));
        expect(Math.min(...gaps), String(times)).to.be.at.least(urgent.workMs - 1);
    });
});
