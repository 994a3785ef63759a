import { expect } from "chai";
import type { AdmissionRequest, AdmissionVerdict, Ticket } from "../../src/admission/admissionRequest.js";
import { AdmissionQueue } from "../../src/admission/admissionQueue.js";
import { RateLimiter } from "../../src/admission/rateLimiter.js";
import type { QueueTarget } from "../../src/admission/targetRecord.js";
import type { DataCentreId, TargetId } from "../../src/model/names.js";
import type { StatedRateLimit } from "../../src/model/rateLimit.js";
import { SeededRandom } from "../support/seededRandom.js";

const here = "here" as DataCentreId;
const windowMs = 4_000;
const wholeLimit = { share: 1, hasLeases: false };

function target(name: string, change: Partial<QueueTarget> = {}): QueueTarget {
    return {
        targetId: name as TargetId, dataCentreId: here, slots: 3, isOpen: true, warmingUp: false, warmUpRequestsPerSecond: undefined,
        bornWallMs: 1, ...change,
    };
}

function limitOf(name: string, requestsPerSecond: number, ageMs = 0, bornWallMs = 1): StatedRateLimit {
    return { targetId: name as TargetId, bornWallMs, requestsPerSecond, ageMs };
}

function request(name: string, nowMs: number, change: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return {
        ticket: name as Ticket, sender: "host-1", priority: 2, workMs: 100, arrivedMs: nowMs, softDeadlineMs: nowMs + 400,
        deadlineMs: nowMs + 2_000, near: here, avoid: new Set(), ...change,
    };
}

function maxPerWindow(grantedMs: readonly number[]): number {
    return Math.max(0, ...grantedMs.map((endMs) => grantedMs.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length));
}

/** Offers requests of many hosts for the targets `t1` and up, each of which takes 100 ms a request, and records the grants. */
class QueueDriver {
    readonly queue = new AdmissionQueue(() => 0.5);
    readonly grants: { atMs: number; targetId: TargetId; ticket: Ticket }[] = [];
    readonly refusals: (Extract<AdmissionVerdict, { kind: "refused" }> & { atMs: number; heldMs: number })[] = [];
    /** Limits that the targets state in their responses now. */
    readonly stated = new Map<string, number>();
    private readonly random = new SeededRandom(11);
    private readonly offeredMs = new Map<Ticket, number>();
    private readonly running: { endMs: number; ticket: Ticket; targetId: TargetId }[] = [];
    private nextArrivalMs = 0;
    private count = 0;
    nowMs = 0;

    constructor(
        targets: readonly QueueTarget[], private readonly perSecond: number,
        private readonly priorityOf = (isUrgent: boolean) => isUrgent ? 0 : 2,
    ) {
        this.queue.setTargets(targets, 0);
    }

    setTargets(targets: readonly QueueTarget[]): void {
        this.handle(this.queue.setTargets(targets, this.nowMs));
    }

    run(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 5) {
            for (; this.nextArrivalMs <= this.nowMs; this.nextArrivalMs += -Math.log(1 - this.random.uniform()) * 1_000 / this.perSecond) {
                this.offer();
            }
            for (const ended of this.running.filter(({ endMs: atMs }) => atMs <= this.nowMs)) {
                this.running.splice(this.running.indexOf(ended), 1);
                const limit = this.stated.get(ended.targetId);
                this.handle(this.queue.finish(ended.ticket, { kind: "answered", tookMs: 100 }, this.nowMs,
                    limit === undefined ? undefined : limitOf(ended.targetId, limit)));
            }
            if (this.nowMs % 25 === 0) {
                this.handle(this.queue.tick(this.nowMs));
            }
        }
    }

    grantsTo(name: string, fromMs = 0): number[] {
        return this.grants.filter(({ atMs, targetId }) => targetId === name && atMs >= fromMs).map(({ atMs }) => atMs);
    }

    private offer(): void {
        this.count += 1;
        const isUrgent = this.count % 3 === 0;
        const ticket = `${isUrgent ? "urgent" : "other"}-${String(this.count)}` as Ticket;
        this.offeredMs.set(ticket, this.nowMs);
        this.handle(this.queue.offer(request(ticket, this.nowMs, { sender: `host-${String(this.count % 60)}`, priority: this.priorityOf(isUrgent) }), this.nowMs));
    }

    private handle(verdicts: readonly AdmissionVerdict[]): void {
        for (const verdict of verdicts) {
            if (verdict.kind === "refused") {
                this.refusals.push({ ...verdict, atMs: this.nowMs, heldMs: this.nowMs - (this.offeredMs.get(verdict.ticket) ?? 0) });
                continue;
            }
            this.grants.push({ atMs: this.nowMs, targetId: verdict.targetId, ticket: verdict.ticket });
            this.running.push({ endMs: this.nowMs + 100, ticket: verdict.ticket, targetId: verdict.targetId });
        }
    }
}

describe("rate limiter", () => {
    it("spaces requests evenly and lets a short burst through after a pause", () => {
        const limiter = new RateLimiter(2, wholeLimit, 0, 0);
        expect(limiter.availableTokens(0)).to.equal(0);
        expect(limiter.availableTokens(500)).to.equal(1);
        expect(limiter.availableTokens(10_000)).to.equal(2);
        limiter.take(10_000);
        expect(limiter.availableTokens(10_000)).to.equal(1);
    });

    it("leaves a part of the limit of a target that owns keys to lease calls, which need no more than a few a second", () => {
        const permitted = (limit: number) => new RateLimiter(limit, { share: 1, hasLeases: true }, 0, 0).permittedPerSecond;
        expect(permitted(2)).to.equal(1.5);
        expect(permitted(12)).to.equal(11.3);
    });

    it("still sends a request now and then to a target that takes none, to learn when that ends", () => {
        expect(new RateLimiter(0, wholeLimit, 0, 0).availableTokens(5_000)).to.be.closeTo(1, 1e-9);
        expect(new RateLimiter(0.01, wholeLimit, 0, 0).availableTokens(4_000)).to.be.below(1);
    });
});

describe("admission queue of a target with a rate limit", () => {
    for (const limit of [0, 0.5, 2.3, 3.4, 11.25]) {
        it(`sends at most ${String(limit)} requests a second from 60 hosts, whose requests are far more`, () => {
            const driver = new QueueDriver([target("t1")], 25);
            driver.run(2_000);
            driver.stated.set("t1", limit);
            driver.run(200);
            const fromMs = driver.nowMs;
            driver.run(12_000);
            expect(maxPerWindow(driver.grantsTo("t1", fromMs))).to.be.at.most(4 * limit + 2);
            expect(driver.grantsTo("t1", fromMs).length).to.be.at.least(Math.floor(12 * Math.max(0.2, limit) * 0.8));
        });
    }

    it("follows a limit that falls, rises and ends", () => {
        const driver = new QueueDriver([target("t1")], 25);
        const grantsWhile = (limit: number | undefined, durationMs: number) => {
            if (limit === undefined) {
                driver.stated.delete("t1");
            }
            else {
                driver.stated.set("t1", limit);
            }
            driver.run(1_500);
            const fromMs = driver.nowMs;
            driver.run(durationMs);
            return driver.grantsTo("t1", fromMs).length;
        };
        expect(grantsWhile(6, 4_000)).to.be.within(19, 26);
        expect(grantsWhile(2, 4_000)).to.be.within(6, 10);
        expect(grantsWhile(8, 4_000)).to.be.within(26, 34);
        expect(grantsWhile(undefined, 4_000)).to.be.above(80);
    });

    it("refuses what is over the limit at once, with a delay after which the limit has room", () => {
        const driver = new QueueDriver([target("t1")], 25);
        driver.stated.set("t1", 2);
        driver.run(8_000);
        const refusals = driver.refusals.filter(({ atMs }) => atMs > 1_000);
        expect(new Set(refusals.map(({ reason }) => reason))).to.deep.equal(new Set(["rate-limited"]));
        expect(Math.max(...refusals.map(({ heldMs }) => heldMs))).to.be.at.most(400);
        expect(refusals.filter(({ heldMs }) => heldMs === 0).length).to.be.above(refusals.length * 0.9);
        for (const { atMs, retryAfterMs } of refusals.filter(({ atMs: refusedMs }) => refusedMs < 6_000)) {
            expect(driver.grantsTo("t1", atMs).some((grantedMs) => grantedMs <= atMs + retryAfterMs + 25)).to.equal(true);
        }
    });

    it("keeps no request waiting that it refuses later, as long as no request is more urgent", () => {
        for (const perSecond of [3, 5, 12, 40]) {
            const driver = new QueueDriver([target("t1")], perSecond, () => 2);
            driver.stated.set("t1", 2);
            driver.run(30_000);
            expect(driver.refusals.filter(({ atMs, heldMs }) => atMs > 1_000 && heldMs > 25)).to.deep.equal([]);
        }
    });

    it("serves urgent requests first", () => {
        const driver = new QueueDriver([target("t1")], 9);
        driver.stated.set("t1", 3);
        driver.run(20_000);
        const granted = driver.grants.filter(({ atMs }) => atMs > 1_000);
        expect(granted.filter(({ ticket }) => ticket.startsWith("urgent")).length).to.be.above(granted.length * 0.6);
    });

    it("sends requests to targets without a limit instead, and refuses none", () => {
        const driver = new QueueDriver([target("t1"), target("t2"), target("t3")], 25);
        driver.stated.set("t1", 1);
        driver.run(8_000);
        expect(driver.refusals).to.deep.equal([]);
        expect(maxPerWindow(driver.grantsTo("t1", 1_000))).to.be.at.most(6);
    });

    it("takes a limit over from the host of a sender, but no statement that is older than the limit's end", () => {
        const queue = new AdmissionQueue(() => 0.5);
        queue.setTargets([target("t1")], 0);
        queue.applyRateLimit(limitOf("t1", 2, 300), 1_000);
        expect(queue.offer(request("a", 1_000, { deadlineMs: 1_300 }), 1_000).map(({ kind }) => kind)).to.deep.equal(["refused"]);
        expect(queue.offer(request("b", 1_600), 1_600).map(({ kind }) => kind)).to.deep.equal(["granted"]);
        queue.finish("b" as Ticket, { kind: "answered", tookMs: 100 }, 1_700);
        queue.applyRateLimit(limitOf("t1", 2, 900), 1_800);
        expect(queue.describeTargets()[0]?.requestsPerSecond).to.equal(undefined);
        queue.applyRateLimit(limitOf("t1", 2, 50), 1_800);
        expect(queue.describeTargets()[0]?.requestsPerSecond).to.equal(2);
    });

    it("tells the sender that the slot is good for one request only", () => {
        const queue = new AdmissionQueue(() => 0.5);
        queue.setTargets([target("t1")], 0);
        const isRateLimited = (name: string, nowMs: number) =>
            queue.offer(request(name, nowMs), nowMs).map((verdict) => verdict.kind === "granted" && verdict.isRateLimited);
        expect(isRateLimited("a", 0)).to.deep.equal([false]);
        queue.applyRateLimit(limitOf("t1", 2), 0);
        expect(isRateLimited("b", 1_000)).to.deep.equal([true]);
    });

    it("keeps the limit when the response to an earlier request arrives late and states none", () => {
        const queue = new AdmissionQueue(() => 0.5);
        queue.setTargets([target("t1")], 0);
        queue.offer(request("a", 0), 0);
        queue.applyRateLimit(limitOf("t1", 2), 50);
        queue.finish("a" as Ticket, { kind: "answered", tookMs: 100 }, 100);
        expect(queue.describeTargets()[0]?.requestsPerSecond).to.equal(2);
    });

    it("reports the same capacity whatever share of the limit this host may use", () => {
        const slownessWith = (share: number) => {
            const driver = new QueueDriver([target("t1")], 25);
            driver.queue.setRateLimitShare(share, 0);
            driver.stated.set("t1", 5);
            driver.run(2_000);
            return driver.queue.describeTargets()[0]?.slowness;
        };
        expect(slownessWith(0.2)).to.be.closeTo(slownessWith(1) ?? 0, 0.01);
    });

    it("forgets the limit when the target's process restarts, and ignores what the earlier process stated", () => {
        const queue = new AdmissionQueue(() => 0.5);
        queue.setTargets([target("t1")], 0);
        queue.applyRateLimit(limitOf("t1", 2), 0);
        queue.setTargets([target("t1", { bornWallMs: 2 })], 100);
        expect(queue.describeTargets()[0]?.requestsPerSecond).to.equal(undefined);
        queue.applyRateLimit(limitOf("t1", 2), 200);
        expect(queue.describeTargets()[0]?.requestsPerSecond).to.equal(undefined);
    });
});

describe("admission queue of a target that warms up", () => {
    const warmUpRequestsPerSecond = 6.1;
    const maxPerSecond = (grantedMs: readonly number[]) =>
        Math.max(0, ...grantedMs.map((endMs) => grantedMs.filter((atMs) => atMs > endMs - 1_000 && atMs <= endMs).length));

    it("sends it no more requests from 60 hosts than it tolerates, in any second, and as many as it can do afterwards", () => {
        const warm = target("t1", { slots: 6 });
        const driver = new QueueDriver([{ ...warm, warmingUp: true, warmUpRequestsPerSecond }], 200);
        driver.run(3_000);
        expect(maxPerSecond(driver.grantsTo("t1"))).to.be.at.most(1.5 * warmUpRequestsPerSecond + 8);
        expect(driver.grantsTo("t1").length).to.be.at.least(Math.floor(3 * warmUpRequestsPerSecond) - 2);
        driver.setTargets([warm]);
        const fromMs = driver.nowMs;
        driver.run(2_000);
        expect(driver.grantsTo("t1", fromMs).length).to.be.above(100);
    });

    it("keeps to a lower limit that it states meanwhile", () => {
        const driver = new QueueDriver([target("t1", { warmingUp: true, warmUpRequestsPerSecond })], 50);
        driver.stated.set("t1", 2);
        driver.run(8_000);
        expect(maxPerWindow(driver.grantsTo("t1", 1_000))).to.be.at.most(10);
    });
});
