/** The leases of one target: one task renews them, and gives ranges up when they move. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address, Fence, KeyRange, TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { LeavingTarget } from "../model/target.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { FenceCounter } from "./fences.js";
import { HolderSessions } from "./holderSessions.js";
import { holdBoundMs, renewMs } from "./leaseTerms.js";
import type { GrantReply, LeasePort, LeaseSession } from "./leasePort.js";
import { Liveness } from "./liveness.js";
import { PastHolds } from "./pastHolds.js";
import { contains, isSameRange, withoutRange } from "./ranges.js";
import { takeBack } from "./takeBack.js";

const grantTimeoutMs = 300;

/** A target that has ended is not called for this long, unless it is registered anew; its entry in the directory goes meanwhile. */
const endLastsMs = 5_000;

/** What a holder works with. */
export interface HolderParts {
    leases: LeasePort;
    fences: FenceCounter;
    clock: Clock;
    log: Log;
    /** Tells whether grants may be sent now. */
    mayGrant: (now: Instant) => boolean;
    /** Tells whether the ledger gives a range to a target and nobody is taking it away. */
    isRecorded: (targetId: TargetId, range: KeyRange) => boolean;
    /** Length of a lease granted now. */
    holdMs: (now: Instant) => number;
    /** Told when the target has seen a higher fence. */
    onOutdated: () => void;
    /** Told when a process of the target has said that it leaves. */
    onLeaving: (leaving: LeavingTarget) => void;
    /** Monotonic time until which an earlier coordinator may still send grants. */
    predecessorActsUntilMs: number;
}

interface Lease {
    range: KeyRange;
    fence: Fence;
    /** Connection on which the fence was first sent; another connection may lead to another process. */
    session: LeaseSession | undefined;
    handover: string | undefined;
    dueMs: number;
    /** The target certainly does not hold the range on this lease after this time. */
    heldUntilMs: number;
}

/** A range and what its last holder gave for the next one. */
export interface HandedOver {
    range: KeyRange;
    handover: string | undefined;
}

/** What became of the attempt to take a range back. */
export type ReleaseOutcome =
    | { kind: "released"; handover: string | undefined }
    /** The target may hold the range until then. */
    | { kind: "failed"; heldUntilMs: number; failure: Failure };

/** Keeps the leases of one target. */
export class Holder {
    /** Fires when the target falls silent or answers again. */
    readonly changed = new Signal();
    private readonly poked = new Signal();
    private leases: Lease[] = [];
    private readonly sessions: HolderSessions;
    private readonly liveness: Liveness;
    /** Holds of ranges that leases were given up for; a lease that begins later counts from them. */
    private readonly pastHolds = new PastHolds();
    private renewing: Promise<void> = Promise.resolve();
    private resumeSent = false;
    private endedMs = Number.NEGATIVE_INFINITY;
    private bornWallMs: number | undefined;

    /**
     * @param targetId the target
     * @param address where it listens
     * @param parts what the holder works with
     */
    constructor(readonly targetId: TargetId, address: Address, private readonly parts: HolderParts) {
        this.liveness = new Liveness(parts.clock.now().monoMs);
        this.sessions = new HolderSessions(targetId, address, parts.leases, () => {
            this.poked.fire();
        });
    }

    /** True while the target does not answer. */
    get isSilent(): boolean {
        return this.liveness.isSilent;
    }

    /** True when a connection to the target is open. */
    get isConnected(): boolean {
        return this.sessions.isOpen && !this.isSilent;
    }

    /** True when the process that was last known as the target has certainly ended a moment ago. */
    get hasEnded(): boolean {
        return this.parts.clock.now().monoMs < this.endedMs + endLastsMs;
    }

    /**
     * True when nothing that anyone granted to the target counts any more. While an earlier coordinator acts, it may grant to a
     * process that comes back under the target's id after the end was seen, so the end must be seen once more when it cannot.
     */
    get isCertainlyFree(): boolean {
        return this.hasEnded && this.endedMs >= this.parts.predecessorActsUntilMs;
    }

    /** Monotonic time after which the target holds nothing that this holder granted. */
    get freeAtMs(): number {
        return this.isCertainlyFree
            ? Number.NEGATIVE_INFINITY
            : Math.max(this.pastHolds.lastMs, ...this.leases.map((lease) => lease.heldUntilMs));
    }

    /** Ranges that are renewed. */
    get ranges(): KeyRange[] {
        return this.leases.map(({ range }) => range);
    }

    /**
     * Notes where the target is registered.
     * @param address where it listens
     * @param bornWallMs start of its process, or undefined when it is not registered
     */
    moveTo({ address, bornWallMs }: { address: Address; bornWallMs?: number }): void {
        const hasMoved = this.sessions.moveTo(address);
        const hasRestarted = bornWallMs !== undefined && this.bornWallMs !== undefined && bornWallMs !== this.bornWallMs;
        this.bornWallMs = bornWallMs ?? this.bornWallMs;
        if ((hasMoved || hasRestarted) && this.hasEnded) {
            this.endedMs = Number.NEGATIVE_INFINITY;
            this.poked.fire();
        }
    }

    /**
     * Sets the ranges to keep granted.
     * @param ranges the ranges
     * @param handovers what their last holders gave, for ranges that are new here
     */
    setRanges(ranges: readonly KeyRange[], handovers: readonly HandedOver[]): void {
        const nowMs = this.parts.clock.now().monoMs;
        const kept = this.leases.filter((lease) => ranges.some((range) => isSameRange(range, lease.range)));
        this.leases.filter((lease) => !kept.includes(lease)).forEach((lease) => {
            this.pastHolds.add(lease.range, lease.heldUntilMs, nowMs);
        });
        const added = ranges.filter((range) => !kept.some((lease) => isSameRange(range, lease.range)));
        this.leases = [...kept, ...added.map((range) => this.newLease(range, handoverFor(range, handovers), nowMs))];
        this.poked.fire();
    }

    /** Renews until stopped. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.renewing = this.renewDue(signal);
            await this.renewing;
            const nowMs = this.parts.clock.now().monoMs;
            const pauseMs = this.liveness.isFailing ? this.liveness.pauseMs() : this.nextDueMs(nowMs) - nowMs;
            await waitFor(this.parts.clock, Math.max(1, pauseMs), [this.poked], signal);
        }
        this.sessions.close();
    }

    /**
     * Takes a range back. It is not renewed any more; if the target does not give it up, `setRanges` restores it.
     * @param range the range, within one that is renewed
     * @param timeoutMs how long to wait for the work under way
     */
    async release(range: KeyRange, timeoutMs: number): Promise<ReleaseOutcome> {
        this.cutOut(range);
        await this.renewing;
        const end = await takeBack({ ...this.parts, targetId: this.targetId, sessions: this.sessions }, range, timeoutMs);
        if (end.kind === "released") {
            this.pastHolds.end(range);
            return end;
        }
        if (end.kind === "turned-away") {
            noteTurnedAway[end.reply](this);
        }
        if (end.kind !== "unsent") {
            const now = this.parts.clock.now();
            this.pastHolds.add(range, now.monoMs + holdBoundMs(this.parts.holdMs(now)), now.monoMs);
        }
        const failed = end.kind === "turned-away" ? failure("refused", "grant", this.targetId, end.reply) : end.failure;
        return { kind: "failed", heldUntilMs: this.heldUntilMs(range), failure: failed };
    }

    /** When a range that is not renewed any more is certainly free. */
    private heldUntilMs(range: KeyRange): number {
        return this.isCertainlyFree ? Number.NEGATIVE_INFINITY : this.pastHolds.untilMs(range);
    }

    /**
     * Gives up on a range of a target that does not answer: it is not granted any more.
     * @param range the range, within one that is renewed
     * @returns monotonic time after which the target certainly does not hold it
     */
    async abandon(range: KeyRange): Promise<number> {
        this.cutOut(range);
        await this.renewing;
        return this.heldUntilMs(range);
    }

    private cutOut(range: KeyRange): void {
        const nowMs = this.parts.clock.now().monoMs;
        this.leases = this.leases.flatMap((lease) => {
            if (!contains(lease.range, range)) {
                return [lease];
            }
            this.pastHolds.add(lease.range, lease.heldUntilMs, nowMs);
            return withoutRange([lease.range], range).map((rest) => this.newLease(rest, undefined, nowMs));
        });
        this.poked.fire();
    }

    private newLease(range: KeyRange, handover: string | undefined, nowMs: number): Lease {
        const heldUntilMs = this.pastHolds.untilMs(range);
        return { range, handover, fence: this.parts.fences.next(), session: undefined, dueMs: nowMs, heldUntilMs };
    }

    private nextDueMs(nowMs: number): number {
        return Math.min(nowMs + renewMs, ...this.leases.map(({ dueMs }) => dueMs));
    }

    private async renewDue(signal: AbortSignal): Promise<void> {
        const now = this.parts.clock.now();
        if (!this.parts.mayGrant(now) || signal.aborted || (this.hasEnded && !this.mustConfirmEnd(now.monoMs))) {
            return;
        }
        const session = await this.sessions.forRenewals();
        if (session.isErr()) {
            this.onFailure(session.error);
            return;
        }
        if (this.isSilent && this.leases.length === 0) {
            this.onAnswer();
        }
        for (const lease of [...this.leases].sort((left, right) => left.dueMs - right.dueMs)) {
            if (signal.aborted || !session.value.isOpen || !this.isDue(lease) || !await this.renew(lease, session.value)) {
                return;
            }
        }
        if (this.leases.length > 0) {
            void this.sessions.prepareMove();
        }
    }

    /** The keys of a target that has ended wait for a proof that is no older than the last grant of an earlier coordinator. */
    private mustConfirmEnd(nowMs: number): boolean {
        return this.leases.length > 0 && !this.isCertainlyFree && nowMs >= this.parts.predecessorActsUntilMs;
    }

    /** A silent target is granted its ranges once more when it can be connected to; each grant puts the end of the wait off. */
    private isDue(lease: Lease): boolean {
        const nowMs = this.parts.clock.now().monoMs;
        if (this.isSilent && this.resumeSent && !this.hasEnded && nowMs < this.freeAtMs) {
            return false;
        }
        return this.leases.includes(lease) && lease.dueMs <= nowMs && this.parts.isRecorded(this.targetId, lease.range);
    }

    private async renew(lease: Lease, session: LeaseSession): Promise<boolean> {
        const now = this.parts.clock.now();
        if (!this.parts.mayGrant(now)) {
            return false;
        }
        if (lease.session !== session) {
            lease.session = session;
            lease.fence = this.parts.fences.next();
        }
        this.resumeSent = this.isSilent;
        const holdMs = this.parts.holdMs(now);
        const heldBeforeMs = lease.heldUntilMs;
        lease.heldUntilMs = Math.max(heldBeforeMs, now.monoMs + grantTimeoutMs + holdBoundMs(holdMs));
        const reply = await session.grant({ range: lease.range, fence: lease.fence, holdMs, handover: lease.handover }, grantTimeoutMs);
        const answeredMs = this.parts.clock.now().monoMs;
        this.noteIfLeaving(session);
        lease.heldUntilMs = wasTaken(reply) ? Math.max(lease.heldUntilMs, answeredMs + holdBoundMs(holdMs)) : heldBeforeMs;
        if (!this.leases.includes(lease)) {
            this.pastHolds.add(lease.range, lease.heldUntilMs, answeredMs);
        }
        if (reply.isErr()) {
            this.onFailure(reply.error);
            return false;
        }
        if (reply.value !== "granted") {
            this.onTurnedAway(lease, reply.value, session);
            return false;
        }
        lease.handover = undefined;
        lease.dueMs = now.monoMs + renewMs;
        this.endedMs = Number.NEGATIVE_INFINITY;
        this.onAnswer();
        return true;
    }

    private noteIfLeaving(session: LeaseSession): void {
        if (session.isLeaving && this.bornWallMs !== undefined) {
            this.parts.onLeaving({ targetId: this.targetId, bornWallMs: this.bornWallMs });
        }
    }

    private onTurnedAway(lease: Lease, reply: Exclude<GrantReply, "granted">, session: LeaseSession): void {
        this.parts.log.warn("grant turned away", { target: this.targetId, range: lease.range, fence: lease.fence, reply });
        lease.session = undefined;
        noteTurnedAway[reply](this);
        if (reply === "outdated") {
            this.liveness.noteSetback();
            return;
        }
        session.reset();
        this.onFailure(failure("refused", "grant", this.targetId, reply));
    }

    /** The target has seen a higher fence than this term's. */
    noteOutdated(): void {
        this.parts.onOutdated();
    }

    /** Another target has the address, so this one has ended. */
    noteEnded(): void {
        this.endedMs = this.parts.clock.now().monoMs;
        this.liveness.noteEnd();
        this.onFailure(failure("refused", "grant", this.targetId, "another target has the address"));
    }

    private onAnswer(): void {
        this.resumeSent = false;
        if (this.liveness.noteAnswer(this.parts.clock.now().monoMs)) {
            this.parts.log.info("target answers again", { target: this.targetId });
            this.changed.fire();
        }
    }

    private onFailure(failed: Failure): void {
        this.sessions.resetRenewals();
        const nowMs = this.parts.clock.now().monoMs;
        if (this.liveness.noteFailure(failed, nowMs)) {
            const quietMs = this.liveness.quietMs(nowMs);
            this.parts.log.warn("target silent", { target: this.targetId, quietMs: Math.round(quietMs), step: failed.step, why: failed.message });
            this.changed.fire();
        }
    }
}

const noteTurnedAway: Record<Exclude<GrantReply, "granted">, (holder: Holder) => void> = {
    "outdated": (holder) => {
        holder.noteOutdated();
    },
    "other-target": (holder) => {
        holder.noteEnded();
    },
    "rejected": () => undefined,
};

/** False when the target certainly did not take a grant. */
function wasTaken(reply: Result<GrantReply, Failure>): boolean {
    return reply.match((answer) => answer === "granted", ({ kind }) => kind !== "unreachable");
}

function handoverFor(range: KeyRange, handovers: readonly HandedOver[]): string | undefined {
    return handovers.find((given) => contains(range, given.range))?.handover;
}
