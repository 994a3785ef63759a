import { expect } from "chai";
import { err, ok } from "neverthrow";
import { failure } from "../../src/model/failure.js";
import type { Address, KeyRange, TargetId, Term } from "../../src/model/names.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import { Holder } from "../../src/ownership/holder.js";
import type { Grant, GrantReply, LeaseSession } from "../../src/ownership/leasePort.js";
import { holdBoundMs, usualHoldMs } from "../../src/ownership/leaseTerms.js";
import type { LeavingTarget } from "../../src/model/target.js";
import { VirtualClock } from "../support/virtualTime.js";

const range = { from: 0, to: 99 } as KeyRange;

/** A target that answers as a test says, and what it was sent. */
function setUp(predecessorActsForMs = 0) {
    const clock = new VirtualClock();
    const grants: Grant[] = [];
    const state: { reply: GrantReply | "silent"; reachable: boolean; opened: number; holdMs: number; closes: boolean; leaving: boolean } =
        { reply: "granted", reachable: true, opened: 0, holdMs: usualHoldMs, closes: false, leaving: false };
    const left: LeavingTarget[] = [];
    const session = (): LeaseSession => {
        let open = true;
        let closeSession: () => void = () => undefined;
        state.opened += 1;
        return {
            get isOpen() {
                return open;
            },
            get isLeaving() {
                return state.leaving;
            },
            closed: new Promise((resolve) => {
                closeSession = () => {
                    open = false;
                    void clock.sleep(1).then(() => {
                        resolve("closed");
                    });
                };
            }),
            grant: async (grant, timeoutMs) => {
                grants.push(grant);
                await clock.sleep(state.reply === "silent" ? timeoutMs : 1);
                open &&= !state.closes;
                return state.reply === "silent" ? err(failure("lost", "grant", "t", "no answer in time")) : ok(state.reply);
            },
            release: async () => {
                await clock.sleep(1);
                return open ? ok("token") : err(failure("unreachable", "release", "t", "the connection is closed"));
            },
            reset: () => {
                closeSession();
            },
        };
    };
    const holder = new Holder("t" as TargetId, "10.0.0.1:80" as Address, {
        leases: {
            open: async () => {
                await clock.sleep(1);
                return state.reachable ? ok(session()) : err(failure("unreachable", "connect", "t", "refused", true));
            },
        },
        fences: new FenceCounter(1 as Term), clock,
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        mayGrant: () => true, isRecorded: () => true, holdMs: () => state.holdMs, onOutdated: () => undefined,
        onLeaving: (leaving) => {
            left.push(leaving);
        },
        predecessorActsUntilMs: clock.now().monoMs + predecessorActsForMs,
    });
    const stop = new AbortController();
    void holder.run(stop.signal);
    const end = () => {
        stop.abort();
    };
    return { clock, holder, grants, state, left, end };
}

describe("leases of a target", () => {
    it("are renewed under one fence on one connection, well before they end", async () => {
        const { clock, holder, grants, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(5_000);
        expect(new Set(grants.map(({ fence }) => fence)).size).to.equal(1);
        expect(grants.length * usualHoldMs).to.be.above(2 * 5_000);
        end();
    });

    it("get a fresh fence on a new connection, which may lead to another process", async () => {
        const { clock, holder, grants, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "silent";
        await clock.advance(900);
        state.reply = "granted";
        await clock.advance(1_000);
        expect(new Set(grants.map(({ fence }) => fence)).size).to.be.above(1);
        expect(grants.every(({ fence }, index) => index === 0 || fence >= (grants[index - 1]?.fence ?? 0))).to.equal(true);
        end();
    });

    it("of a silent target end for certain within their length from the last grant, of which there is one more at most", async () => {
        const { clock, holder, grants, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "silent";
        await clock.advance(1_500);
        expect(holder.isSilent).to.equal(true);
        const sent = grants.length;
        const freeAtMs = holder.freeAtMs;
        await clock.advance(1_500);
        expect(grants.length - sent).to.be.at.most(1);
        expect(holder.freeAtMs).to.be.at.most(freeAtMs + usualHoldMs);
        end();
    });

    it("of a target that refuses connections are not counted anew by attempts to reach it", async () => {
        const { clock, holder, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        const freeAtMs = holder.freeAtMs;
        state.reachable = false;
        state.reply = "silent";
        await clock.advance(900);
        expect(holder.isSilent).to.equal(true);
        expect(holder.freeAtMs).to.be.at.most(freeAtMs + 1_000 + holdBoundMs(0));
        const after = holder.freeAtMs;
        await clock.advance(5_000);
        expect(holder.freeAtMs).to.equal(after);
        end();
    });

    it("count no more once another target has the address, and the attempts to grant do not put that off", async () => {
        const { clock, holder, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        await clock.advance(1_500);
        expect([holder.isSilent, holder.hasEnded]).to.deep.equal([true, true]);
        expect(holder.freeAtMs).to.be.below(clock.now().monoMs);
        expect(await settle(clock, holder.abandon(range))).to.be.below(clock.now().monoMs);
        end();
    });

    it("of a target that ended while an earlier coordinator could grant are free once its end is seen again afterwards", async () => {
        const { clock, holder, grants, state, end } = setUp(3_000);
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        await clock.advance(1_500);
        expect([holder.hasEnded, holder.isCertainlyFree]).to.deep.equal([true, false]);
        expect(holder.freeAtMs).to.be.above(clock.now().monoMs);
        const before = grants.length;
        await clock.advance(1_000);
        expect([holder.hasEnded, holder.isCertainlyFree, grants.length - before]).to.deep.equal([true, true, 1]);
        expect(holder.freeAtMs).to.be.below(clock.now().monoMs);
        end();
    });

    it("stay with a target that came back at its address after its end was seen", async () => {
        const { clock, holder, state, end } = setUp(3_000);
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        await clock.advance(1_500);
        state.reply = "granted";
        await clock.advance(1_500);
        expect([holder.isSilent, holder.hasEnded]).to.deep.equal([false, false]);
        end();
    });

    it("are not offered to a target that has ended, though something listens at its address, until it is registered anew", async () => {
        for (const registered of [{ address: "10.0.0.2:80" as Address, bornWallMs: 1 }, { address: "10.0.0.1:80" as Address, bornWallMs: 2 }]) {
            const { clock, holder, grants, state, end } = setUp();
            holder.moveTo({ address: "10.0.0.1:80" as Address, bornWallMs: 1 });
            holder.setRanges([range], []);
            await clock.advance(1_000);
            state.reply = "other-target";
            await clock.advance(1_500);
            holder.setRanges([], []);
            const before = grants.length;
            let answeredAgain = false;
            holder.changed.listen(() => {
                answeredAgain ||= !holder.isSilent;
            });
            await clock.advance(3_000);
            expect([answeredAgain, holder.isConnected, grants.length - before]).to.deep.equal([false, false, 0]);
            state.reply = "granted";
            holder.moveTo(registered);
            await clock.advance(500);
            expect([holder.isSilent, holder.isConnected, holder.hasEnded]).to.deep.equal([false, true, false]);
            end();
        }
    });

    it("tell of a target that says in its answers that it leaves, and of which process of it", async () => {
        const { clock, holder, state, left, end } = setUp();
        holder.moveTo({ address: "10.0.0.1:80" as Address, bornWallMs: 7 });
        holder.setRanges([range], []);
        await clock.advance(100);
        expect(left).to.deep.equal([]);
        state.leaving = true;
        await clock.advance(2_000);
        expect(left[0]).to.deep.equal({ targetId: "t", bornWallMs: 7 });
        end();
    });

    it("are not offered again and again to a target that turns them away", async () => {
        const { clock, holder, grants, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "rejected";
        const before = grants.length;
        await clock.advance(2_000);
        expect(grants.length - before).to.be.below(40);
        end();
    });

    it("are taken back from a target that closes its connections after each answer, as one that drains", async () => {
        const { clock, holder, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.closes = true;
        expect(await settle(clock, holder.release(range, 500))).to.deep.equal({ kind: "released", handover: "token" });
        end();
    });

    it("are waited for as long as any grant of them may count, though a move was given up in between", async () => {
        const longHoldMs = 10_000;
        for (const moved of [range, { from: 10, to: 19 } as KeyRange]) {
            const { clock, holder, state, end } = setUp();
            state.holdMs = longHoldMs;
            holder.setRanges([range], []);
            await clock.advance(100);
            const longUntilMs = clock.now().monoMs + longHoldMs - 100;
            state.holdMs = usualHoldMs;
            state.reply = "silent";
            await settle(clock, holder.release(moved, 500), 700);
            state.reply = "granted";
            holder.setRanges([range], []);
            await clock.advance(1_000);
            state.reply = "silent";
            const outcome = await settle(clock, holder.release(moved, 500), 1_000);
            expect(outcome.kind === "failed" && outcome.heldUntilMs).to.be.above(longUntilMs);
            expect(holder.freeAtMs).to.be.above(longUntilMs);
            end();
        }
    });

    it("are free at once when another target answers the call that was to take them back", async () => {
        const { clock, holder, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        state.reply = "other-target";
        const outcome = await settle(clock, holder.release(range, 500));
        expect(outcome.kind === "failed" && outcome.heldUntilMs).to.equal(Number.NEGATIVE_INFINITY);
        end();
    });

    it("are taken back with a fresh fence first, on a connection that is kept ready for it", async () => {
        const { clock, holder, grants, state, end } = setUp();
        holder.setRanges([range], []);
        await clock.advance(1_000);
        const opened = state.opened;
        const outcome = await settle(clock, holder.release({ from: 10, to: 19 } as KeyRange, 500));
        expect(outcome).to.deep.equal({ kind: "released", handover: "token" });
        const raised = grants.filter(({ range: of }) => of.from === 10);
        expect(raised).to.have.length(1);
        expect(raised[0]?.fence).to.be.above(grants[0]?.fence ?? 0);
        expect(state.opened).to.be.at.most(opened + 1);
        await clock.advance(1_500);
        const renewed = grants.slice(-2).map(({ range: { from, to } }) => [from, to]).sort(([left], [right]) => (left ?? 0) - (right ?? 0));
        expect(renewed).to.deep.equal([[0, 9], [20, 99]]);
        end();
    });
});

async function settle<T>(clock: VirtualClock, promise: Promise<T>, durationMs = 50): Promise<T> {
    await clock.advance(durationMs);
    return promise;
}
