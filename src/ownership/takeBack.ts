/** Takes a range back from a target that holds it. */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Fence, KeyRange, TargetId } from "../model/names.js";
import type { Clock, Instant } from "../model/time.js";
import type { FenceCounter } from "./fences.js";
import type { HolderSessions } from "./holderSessions.js";
import type { GrantReply, LeaseSession } from "./leasePort.js";

/** The grant that comes first may go over a new connection, for which a full target takes its time. */
const raiseTimeoutMs = 600;

/** What taking a range back works with. */
export interface TakeBackParts {
    targetId: TargetId;
    sessions: HolderSessions;
    fences: FenceCounter;
    clock: Clock;
    /** Tells whether grants may be sent now. */
    mayGrant: (now: Instant) => boolean;
    /** Length of a lease granted now. */
    holdMs: (now: Instant) => number;
}

/** What became of it. */
export type TakeBackEnd =
    | { kind: "released"; handover: string | undefined }
    /** Nothing was sent. */
    | { kind: "unsent"; failure: Failure }
    /** The target did not take the grant that comes first. */
    | { kind: "turned-away"; reply: Exclude<GrantReply, "granted"> }
    | { kind: "failed"; failure: Failure };

/**
 * Takes a range back. A fresh fence comes first: once it is accepted, no renewal that is still on its way can bring the lease back.
 * @param parts what it works with
 * @param range the range
 * @param timeoutMs how long to wait for the work under way
 */
export async function takeBack(parts: TakeBackParts, range: KeyRange, timeoutMs: number): Promise<TakeBackEnd> {
    const opened = await parts.sessions.forMove();
    if (opened.isErr()) {
        return { kind: "unsent", failure: opened.error };
    }
    const session = opened.value;
    const now = parts.clock.now();
    if (!parts.mayGrant(now)) {
        session.reset();
        return { kind: "unsent", failure: failure("refused", "release", parts.targetId, "the term is not confirmed") };
    }
    const fence = parts.fences.next();
    const raised = await session.grant({ range, fence, holdMs: parts.holdMs(now), handover: undefined }, raiseTimeoutMs);
    const end = await raised.match(
        (reply) => reply === "granted" ? release(parts, session, { range, fence, timeoutMs }) : { kind: "turned-away" as const, reply },
        (failed) => ({ kind: "failed" as const, failure: failed }));
    session.reset();
    return end;
}

interface Release {
    range: KeyRange;
    fence: Fence;
    timeoutMs: number;
}

async function release(parts: TakeBackParts, session: LeaseSession, { range, fence, timeoutMs }: Release): Promise<TakeBackEnd> {
    const usable = await openAfterGrant(parts, session);
    if (usable.isErr()) {
        return { kind: "failed", failure: usable.error };
    }
    const released = await usable.value.release(range, fence, timeoutMs);
    usable.value.reset();
    return released.match(
        (handover): TakeBackEnd => ({ kind: "released", handover }),
        (failed): TakeBackEnd => ({ kind: "failed", failure: failed }));
}

/** A target that drains closes its connections after each answer. */
async function openAfterGrant({ sessions }: TakeBackParts, session: LeaseSession): Promise<Result<LeaseSession, Failure>> {
    return session.isOpen ? ok(session) : sessions.forMove();
}
