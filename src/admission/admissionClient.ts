/** Client side of admission: requests a slot for a request of this host from the host that keeps the queue. */
import { ok } from "neverthrow";
import type { Member, Membership } from "../cluster/membership.js";
import type { PeerLinks } from "../cluster/peerLinks.js";
import type { HostId, TargetId } from "../model/names.js";
import type { StatedRateLimit } from "../model/rateLimit.js";
import type { AgedTargetLoad } from "../model/targetLoad.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { QueueRefusalReason, Ticket } from "./admissionRequest.js";
import { createAdmissionChecks } from "./messageChecks.js";
import type { EnterParams, EnterReply, LeaveParams } from "./messages.js";
import { admissionMethods } from "./messages.js";
import type { QueueHosts } from "./queueHosts.js";
import type { AdmissionServer } from "./admissionServer.js";
import type { WorkEnd } from "./workEnd.js";

/** Time for which a host is skipped after it did not answer or was not ready. */
const suspicionMs = 1_500;

/** Time beyond a request's deadline for which the reply of the queue's host is awaited. */
const replyGraceMs = 200;

/** Number of hosts that are tried in turn before a request is refused. */
const maxHostsTried = 3;

const retryAfterNoHostMs = 300;

/** A request that needs a slot. */
export interface SlotRequest extends Omit<EnterParams, "ticket" | "sender" | "targetLeftMs" | "deadlineLeftMs"> {
    /** Monotonic time after which the answer loses value, because the target latency is exceeded. */
    softDeadlineMs: number;
    /** Monotonic time after which the answer is useless. */
    deadlineMs: number;
}

/**
 * A slot at a target, or the reason why none was granted. `leave` frees the slot after the end of the request; it also tells the
 * queue's host which rate limit the target has, if any, and its load report.
 */
export type SlotDecision =
    | {
        kind: "granted";
        targetId: TargetId;
        expectedMs: number;
        /** True if the target has a rate limit, so that the slot is good for one request only. */
        isRateLimited: boolean;
        leave: (end: WorkEnd, rateLimit?: StatedRateLimit, load?: AgedTargetLoad) => void;
    }
    | {
        kind: "refused"; reason: QueueRefusalReason | "no-host" | "withdrawn"; retryAfterMs: number;
        /** Set if slots were reserved for more urgent requests. */
        isReserved?: boolean;
    };

/** Requests slots from the hosts that keep the queues. */
export interface AdmissionClient {
    /**
     * Waits for a slot.
     * @param request the request that needs the slot
     * @param signal withdraws the request when it aborts
     */
    enter(request: SlotRequest, signal: AbortSignal): Promise<SlotDecision>;
}

/** Reply of a host that is able to keep the queue. */
type QueueReply = Exclude<EnterReply, { unready: true }>;

/** Dependencies of the admission client. */
export interface AdmissionClientDependencies {
    localServer: AdmissionServer;
    membership: Membership;
    queueHosts: QueueHosts;
    links: PeerLinks;
    clock: Clock;
    nextTicket: () => Ticket;
    log: Log;
}

/** Creates the admission client of this host. */
export function createAdmissionClient(
    { localServer, membership, queueHosts, links, clock, nextTicket, log }: AdmissionClientDependencies,
): AdmissionClient {
    const checks = createAdmissionChecks(log, clock);
    const isSelf = (member: Member) => member.hostId === membership.self.hostId;

    /** Returns the preferred reachable hosts, at most `maxHostsTried`. */
    const reachableCandidates = ({ group }: SlotRequest, nowMs: number): Member[] => {
        const ranked = queueHosts.ranked(group);
        const candidates: Member[] = [];
        for (let index = 0; index < ranked.length && candidates.length < maxHostsTried; index++) {
            const member = ranked[index] as Member;
            if (membership.isReachable(member, nowMs)) {
                candidates.push(member);
            }
        }
        return candidates;
    };

    const requestSlot = async (member: Member, params: EnterParams, signal: AbortSignal): Promise<QueueReply | undefined> => {
        const reply = isSelf(member)
            ? ok(await localServer.enter(params, membership.self.hostId))
            : await requestSlotFromPeer(member, params);
        if (signal.aborted) {
            // No reply comes to a request that was withdrawn, unless it was sent only then, when the connection was open.
            if (reply.isOk() && "granted" in reply.value) {
                withdraw(member, params);
            }
            return undefined;
        }
        if (reply.isOk() && !("unready" in reply.value)) {
            return reply.value;
        }
        if (reply.isErr()) {
            // The request may wait or hold a slot there all the same.
            withdraw(member, params);
        }
        membership.suspect(member.peerAddress, clock.now().monoMs + suspicionMs);
        return undefined;
    };

    const requestSlotFromPeer = async ({ peerAddress }: Member, params: EnterParams) => (await links.call<unknown>(
        peerAddress, admissionMethods.enter, params, params.deadlineLeftMs + replyGraceMs,
    )).andThen((reply) => checks.reply(reply, peerAddress));

    const notifyQueueHost = (member: Member, method: "leave" | "withdraw", params: Pick<LeaveParams, "group" | "ticket" | "rateLimit" | "load"> & { end?: WorkEnd }) => {
        if (!isSelf(member)) {
            links.notify(member.peerAddress, admissionMethods[method], params);
        }
        else if (params.end === undefined) {
            localServer.withdraw(params);
        }
        else {
            localServer.leave({ ...params, end: params.end });
        }
    };

    const withdraw = (member: Member, { group, ticket }: Pick<EnterParams, "group" | "ticket">) => {
        notifyQueueHost(member, "withdraw", { group, ticket });
    };

    const enterAt = async (member: Member, request: SlotRequest, signal: AbortSignal): Promise<SlotDecision | undefined> => {
        const nowMs = clock.now().monoMs;
        const ticket = nextTicket();
        const { group } = request;
        const withdrawn = whenAborted(signal);
        const reply = await Promise.race([
            requestSlot(member, toEnterParams(request, ticket, membership.self.hostId, nowMs), signal), withdrawn.promise,
        ]);
        withdrawn.release();
        if (signal.aborted) {
            withdraw(member, { group, ticket });
            return { kind: "refused", reason: "withdrawn", retryAfterMs: 0 };
        }
        if (reply === undefined) {
            return undefined;
        }
        return "granted" in reply
            ? {
                kind: "granted", targetId: reply.granted, expectedMs: reply.expectedMs, isRateLimited: reply.rateLimited === true,
                leave: (end, rateLimit, load) => {
                    notifyQueueHost(member, "leave", {
                        group, ticket, end, ...rateLimit === undefined ? {} : { rateLimit }, ...load === undefined ? {} : { load },
                    });
                },
            }
            : {
                kind: "refused", reason: reply.refused, retryAfterMs: reply.retryAfterMs,
                ...reply.reserved === true ? { isReserved: true } : {},
            };
    };

    return {
        enter: async (request, signal) => {
            for (const member of reachableCandidates(request, clock.now().monoMs)) {
                const decision = await enterAt(member, request, signal);
                if (decision !== undefined) {
                    return decision;
                }
            }
            return { kind: "refused", reason: "no-host", retryAfterMs: retryAfterNoHostMs };
        },
    };
}

/** Returns the message for a request. Fields are listed one by one, since copying them all costs processor time for each request. */
function toEnterParams(request: SlotRequest, ticket: Ticket, sender: HostId, nowMs: number): EnterParams {
    const {
        group, priority, workMs, near, avoid, rateLimits, suspect, softDeadlineMs, deadlineMs, maxWaitMs, caller, kind,
    } = request;
    const params: EnterParams = {
        ticket, sender, group, priority, near, avoid,
        workMs: Math.round(workMs), targetLeftMs: Math.round(softDeadlineMs - nowMs), deadlineLeftMs: Math.round(deadlineMs - nowMs),
    };
    if (rateLimits !== undefined) {
        params.rateLimits = rateLimits;
    }
    if (suspect !== undefined) {
        params.suspect = suspect;
    }
    if (caller !== undefined) {
        params.caller = caller;
    }
    if (kind !== undefined) {
        params.kind = kind;
    }
    if (maxWaitMs !== undefined) {
        params.maxWaitMs = Math.max(0, Math.round(maxWaitMs));
    }
    return params;
}

/** Returns a promise that resolves when a signal aborts; `release` removes the listener. */
function whenAborted(signal: AbortSignal): { promise: Promise<undefined>; release: () => void } {
    let onAbort: () => void = () => undefined;
    const promise = new Promise<undefined>((resolve) => {
        onAbort = () => {
            resolve(undefined);
        };
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", onAbort, { once: true });
    });
    return { promise, release: () => {
        signal.removeEventListener("abort", onAbort);
    } };
}
