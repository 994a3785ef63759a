/** Grants, renews and revokes the leases of one target. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address, KeyRange, TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { LeavingTarget } from "../model/target.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { FenceCounter } from "./fences.js";
import { TargetSessions } from "./targetSessions.js";
import type { RenewalTerms } from "./leaseTerms.js";
import { maxTimeToExpiryMs, renewalIntervalMs, renewalTerms } from "./leaseTerms.js";
import type { GrantReply, LeasePort, LeaseSession } from "./leasePort.js";
import { Liveness } from "./liveness.js";
import type { Lease, RangeHandover } from "./leaseTable.js";
import { LeaseTable } from "./leaseTable.js";
import { revokeLease } from "./revokeLease.js";

const grantTimeoutMs = 300;

/**
 * For this long, a target whose process has ended is sent no renewals, unless it is registered anew or its end has to be confirmed.
 * Its entry in the service directory disappears in the meantime.
 */
const endedForMs = 5_000;

/** Once the leases of a silent target have expired, it is sent no grant for this long, so that its keys can be assigned to others. */
const expiredPauseMs = 400;

/** While no grants may be sent, the manager checks that often whether they may again. */
const notPermittedPauseMs = 20;

/** Dependencies and callbacks of a target's lease manager. */
export interface LeaseManagerDependencies {
    leases: LeasePort;
    fences: FenceCounter;
    clock: Clock;
    log: Log;
    /** Tells whether grants may be sent now. */
    mayGrant: (now: Instant) => boolean;
    /** False if only leases that stand may be renewed, each on the connection and under the fencing token of its last renewal. */
    mayUseNewFences: () => boolean;
    /** Tells whether the ledger assigns a range to a target and no move takes it away. */
    isRecorded: (targetId: TargetId, range: KeyRange) => boolean;
    /** Returns the duration of a lease that is granted now. */
    holdMs: (now: Instant) => number;
    /** Longest permitted duration of a lease. */
    maxHoldMs: number;
    /** Returns the rate limit of a target in requests a second; undefined if none is known. */
    rateLimitOf: (targetId: TargetId) => number | undefined;
    /** Called when the target has seen a higher fencing token. */
    onOutdated: () => void;
    /** Called when a process of the target has announced that it is leaving. */
    onLeaving: (leaving: LeavingTarget) => void;
    /** Monotonic time until which an earlier coordinator may still send grants. */
    predecessorActsUntilMs: number;
}

/** Outcome of the release of a range. */
export type ReleaseOutcome =
    | { kind: "released"; handover: string | undefined }
    /** The target may hold the range until `heldUntilMs`. */
    | { kind: "failed"; heldUntilMs: number; failure: Failure };

/** Manages the leases of one target. */
export class LeaseManager {
    /** Fires when the target falls silent or answers again. */
    readonly changed = new Signal();
    private readonly wake = new Signal();
    private readonly leases: LeaseTable;
    private readonly sessions: TargetSessions;
    private readonly liveness: Liveness;
    private renewalInProgress: Promise<void> = Promise.resolve();
    private hasSentGrantWhileSilent = false;
    private endedMs = Number.NEGATIVE_INFINITY;
    private bornWallMs: number | undefined;

    constructor(readonly targetId: TargetId, address: Address, private readonly dependencies: LeaseManagerDependencies) {
        this.liveness = new Liveness(dependencies.clock.now().monoMs);
        this.leases = new LeaseTable(dependencies.fences);
        this.sessions = new TargetSessions(targetId, address, dependencies.leases, () => {
            // The address of a target that is gone may accept connections and reset each of them.
            if (!this.liveness.isFailing) {
                this.wake.fire();
            }
        });
    }

    /** True while the target does not answer. */
    get isSilent(): boolean {
        return this.liveness.isSilent;
    }

    /** True while a connection to the target is open and the target answers. */
    get isConnected(): boolean {
        return this.sessions.isRenewalSessionOpen && !this.isSilent;
    }

    /** True for some seconds after the last known process of the target was found to have ended. */
    get hasEnded(): boolean {
        return this.dependencies.clock.now().monoMs < this.endedMs + endedForMs;
    }

    /**
     * True when no lease of the target is in force, whoever granted it. As long as an earlier coordinator may send grants, it may grant
     * to a new process with the target's id after the end of the last one was seen, so the end has to be confirmed after that time.
     */
    get isCertainlyFree(): boolean {
        return this.hasEnded && this.endedMs >= this.dependencies.predecessorActsUntilMs;
    }

    /** Monotonic time after which no lease that this manager granted is in force. */
    get freeAtMs(): number {
        return this.isCertainlyFree
            ? Number.NEGATIVE_INFINITY
            : this.leases.lastExpiryMs;
    }

    /** Ranges whose leases are renewed. */
    get ranges(): KeyRange[] {
        return this.leases.ranges;
    }

    /**
     * Updates the target's registration. A new address or a new process makes a target that has ended callable again.
     * @param registration the address, and the start of the target's process if it is registered
     */
    updateRegistration({ address, bornWallMs }: { address: Address; bornWallMs?: number }): void {
        const hasMoved = this.sessions.setAddress(address);
        const hasRestarted = bornWallMs !== undefined && this.bornWallMs !== undefined && bornWallMs !== this.bornWallMs;
        this.bornWallMs = bornWallMs ?? this.bornWallMs;
        if ((hasMoved || hasRestarted) && this.hasEnded) {
            this.endedMs = Number.NEGATIVE_INFINITY;
            this.wake.fire();
        }
    }

    /**
     * Sets the ranges to keep granted.
     * @param ranges the ranges; leases on other ranges are not renewed any more
     * @param handovers handover tokens for ranges that are new here
     */
    setRanges(ranges: readonly KeyRange[], handovers: readonly RangeHandover[]): void {
        this.leases.setRanges(ranges, handovers, this.dependencies.clock.now().monoMs);
        this.wake.fire();
    }

    /** Grants and renews leases until aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.renewalInProgress = this.renewDue(signal);
            await this.renewalInProgress;
            const now = this.dependencies.clock.now();
            const pauseMs = this.liveness.isFailing
                ? this.liveness.retryDelayMs()
                : this.leases.nextDueMs(now.monoMs + renewalIntervalMs) - now.monoMs;
            const leastPauseMs = this.dependencies.mayGrant(now) && this.dependencies.mayUseNewFences() ? 1 : notPermittedPauseMs;
            await waitFor(this.dependencies.clock, Math.max(leastPauseMs, pauseMs), [this.wake], signal);
        }
        this.sessions.close();
    }

    /**
     * Stops renewing a range and has the target release it. When that fails, `setRanges` has to be called with the
     * range to restore the lease.
     * @param range a range within one that is renewed
     * @param timeoutMs time limit for the work in progress on the range
     */
    async release(range: KeyRange, timeoutMs: number): Promise<ReleaseOutcome> {
        this.stopRenewing(range);
        await this.renewalInProgress;
        const mayGrant = (now: Instant) => this.dependencies.mayGrant(now) && this.dependencies.mayUseNewFences();
        const recordGrant = (heldUntilMs: number, nowMs: number) => {
            this.leases.addExpiring(range, heldUntilMs, nowMs);
        };
        const { targetId, sessions } = this;
        const outcome = await revokeLease({ ...this.dependencies, mayGrant, recordGrant, targetId, sessions }, range, timeoutMs);
        if (outcome.kind === "released") {
            this.leases.recordRelease(range);
            return outcome;
        }
        if (outcome.kind === "grant-refused") {
            onGrantRefused[outcome.reply](this);
        }
        return { kind: "failed", heldUntilMs: this.heldUntilMs(range), failure: outcome.failure };
    }

    /** Monotonic time after which the target certainly does not hold a range that is not renewed any more. */
    private heldUntilMs(range: KeyRange): number {
        return this.isCertainlyFree ? Number.NEGATIVE_INFINITY : this.leases.latestExpiryMs(range);
    }

    /**
     * Stops renewing a range of a target that does not answer.
     * @param range a range within one that is renewed
     * @returns monotonic time after which the target certainly does not hold it
     */
    async abandon(range: KeyRange): Promise<number> {
        this.stopRenewing(range);
        await this.renewalInProgress;
        return this.heldUntilMs(range);
    }

    private stopRenewing(range: KeyRange): void {
        this.leases.stopRenewing(range, this.dependencies.clock.now().monoMs);
        this.wake.fire();
    }

    private async renewDue(signal: AbortSignal): Promise<void> {
        const now = this.dependencies.clock.now();
        if (!this.dependencies.mayGrant(now) || signal.aborted || (this.hasEnded && !this.mustConfirmEnd(now.monoMs))) {
            return;
        }
        const session = await this.sessions.renewalSession();
        if (session.isErr()) {
            this.onFailure(session.error);
            return;
        }
        if (this.isSilent && this.leases.count === 0) {
            // No grant is sent to a target without leases, so an open connection counts as an answer.
            this.onAnswer();
        }
        const { mayUseNewFences } = this.dependencies;
        for (const lease of this.leases.byDueTime().filter((one) => one.session === session.value || mayUseNewFences())) {
            if (signal.aborted || !session.value.isOpen || !this.isDue(lease) || !await this.renew(lease, session.value)) {
                return;
            }
        }
        if (this.leases.count > 0) {
            void this.sessions.openSpareSession();
        }
    }

    /**
     * Tells whether a target that has ended has to be called again before its keys are free: its end was seen while an earlier
     * coordinator could still send grants, and has to be confirmed now that it cannot.
     */
    private mustConfirmEnd(nowMs: number): boolean {
        return this.leases.count > 0 && !this.isCertainlyFree && nowMs >= this.dependencies.predecessorActsUntilMs;
    }

    /** A silent target gets only one more grant before its leases have expired, since each grant extends the wait for its keys. */
    private isDue(lease: Lease): boolean {
        const nowMs = this.dependencies.clock.now().monoMs;
        if (this.isSilent && this.hasSentGrantWhileSilent && !this.hasEnded && nowMs < this.freeAtMs + expiredPauseMs) {
            return false;
        }
        return this.leases.includes(lease) && lease.dueMs <= nowMs && this.dependencies.isRecorded(this.targetId, lease.range);
    }

    private async renew(lease: Lease, session: LeaseSession): Promise<boolean> {
        const now = this.dependencies.clock.now();
        if (!this.dependencies.mayGrant(now)) {
            return false;
        }
        if (lease.session !== session) {
            if (!this.dependencies.mayUseNewFences()) {
                return false;
            }
            lease.session = session;
            lease.fence = this.dependencies.fences.next();
        }
        this.hasSentGrantWhileSilent = this.isSilent;
        const { holdMs, intervalMs } = this.renewalTerms(session, now);
        const heldBeforeMs = lease.heldUntilMs;
        lease.heldUntilMs = Math.max(heldBeforeMs, now.monoMs + grantTimeoutMs + maxTimeToExpiryMs(holdMs));
        const reply = await session.grant({ range: lease.range, fence: lease.fence, holdMs, handover: lease.handover }, grantTimeoutMs);
        const answeredMs = this.dependencies.clock.now().monoMs;
        this.reportIfLeaving(session);
        lease.heldUntilMs = mayHaveAccepted(reply) ? Math.max(lease.heldUntilMs, answeredMs + maxTimeToExpiryMs(holdMs)) : heldBeforeMs;
        if (!this.leases.includes(lease)) {
            this.leases.addExpiring(lease.range, lease.heldUntilMs, answeredMs);
        }
        if (reply.isErr()) {
            this.onFailure(reply.error);
            return false;
        }
        if (reply.value !== "granted") {
            this.onRefused(lease, reply.value, session);
            return false;
        }
        lease.handover = undefined;
        lease.dueMs = now.monoMs + intervalMs;
        this.endedMs = Number.NEGATIVE_INFINITY;
        this.onAnswer();
        return true;
    }

    private renewalTerms(session: LeaseSession, now: Instant): RenewalTerms {
        const { holdMs, maxHoldMs, rateLimitOf } = this.dependencies;
        const rateLimit = session.requestsPerSecond ?? rateLimitOf(this.targetId);
        return renewalTerms(rateLimit, this.leases.count, holdMs(now), maxHoldMs);
    }

    private reportIfLeaving(session: LeaseSession): void {
        if (session.isLeaving && this.bornWallMs !== undefined) {
            this.dependencies.onLeaving({ targetId: this.targetId, bornWallMs: this.bornWallMs });
        }
    }

    private onRefused(lease: Lease, reply: Exclude<GrantReply, "granted">, session: LeaseSession): void {
        this.dependencies.log.warn("target refused a grant", { target: this.targetId, range: lease.range, fence: lease.fence, reply });
        lease.session = undefined;
        onGrantRefused[reply](this);
        if (reply === "outdated") {
            this.liveness.recordRefusal();
            return;
        }
        session.reset();
        this.onFailure(failure("refused", "grant", this.targetId, reply));
    }

    /** Reports that the target has seen a higher fencing token. */
    reportOutdated(): void {
        this.dependencies.onOutdated();
    }

    /** Records that the target's process has ended, since another target answers at its address. */
    recordEnd(): void {
        this.endedMs = this.dependencies.clock.now().monoMs;
        this.liveness.recordEnd();
        this.onFailure(failure("refused", "grant", this.targetId, "another target has the address"));
    }

    private onAnswer(): void {
        this.hasSentGrantWhileSilent = false;
        if (this.liveness.recordAnswer(this.dependencies.clock.now().monoMs)) {
            this.dependencies.log.info("target answers again", { target: this.targetId });
            this.changed.fire();
        }
    }

    private onFailure(cause: Failure): void {
        this.sessions.resetRenewalSession();
        const nowMs = this.dependencies.clock.now().monoMs;
        if (this.liveness.recordFailure(cause, nowMs)) {
            const quietMs = this.liveness.unansweredMs(nowMs);
            this.dependencies.log.warn("target silent", {
                target: this.targetId, quietMs: Math.round(quietMs), step: cause.step, why: cause.message,
            });
            this.changed.fire();
        }
    }
}

const onGrantRefused: Record<Exclude<GrantReply, "granted">, (manager: LeaseManager) => void> = {
    "outdated": (manager) => {
        manager.reportOutdated();
    },
    "other-target": (manager) => {
        manager.recordEnd();
    },
    "rejected": () => undefined,
};

/** Returns false when the target certainly did not accept a grant. */
function mayHaveAccepted(reply: Result<GrantReply, Failure>): boolean {
    return reply.match((answer) => answer === "granted", ({ kind }) => kind !== "unreachable");
}
