import { expect } from "chai";
import { err, ok } from "neverthrow";
import { failure } from "../../src/model/failure.js";
import type { Address, KeyRange, TargetId, Term } from "../../src/model/names.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import { LeaseManager } from "../../src/ownership/leaseManager.js";
import type { Grant, GrantReply, LeaseSession } from "../../src/ownership/leasePort.js";
import { defaultHoldMs, maxTimeToExpiryMs, renewalIntervalMs } from "../../src/ownership/leaseTerms.js";
import type { LeavingTarget } from "../../src/model/target.js";
import { VirtualClock } from "../support/virtualTime.js";

const range = { from: 0, to: 99 } as KeyRange;

/** Interval at which the planner looks at the targets. */
const planIntervalMs = 150;

/** What the target of a test does, and the duration of leases granted to it. */
interface TargetState {
    reply: GrantReply | "silent";
    reachable: boolean;
    /** Number of connections opened. */
    opened: number;
    holdMs: number;
    closes: boolean;
    leaving: boolean;
    rateLimit?: number;
    /** This host is stopped for this long while it waits for an answer that doesn't come. */
    stoppedMs: number;
    /** False if it doesn't answer calls to release a range in time. */
    releases: boolean;
    /** True if its address accepts connections and resets each soon. */
    resets: boolean;
}

/** Creates the lease manager of a target whose answers a test sets, and records the grants that the target receives. */
function setUp(predecessorActsForMs = 0) {
    const clock = new VirtualClock();
    const grants: Grant[] = [];
    const state: TargetState = { reply: "granted", reachable: true, opened: 0, holdMs: defaultHoldMs, closes: false, leaving: false, stoppedMs: 0, releases: true, resets: false };
    const permission = { isGiven: true, mayUseNewFences: true, askedCount: 0 };
    const leavingReports: LeavingTarget[] = [];
    const session = (): LeaseSession => {
        let open = true;
        let closeSession: () => void = () => undefined;
        state.opened += 1;
        const closed = new Promise<string>((resolve) => {
            closeSession = () => {
                open = false;
                void clock.sleep(1).then(() => {
                    resolve("closed");
                });
            };
        });
        if (state.resets) {
            void clock.sleep(2).then(closeSession);
        }
        return {
            get isOpen() {
                return open;
            },
            get isLeaving() {
                return state.leaving;
            },
            requestsPerSecond: undefined,
            closed,
            grant: async (grant, timeoutMs) => {
                grants.push(grant);
                await clock.sleep(state.reply === "silent" && !state.resets ? timeoutMs + state.stoppedMs : 1);
                open &&= !state.closes;
                return state.reply === "silent" ? err(failure("lost", "grant", "t", "no answer in time")) : ok(state.reply);
            },
            release: async (_range, _fence, timeoutMs) => {
                await clock.sleep(state.releases ? 1 : timeoutMs);
                if (!state.releases) {
                    return err(failure("lost", "release", "t", "no answer in time"));
                }
                return open ? ok("token") : err(failure("unreachable", "release", "t", "the connection is closed"));
            },
            reset: () => {
                closeSession();
            },
        };
    };
    const manager = new LeaseManager("t" as TargetId, "10.0.0.1:80" as Address, {
        leases: {
            open: async () => {
                await clock.sleep(1);
                return state.reachable ? ok(session()) : err(failure("unreachable", "connect", "t", "refused", true));
            },
        },
        fences: new FenceCounter(1 as Term), clock,
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        mayGrant: () => {
            permission.askedCount += 1;
            return permission.isGiven;
        },
        mayUseNewFences: () => permission.mayUseNewFences,
        isRecorded: () => true, holdMs: () => state.holdMs, onOutdated: () => undefined,
        maxHoldMs: 10_000, rateLimitOf: () => state.rateLimit,
        onLeaving: (leaving) => {
            leavingReports.push(leaving);
        },
        predecessorActsUntilMs: clock.now().monoMs + predecessorActsForMs,
    });
    const stop = new AbortController();
    void manager.run(stop.signal);
    const end = () => {
        stop.abort();
    };
    return { clock, manager, grants, state, permission, leavingReports, end };
}

describe("lease manager of a target", () => {
    it("renews a lease under one fencing token on one connection, well before it expires", async () => {
        const { clock, manager, grants, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(5_000);
        expect(new Set(grants.map(({ fence }) => fence)).size).to.equal(1);
        expect(grants.length * defaultHoldMs).to.be.above(2 * 5_000);
        end();
    });

    it("does not ask without end whether it may renew, while it may not, and renews soon after it may", async () => {
        const { clock, manager, grants, permission, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(defaultHoldMs);
        permission.isGiven = false;
        await clock.advance(renewalIntervalMs);
        const [askedCount, grantCount] = [permission.askedCount, grants.length];
        await clock.advance(10_000);
        expect(permission.askedCount - askedCount).to.be.at.most(10_000 / renewalIntervalMs * 100);
        permission.isGiven = true;
        await clock.advance(100);
        expect(grants.length).to.be.above(grantCount);
        end();
    });

    it("renews what stands and sends nothing else, while it may not use new fencing tokens", async () => {
        const { clock, manager, grants, permission, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(defaultHoldMs);
        permission.mayUseNewFences = false;
        const grantCount = grants.length;
        manager.setRanges([range, { from: 100, to: 199 } as KeyRange], []);
        await clock.advance(3 * renewalIntervalMs);
        expect(grants.length).to.be.above(grantCount);
        expect(new Set(grants.map(({ range: { from }, fence }) => `${String(from)} ${String(fence)}`)).size).to.equal(1);
        expect((await manager.release(range, 500)).kind).to.equal("failed");
        manager.setRanges([range], []);
        state.reply = "outdated";
        await clock.advance(3 * renewalIntervalMs);
        state.reply = "granted";
        const refusedCount = grants.length;
        await clock.advance(3 * renewalIntervalMs);
        expect(grants.length, "after the target has seen a higher token").to.equal(refusedCount);
        end();
    });

    for (const { limit, rangeCount } of [{ limit: 0.7, rangeCount: 1 }, { limit: 2.3, rangeCount: 3 }, { limit: 6, rangeCount: 8 }]) {
        it(`renews ${String(rangeCount)} leases within what a limit of ${String(limit)} a second leaves beside requests`, async () => {
            const { clock, manager, grants, state, end } = setUp();
            const grantedMs: number[] = [];
            const ranges = Array.from({ length: rangeCount }, (_, index) => ({ from: index * 100, to: index * 100 + 99 }) as KeyRange);
            manager.setRanges(ranges, []);
            await clock.advance(2_000);
            state.rateLimit = limit;
            await clock.advance(1_000);
            for (let stepMs = 0; stepMs < 20_000; stepMs += 10) {
                const before = grants.length;
                await clock.advance(10);
                grantedMs.push(...grants.slice(before).map(() => clock.now().monoMs));
            }
            const maxPerWindow = Math.max(
                ...grantedMs.map((endMs) => grantedMs.filter((atMs) => atMs > endMs - 4_000 && atMs <= endMs).length));
            const requestsPerWindow = 0.75 * 4 * limit + 2;
            expect(maxPerWindow).to.be.at.most(1.5 * 4 * limit + 5 - requestsPerWindow);
            const last = grants.at(-1) as Grant;
            const renewals = grants.filter((grant) => grant.range.from === last.range.from);
            expect(last.holdMs).to.be.at.least(2 * 20_000 / (renewals.length - 4));
            end();
        });
    }

    it("uses a new fencing token on a new connection, which may lead to another process", async () => {
        const { clock, manager, grants, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "silent";
        await clock.advance(900);
        state.reply = "granted";
        await clock.advance(1_000);
        expect(new Set(grants.map(({ fence }) => fence)).size).to.be.above(1);
        expect(grants.every(({ fence }, index) => index === 0 || fence >= (grants[index - 1]?.fence ?? 0))).to.equal(true);
        end();
    });

    it("sends at most one more grant to a silent target, so that its lease expires within one lease duration from then", async () => {
        const { clock, manager, grants, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "silent";
        await clock.advance(1_500);
        expect(manager.isSilent).to.equal(true);
        const sent = grants.length;
        const freeAtMs = manager.freeAtMs;
        await clock.advance(1_500);
        expect(grants.length - sent).to.be.at.most(1);
        expect(manager.freeAtMs).to.be.at.most(freeAtMs + defaultHoldMs);
        end();
    });

    // Guards against keys that stay without an owner: each connection that was reset brought on another grant at once.
    it("leaves a target whose address resets each connection without a lease for long enough that its keys can be assigned", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        Object.assign(state, { reply: "silent", resets: true });
        await clock.advance(2_000);
        expect(manager.isSilent).to.equal(true);
        const openedBefore = state.opened;
        let freeMs = 0;
        let longestFreeMs = 0;
        for (let passedMs = 0; passedMs < 10_000; passedMs += 10) {
            await clock.advance(10);
            freeMs = clock.now().monoMs > manager.freeAtMs ? freeMs + 10 : 0;
            longestFreeMs = Math.max(longestFreeMs, freeMs);
        }
        expect(longestFreeMs).to.be.above(2 * planIntervalMs);
        expect(state.opened - openedBefore).to.be.at.most(10_000 / 200);
        end();
    });

    it("does not extend the leases of a target that refuses connections by trying to reach it", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        const freeAtMs = manager.freeAtMs;
        state.reachable = false;
        state.reply = "silent";
        await clock.advance(900);
        expect(manager.isSilent).to.equal(true);
        expect(manager.freeAtMs).to.be.at.most(freeAtMs + 1_000 + maxTimeToExpiryMs(0));
        const after = manager.freeAtMs;
        await clock.advance(5_000);
        expect(manager.freeAtMs).to.equal(after);
        end();
    });

    it("treats the leases as ended once another target has the address, and later attempts to grant do not extend them", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        await clock.advance(1_500);
        expect([manager.isSilent, manager.hasEnded]).to.deep.equal([true, true]);
        expect(manager.freeAtMs).to.be.below(clock.now().monoMs);
        expect(await advanceAndAwait(clock, manager.abandon(range))).to.be.below(clock.now().monoMs);
        end();
    });

    it("frees the keys of a target that ended while an earlier coordinator could grant only after confirming the end afterwards", async () => {
        const { clock, manager, grants, state, end } = setUp(3_000);
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        await clock.advance(1_500);
        expect([manager.hasEnded, manager.isCertainlyFree]).to.deep.equal([true, false]);
        expect(manager.freeAtMs).to.be.above(clock.now().monoMs);
        const before = grants.length;
        await clock.advance(1_000);
        expect([manager.hasEnded, manager.isCertainlyFree, grants.length - before]).to.deep.equal([true, true, 1]);
        expect(manager.freeAtMs).to.be.below(clock.now().monoMs);
        end();
    });

    it("keeps granting to a target that answers at its address again after its end was seen", async () => {
        const { clock, manager, state, end } = setUp(3_000);
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        await clock.advance(1_500);
        state.reply = "granted";
        await clock.advance(1_500);
        expect([manager.isSilent, manager.hasEnded]).to.deep.equal([false, false]);
        end();
    });

    it("sends no grants to a target that has ended until it is registered anew, even if its address accepts connections", async () => {
        for (const registered of [{ address: "10.0.0.2:80" as Address, bornWallMs: 1 }, { address: "10.0.0.1:80" as Address, bornWallMs: 2 }]) {
            const { clock, manager, grants, state, end } = setUp();
            manager.updateRegistration({ address: "10.0.0.1:80" as Address, bornWallMs: 1 });
            manager.setRanges([range], []);
            await clock.advance(1_000);
            state.reply = "other-target";
            await clock.advance(1_500);
            manager.setRanges([], []);
            const before = grants.length;
            let answeredAgain = false;
            manager.changed.listen(() => {
                answeredAgain ||= !manager.isSilent;
            });
            await clock.advance(3_000);
            expect([answeredAgain, manager.isConnected, grants.length - before]).to.deep.equal([false, false, 0]);
            state.reply = "granted";
            manager.updateRegistration(registered);
            await clock.advance(500);
            expect([manager.isSilent, manager.isConnected, manager.hasEnded]).to.deep.equal([false, true, false]);
            end();
        }
    });

    it("reports a target that announces in its answers that it is leaving, with the start of its process", async () => {
        const { clock, manager, state, leavingReports, end } = setUp();
        manager.updateRegistration({ address: "10.0.0.1:80" as Address, bornWallMs: 7 });
        manager.setRanges([range], []);
        await clock.advance(100);
        expect(leavingReports).to.deep.equal([]);
        state.leaving = true;
        await clock.advance(2_000);
        expect(leavingReports[0]).to.deep.equal({ targetId: "t", bornWallMs: 7 });
        end();
    });

    it("limits the rate of grants to a target that refuses them", async () => {
        const { clock, manager, grants, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "rejected";
        const before = grants.length;
        await clock.advance(2_000);
        expect(grants.length - before).to.be.below(40);
        end();
    });

    it("releases a range of a target that closes its connections after each answer, as a draining one does", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.closes = true;
        expect(await advanceAndAwait(clock, manager.release(range, 500))).to.deep.equal({ kind: "released", handover: "token" });
        end();
    });

    it("waits for the longest lease that may be in force, even if a move failed in between", async () => {
        const longHoldMs = 10_000;
        for (const moved of [range, { from: 10, to: 19 } as KeyRange]) {
            const { clock, manager, state, end } = setUp();
            state.holdMs = longHoldMs;
            manager.setRanges([range], []);
            await clock.advance(100);
            const longUntilMs = clock.now().monoMs + longHoldMs - 100;
            state.holdMs = defaultHoldMs;
            state.reply = "silent";
            await advanceAndAwait(clock, manager.release(moved, 500), 700);
            state.reply = "granted";
            manager.setRanges([range], []);
            await clock.advance(1_000);
            state.reply = "silent";
            const outcome = await advanceAndAwait(clock, manager.release(moved, 500), 1_000);
            expect(outcome.kind === "failed" && outcome.heldUntilMs).to.be.above(longUntilMs);
            expect(manager.freeAtMs).to.be.above(longUntilMs);
            end();
        }
    });

    // Guards against two holders: a lease granted for 10 s while the store was away was taken for one of 2.3 s once the store answered.
    it("waits for the lease that was granted to take a range back as long as it was granted for, though leases are shorter by then", async () => {
        const { clock, manager, grants, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        Object.assign(state, { holdMs: 10_000, releases: false });
        const releasing = manager.release(range, defaultHoldMs);
        await clock.advance(100);
        const grantedMs = clock.now().monoMs - 100;
        state.holdMs = defaultHoldMs;
        const outcome = await advanceAndAwait(clock, releasing, defaultHoldMs);
        expect(grants.at(-1)?.holdMs).to.equal(10_000);
        expect(outcome.kind === "failed" && outcome.heldUntilMs).to.be.at.least(grantedMs + 10_000);
        end();
    });

    // Guards against two holders after a host was stopped: the grant may arrive as late as its connection is reset.
    it("waits for a lease that may have been granted while this host was stopped", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        Object.assign(state, { reply: "silent", stoppedMs: 5_000 });
        const outcome = await advanceAndAwait(clock, manager.release(range, defaultHoldMs), 6_000);
        expect(outcome.kind === "failed" && outcome.heldUntilMs).to.be.at.least(clock.now().monoMs - 500 + defaultHoldMs);
        end();
    });

    // Guards against two holders after a planned stop: a coordinator that resigned while keys moved didn't count leases granted for that.
    it("counts the lease that was granted to take a range back as in force while the release has no answer", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        Object.assign(state, { holdMs: 10_000, releases: false });
        const releasing = manager.release(range, defaultHoldMs);
        await clock.advance(100);
        expect(manager.freeAtMs).to.be.at.least(clock.now().monoMs - 100 + 10_000);
        await advanceAndAwait(clock, releasing, defaultHoldMs);
        end();
    });

    it("frees a range at once when another target answers the call that was to revoke the lease", async () => {
        const { clock, manager, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        const outcome = await advanceAndAwait(clock, manager.release(range, 500));
        expect(outcome.kind === "failed" && outcome.heldUntilMs).to.equal(Number.NEGATIVE_INFINITY);
        end();
    });

    it("revokes a lease under a new fencing token first, on the spare connection", async () => {
        const { clock, manager, grants, state, end } = setUp();
        manager.setRanges([range], []);
        await clock.advance(1_000);
        const opened = state.opened;
        const outcome = await advanceAndAwait(clock, manager.release({ from: 10, to: 19 } as KeyRange, 500));
        expect(outcome).to.deep.equal({ kind: "released", handover: "token" });
        const fenceGrants = grants.filter(({ range: granted }) => granted.from === 10);
        expect(fenceGrants).to.have.length(1);
        expect(fenceGrants[0]?.fence).to.be.above(grants[0]?.fence ?? 0);
        expect(state.opened).to.be.at.most(opened + 1);
        await clock.advance(1_500);
        const renewed = grants.slice(-2).map(({ range: { from, to } }) => [from, to]).sort(([left], [right]) => (left ?? 0) - (right ?? 0));
        expect(renewed).to.deep.equal([[0, 9], [20, 99]]);
        end();
    });
});

async function advanceAndAwait<T>(clock: VirtualClock, promise: Promise<T>, durationMs = 50): Promise<T> {
    await clock.advance(durationMs);
    return promise;
}
