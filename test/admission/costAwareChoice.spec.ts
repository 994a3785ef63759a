import { expect } from "chai";
import type { AdmissionRequest, Ticket } from "../../src/admission/admissionRequest.js";
import { AdmissionQueue } from "../../src/admission/admissionQueue.js";
import { createAdmissionChecks } from "../../src/admission/messageChecks.js";
import { TargetSpeed } from "../../src/admission/targetLoadReports.js";
import { WorkEstimates } from "../../src/admission/workEstimates.js";
import { StatedLoads } from "../../src/forwarding/statedLoads.js";
import type { TargetId } from "../../src/model/names.js";
import type { AgedTargetLoad } from "../../src/model/targetLoad.js";
import { SeededRandom } from "../support/seededRandom.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";
import { replay } from "./placementReplay.js";
import { formatVerdicts, request, target } from "./queueFixtures.js";

const load = (percent: number, ageMs = 0): AgedTargetLoad => ({ running: 0, waiting: 0, slots: 2, percent, ageMs });

/** A queue, with or without load management, and a count that makes tickets. */
class Driver {
    readonly queue: AdmissionQueue;
    private count = 0;

    constructor(isManaged: boolean, ...targets: ReturnType<typeof target>[]) {
        this.queue = new AdmissionQueue(() => 0.5, false, false, isManaged ? new WorkEstimates() : undefined);
        this.queue.setTargets(targets, 0);
    }

    /** Offers a request and returns its ticket and its target; the target is undefined if it waits or is refused. */
    offer(change: Partial<AdmissionRequest>, nowMs: number): { ticket: Ticket; targetId: string | undefined; verdicts: string[] } {
        const ticket = `r${String(this.count++)}` as Ticket;
        const times = { arrivedMs: nowMs, softDeadlineMs: nowMs + 1_000, deadlineMs: nowMs + 2_500 };
        const verdicts = this.queue.offer(request(ticket, { ...times, sender: `host-${String(this.count % 20)}`, ...change }), nowMs);
        const granted = verdicts.find((verdict) => verdict.kind === "granted" && verdict.ticket === ticket);
        return { ticket, targetId: granted?.kind === "granted" ? granted.targetId : undefined, verdicts: formatVerdicts(verdicts) };
    }

    /** Runs requests one after the other, each of which takes as long as `tookMs` says. */
    run(count: number, change: Partial<AdmissionRequest>, tookMs: (targetId: string) => number, fromMs: number): number {
        let nowMs = fromMs;
        for (let index = 0; index < count; index++) {
            const { ticket, targetId } = this.offer(change, nowMs);
            const duration = tookMs(targetId ?? "");
            nowMs += duration;
            this.queue.finish(ticket, { kind: "answered", tookMs: duration }, nowMs);
        }
        return nowMs;
    }
}

/** Teaches that 5 in 100 requests take seven times as long as the others. */
function learnHeavyTail(driver: Driver): number {
    const random = new SeededRandom(9);
    return driver.run(600, { kind: "k", workMs: 130 }, () => random.chance(0.05) ? 700 : 80 + random.uniform() * 40, 0);
}

describe("placement by cost and backlog", () => {
    it("avoids the target whose request has run long, which counted as done", () => {
        const choose = (isManaged: boolean) => {
            const driver = new Driver(isManaged, target("a"));
            const nowMs = learnHeavyTail(driver);
            driver.queue.setTargets([target("a")], nowMs);
            driver.offer({ kind: "k", workMs: 130 }, nowMs);
            driver.queue.setTargets([target("a"), target("b")], nowMs + 200);
            const second = driver.offer({ kind: "k", workMs: 130, avoid: new Set(["a" as TargetId]) }, nowMs + 290);
            expect(second.targetId).to.equal("b");
            const backlogs = driver.queue.describeBacklogs(nowMs + 300).map(({ targetId, backlogMs }) => [targetId, backlogMs] as const);
            return { chosen: driver.offer({ kind: "k", workMs: 130 }, nowMs + 300).targetId, backlogs: new Map(backlogs) };
        };
        expect(choose(false).chosen).to.equal("a");
        const { chosen, backlogs } = choose(true);
        expect(chosen).to.equal("b");
        expect(backlogs.get("a" as TargetId)).to.be.above(2 * (backlogs.get("b" as TargetId) ?? 0));
    });

    it("refuses at once what cannot be served behind requests that have run long, which was let in and refused just before its deadline", () => {
        const offerBehindTail = (isManaged: boolean) => {
            const driver = new Driver(isManaged, target("a"));
            const nowMs = learnHeavyTail(driver);
            driver.offer({ kind: "k", workMs: 130 }, nowMs);
            driver.offer({ kind: "k", workMs: 130 }, nowMs);
            return driver.offer({ kind: "k", workMs: 130, softDeadlineMs: nowMs + 400, deadlineMs: nowMs + 500 }, nowMs + 200).verdicts;
        };
        expect(offerBehindTail(false)).to.deep.equal([]);
        expect(offerBehindTail(true).map((verdict) => verdict.split(" ")[1])).to.deep.equal(["overloaded"]);
    });

    it("uses a target that is slow for one kind of requests for the others, which all avoided it", () => {
        const choose = (isManaged: boolean) => {
            const driver = new Driver(isManaged, target("a"), target("b"));
            // Another target of the queue is a third slower for both kinds.
            const took = (kind: string) => (targetId: string) => (targetId === "a" ? (kind === "render" ? 4 : 1) : 1.4) * 100;
            let nowMs = 0;
            for (let round = 0; round < 120; round++) {
                for (const kind of ["render", "read"]) {
                    const avoid = new Set([round % 2 === 0 ? "a" : "b"]) as Set<TargetId>;
                    nowMs = driver.run(1, { kind, workMs: kind === "render" ? 250 : 120, avoid }, took(kind), nowMs);
                }
            }
            return ["render", "read"].map((kind) => {
                const { ticket, targetId } = driver.offer({ kind, workMs: kind === "render" ? 250 : 120 }, nowMs);
                driver.queue.withdraw(ticket, nowMs);
                return `${kind} to ${targetId ?? "none"}`;
            });
        };
        expect(choose(true)).to.deep.equal(["render to b", "read to a"]);
        expect(choose(false)).not.to.deep.equal(["render to b", "read to a"]);
    });

    it("avoids a target for as long as it reports to be three times slower, and not for a second more", () => {
        const choose = (isManaged: boolean, ageMs: number) => {
            const driver = new Driver(isManaged, target("a"), target("b"));
            const took = (targetId: string) => targetId === "a" ? 100 : 120;
            const avoidA = new Set(["a" as TargetId]);
            let nowMs = driver.run(40, { kind: "k" }, took, 0);
            nowMs = driver.run(40, { kind: "k", avoid: avoidA }, took, nowMs);
            const { ticket } = driver.offer({ kind: "k", avoid: new Set(["b" as TargetId]) }, nowMs);
            driver.queue.finish(ticket, { kind: "answered", tookMs: 100 }, nowMs + 100, undefined, load(300));
            return driver.offer({ kind: "k" }, nowMs + 100 + ageMs).targetId;
        };
        expect(choose(true, 10)).to.equal("b");
        expect(choose(true, 1_000)).to.equal("a");
        expect(choose(false, 10)).to.equal("a");
    });
});

describe("load reports", () => {
    it("have no effect after a second, nor with an age or a time that a step of the clock has made absurd", () => {
        const speed = new TargetSpeed();
        speed.report(load(300), 1_000);
        expect(speed.reportedLog(1_000)).to.be.closeTo(Math.log(3), 1e-9);
        expect(speed.reportedLog(1_100)).to.be.closeTo(Math.log(3) / Math.E, 1e-9);
        expect(speed.reportedLog(2_000)).to.equal(0);
        expect(speed.reportedLog(500)).to.equal(0);
        for (const ageMs of [Number.NaN, Number.POSITIVE_INFINITY, 1e9]) {
            speed.report(load(50, ageMs), 1_000);
            expect(speed.reportedLog(1_000), String(ageMs)).to.be.closeTo(Math.log(3), 1e-9);
        }
        for (const percent of [0, -1, Number.NaN, Number.POSITIVE_INFINITY, 1e300, 1e-300]) {
            speed.report(load(percent), 1_000);
            expect(Math.abs(speed.reportedLog(1_000)), String(percent)).to.be.most(Math.log(4));
        }
    });

    it("are believed less and less if they contradict what requests take", () => {
        const speed = new TargetSpeed();
        for (let nowMs = 0; nowMs < 2_000; nowMs += 100) {
            speed.report(load(nowMs % 200 === 0 ? 20 : 400), nowMs);
            speed.observe(0, 0, 0, 0, nowMs);
        }
        expect(speed.trust).to.equal(0);
        expect(speed.reportedLog(1_900)).to.equal(0);
    });

    it("of a target that always claims to be fast draw no more than a bounded share of the requests, and only for a while", () => {
        const share = (claimed: number | undefined) => {
            const driver = new Driver(true, target("a"), target("b"), target("c"));
            let toA = 0;
            let nowMs = 0;
            for (let index = 0; index < 600; index++) {
                const { ticket, targetId } = driver.offer({ kind: "k" }, nowMs);
                nowMs += 100;
                toA += index >= 100 && targetId === "a" ? 1 : 0;
                driver.queue.finish(ticket, { kind: "answered", tookMs: targetId === "a" ? 150 : 100 }, nowMs, undefined,
                    targetId === "a" && claimed !== undefined ? load(claimed) : undefined);
            }
            return toA / 500;
        };
        expect(share(undefined)).to.be.below(0.2);
        expect(share(1)).to.be.below(0.2);
    });

    it("of unknown requests are ignored, and so are those that cannot be meant in a message", () => {
        const driver = new Driver(true, target("a"));
        expect(driver.queue.finish("unknown" as Ticket, { kind: "answered", tookMs: 10 }, 0, undefined, load(300))).to.deep.equal([]);
        expect(driver.queue.describeBacklogs(0)).to.deep.equal([{ targetId: "a", running: 0, backlogMs: 0, slowness: 1 }]);
        const checks = createAdmissionChecks(silentLog, new VirtualClock());
        const leave = { group: { kind: "target", targetId: "t-1" }, ticket: "x", end: { kind: "lost" } };
        expect(checks.leave({ ...leave, load: load(300, 5) }, "h")).to.deep.equal({ ...leave, load: load(300, 5) });
        const odd = [
            { ...load(100), percent: -1 }, { ...load(100), running: 1e9 }, { ...load(100), waiting: "3" }, { ...load(100), slots: Number.NaN },
            load(100, -1), load(1e9), 5, false, [], {}, "300",
        ];
        for (const value of odd) {
            expect(checks.leave({ ...leave, load: value }, "h"), JSON.stringify(value)).to.deep.equal(leave);
        }
    });

    it("are passed on with their age, by process, and not once they are old", () => {
        const loads = new StatedLoads();
        const t1 = { targetId: "t-1" as TargetId, bornWallMs: 1 };
        loads.record(t1, load(300), 100);
        expect(loads.find(t1, 140)).to.deep.equal({ ...load(300), ageMs: 40 });
        expect(loads.find({ ...t1, bornWallMs: 2 }, 140)).to.equal(undefined);
        expect(loads.find(t1, 1_200)).to.equal(undefined);
        for (let index = 0; index < 5_000; index++) {
            loads.record({ targetId: `x-${String(index)}` as TargetId, bornWallMs: 1 }, load(100), 2_000);
        }
        expect(loads.find({ targetId: "x-4999" as TargetId, bornWallMs: 1 }, 2_000)).to.equal(undefined);
        expect(loads.find({ targetId: "x-10" as TargetId, bornWallMs: 1 }, 2_000)).not.to.equal(undefined);
    });
});

describe("kind of a request", () => {
    it("is left out of a message if it cannot be meant, and the request is kept", () => {
        const checks = createAdmissionChecks(silentLog, new VirtualClock());
        const enter = {
            ticket: "x", group: { kind: "target", targetId: "t-1" }, priority: 1, workMs: 80, targetLeftMs: 300, deadlineLeftMs: 2_000,
            near: "here", avoid: [],
        };
        expect(checks.enter({ ...enter, kind: "route 2" }, "h")._unsafeUnwrap()).to.deep.equal({ ...enter, kind: "route 2" });
        for (const kind of [5, "", "a\nb", "x".repeat(200), false, {}]) {
            expect(checks.enter({ ...enter, kind }, "h")._unsafeUnwrap(), JSON.stringify(kind)).to.deep.equal(enter);
        }
    });

    it("and load reports change nothing in a queue without load management", () => {
        const run = (isExtended: boolean) => {
            const driver = new Driver(false, target("a"), target("b"));
            const random = new SeededRandom(4);
            const seen: string[] = [];
            for (let index = 0; index < 500; index++) {
                const { ticket, targetId, verdicts } = driver.offer(isExtended ? { kind: String(index % 3) } : {}, index * 30);
                seen.push(...verdicts);
                if (random.chance(0.8)) {
                    const report = isExtended ? load(targetId === "a" ? 400 : 50) : undefined;
                    const end = { kind: "answered", tookMs: 20 + random.integerUpTo(200) } as const;
                    seen.push(...formatVerdicts(driver.queue.finish(ticket, end, index * 30 + 25, undefined, report)));
                }
                seen.push(...formatVerdicts(driver.queue.tick(index * 30 + 28)));
            }
            expect(driver.queue.describeBacklogs(0)).to.deep.equal([]);
            return [seen, driver.queue.describeTargets()];
        };
        expect(run(true)).to.deep.equal(run(false));
    });
});

describe("replay of placements", function () {
    this.timeout(60_000);

    it("answers more in time under overload with heavy-tailed work than today's choice, which plans with the mean", () => {
        const options = { load: 1.1, work: "heavy tail", seconds: 20 } as const;
        const today = replay({ ...options, method: "today" });
        const cost = replay({ ...options, method: "cost" });
        expect(cost.inTimeShare).to.be.above(today.inTimeShare + 0.02);
        expect(cost.p99Ms).to.be.below(today.p99Ms);
    });

    it("answers as much in time as today's choice at one target, where the whole remaining work of long requests refused 2 % more", () => {
        for (const load of [0.7, 0.9]) {
            const options = { load, work: "heavy tail", seconds: 200, targetCount: 1 } as const;
            expect(replay({ ...options, method: "cost" }).inTimeShare, String(load))
                .to.be.above(replay({ ...options, method: "today" }).inTimeShare - 0.01);
        }
    });

    it("answers as much in time below the capacity as today's choice", () => {
        for (const work of ["uniform", "heavy tail"] as const) {
            for (const load of [0.7, 0.9]) {
                const today = replay({ load, work, seconds: 15, method: "today" });
                const cost = replay({ load, work, seconds: 15, method: "cost" });
                expect(cost.inTimeShare, `${work} ${String(load)}`).to.be.above(today.inTimeShare - 0.01);
            }
        }
    });
});
