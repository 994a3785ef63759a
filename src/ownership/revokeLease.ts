/** Revokes the lease on a range. */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { describeFailure, failure } from "../model/failure.js";
import type { FencingToken, KeyRange, TargetId } from "../model/names.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { FenceCounter } from "./fences.js";
import { maxTimeToExpiryMs } from "./leaseTerms.js";
import type { TargetSessions } from "./targetSessions.js";
import type { GrantReply, LeaseSession } from "./leasePort.js";

/** Longer than for renewals: this grant may be the first on a new connection, which an overloaded target is slow to accept. */
const fenceGrantTimeoutMs = 600;

/** Dependencies of `revokeLease`. */
export interface RevokeLeaseDependencies {
    targetId: TargetId;
    sessions: TargetSessions;
    fences: FenceCounter;
    clock: Clock;
    log: Log;
    /** Tells whether grants may be sent now. */
    mayGrant: (now: Instant) => boolean;
    /** Returns the duration of a lease that is granted now. */
    holdMs: (now: Instant) => number;
    /**
     * Called before the range is granted and after the answer, which is late if this host was stopped meanwhile, each time with the
     * monotonic time until which the target may hold the range unless it releases it.
     */
    recordGrant: (heldUntilMs: number, nowMs: number) => void;
}

/** Outcome of `revokeLease`. */
export type RevokeLeaseOutcome =
    | { kind: "released"; handover: string | undefined }
    /** Nothing was sent. */
    | { kind: "unsent"; failure: Failure }
    /** The target did not accept the grant with the new fencing token. */
    | { kind: "grant-refused"; reply: Exclude<GrantReply, "granted">; failure: Failure }
    | { kind: "failed"; failure: Failure };

/**
 * Revokes the lease on a range. First grants the range under a new fencing token: once the target has accepted it, no renewal that is
 * still in transit can restore the lease. Then has the target release the range.
 * @param range the range
 * @param timeoutMs time limit for the work in progress on the range
 */
export async function revokeLease(dependencies: RevokeLeaseDependencies, range: KeyRange, timeoutMs: number): Promise<RevokeLeaseOutcome> {
    const opened = await dependencies.sessions.moveSession();
    if (opened.isErr()) {
        return { kind: "unsent", failure: opened.error };
    }
    const session = opened.value;
    const now = dependencies.clock.now();
    if (!dependencies.mayGrant(now)) {
        session.reset();
        return { kind: "unsent", failure: failure("refused", "release", dependencies.targetId, "the term is not confirmed") };
    }
    const fence = dependencies.fences.next();
    const holdMs = dependencies.holdMs(now);
    dependencies.recordGrant(now.monoMs + fenceGrantTimeoutMs + maxTimeToExpiryMs(holdMs), now.monoMs);
    const granted = await session.grant({ range, fence, holdMs, handover: undefined }, fenceGrantTimeoutMs);
    const answeredMs = dependencies.clock.now().monoMs;
    dependencies.recordGrant(answeredMs + maxTimeToExpiryMs(holdMs), answeredMs);
    const outcome = await granted.match(
        (reply) => reply === "granted" ? release(dependencies, session, { range, fence, timeoutMs }) : grantRefused(dependencies.targetId, reply),
        (cause): RevokeLeaseOutcome => ({ kind: "failed", failure: cause }));
    session.reset();
    if (outcome.kind !== "released") {
        dependencies.log.warn("lease not revoked", {
            target: dependencies.targetId, range, fence, holdMs, why: describeFailure(outcome.failure),
        });
    }
    return outcome;
}

function grantRefused(targetId: TargetId, reply: Exclude<GrantReply, "granted">): RevokeLeaseOutcome {
    return { kind: "grant-refused", reply, failure: failure("refused", "grant", targetId, reply) };
}

interface Release {
    range: KeyRange;
    fence: FencingToken;
    timeoutMs: number;
}

async function release(
    dependencies: RevokeLeaseDependencies, session: LeaseSession, { range, fence, timeoutMs }: Release,
): Promise<RevokeLeaseOutcome> {
    const usable = await reopenIfClosed(dependencies, session);
    if (usable.isErr()) {
        return { kind: "failed", failure: usable.error };
    }
    const released = await usable.value.release(range, fence, timeoutMs);
    usable.value.reset();
    return released.match(
        (handover): RevokeLeaseOutcome => ({ kind: "released", handover }),
        (cause): RevokeLeaseOutcome => ({ kind: "failed", failure: cause }));
}

/** A draining target closes its connections after each answer. */
async function reopenIfClosed({ sessions }: RevokeLeaseDependencies, session: LeaseSession): Promise<Result<LeaseSession, Failure>> {
    return session.isOpen ? ok(session) : sessions.moveSession();
}
