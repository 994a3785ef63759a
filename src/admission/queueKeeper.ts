/** Server side of admission: keeps the admission queues that are assigned to this host and answers the requests of all hosts for slots. */
import type { PeerConnection, PeerHandlers } from "../cluster/peerConnection.js";
import type { TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { KnownTarget } from "../model/target.js";
import { mayReceive } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AdmissionRequest, AdmissionVerdict, Ticket } from "./admissionRequest.js";
import { AdmissionQueue } from "./admissionQueue.js";
import type { EnterParams, EnterReply, Group, LeaveParams, WithdrawParams } from "./messages.js";
import { admissionMethods, groupName } from "./messages.js";
import type { QueueTarget } from "./targetRecord.js";

/** Interval between ticks of the queues while requests wait or a target leaves. */
const tickMs = 25;

/** Interval between ticks otherwise. Slots of requests whose end was never reported are freed with up to this delay. */
const idleTickMs = 1_000;

/** An empty queue that has not been used for this long is deleted. */
const idleQueueMs = 30_000;

/** Number of observations from which on a target's slowness is reported. */
const minAnswers = 3;

/** Dependencies of the admission server. */
export interface QueueKeeperParts {
    view: ClusterView;
    clock: Clock;
    random: () => number;
    /** Time after which a leaving target must not get new requests. */
    drainMs: number;
    /** Returns whether a target has stopped answering. */
    isSilent: (targetId: TargetId) => boolean;
}

/** Load of a target as its queue observes it. Sent to the coordinator under these field names. */
export interface TargetPressure {
    targetId: TargetId;
    slowness: number;
    running: number;
    waiting: number;
}

interface KeptQueue {
    group: Group;
    queue: AdmissionQueue;
    replies: Map<Ticket, (reply: EnterReply) => void>;
    viewVersion: number;
    /** True while a target of the group is leaving: it closes after a while even if the view does not change. */
    hasLeaving: boolean;
    usedMs: number;
}

/** Keeps the queues that are assigned to this host. */
export interface QueueKeeper {
    /**
     * Waits for a slot.
     * @param params the request that needs the slot
     * @param sender identifies the host that would send the request
     */
    enter(params: EnterParams, sender: string): Promise<EnterReply>;
    /** Frees a slot after the end of its request. */
    leave(params: LeaveParams): void;
    /** Removes a request whose sender no longer needs a slot. */
    withdraw(params: WithdrawParams): void;
    /** RPC methods for other hosts. */
    handlers(): PeerHandlers;
    /** Ticks all queues periodically until `signal` aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Lists the load of each target whose queue is kept here and whose slowness is known. */
    pressures(): TargetPressure[];
}

/**
 * Creates the admission server.
 * @param parts its dependencies
 */
export function createQueueKeeper({ view, clock, random, drainMs, isSilent }: QueueKeeperParts): QueueKeeper {
    const queues = new Map<string, KeptQueue>();
    const waitBegan = new Signal();
    const ticketsByPeer = new Map<PeerConnection, Map<Ticket, Group>>();

    const queueOf = (group: Group, nowMs: number): KeptQueue => {
        const name = groupName(group);
        const known = queues.get(name)
            ?? { group, queue: new AdmissionQueue(random), replies: new Map(), viewVersion: -1, hasLeaving: false, usedMs: nowMs };
        queues.set(name, known);
        known.usedMs = nowMs;
        refresh(known, nowMs);
        return known;
    };

    const refresh = (kept: KeptQueue, nowMs: number) => {
        if (kept.viewVersion !== view.targetsVersion || kept.hasLeaving) {
            const targets = targetsOf(kept.group);
            kept.viewVersion = view.targetsVersion;
            kept.hasLeaving = targets.some(({ leavingSinceMs }) => leavingSinceMs !== undefined);
            deliver(kept, kept.queue.setTargets(targets.map((target) => toQueueTarget(target, kept.group, nowMs)), nowMs));
        }
    };

    const isDrained = (targetId: TargetId) => view.ledger.drained().includes(targetId);

    const targetsOf = (group: Group): KnownTarget[] => {
        const targets = group.kind === "service" ? view.targets.ofService(group.serviceId) : [view.targets.get(group.targetId)];
        return targets.flatMap((target) => target === undefined ? [] : [target]);
    };

    /** In its own queue (`group.kind` is "target") a leaving target stays open for `drainMs`, since its keys have to move first. */
    const toQueueTarget = (target: KnownTarget, group: Group, nowMs: number): QueueTarget => ({
        targetId: target.targetId,
        dataCentreId: target.dataCentreId,
        slots: target.slots,
        open: !isSilent(target.targetId)
            && (group.kind === "target" ? mayReceive(target, drainMs, nowMs) : target.state === "ready" && !isDrained(target.targetId)),
        warmingUp: target.warmingUp,
    });

    const deliver = (kept: KeptQueue, verdicts: readonly AdmissionVerdict[]) => {
        for (const verdict of verdicts) {
            const reply = kept.replies.get(verdict.ticket);
            kept.replies.delete(verdict.ticket);
            reply?.(verdict.kind === "granted"
                ? { granted: verdict.targetId, expectedMs: verdict.expectedMs }
                : { refused: verdict.reason, retryAfterMs: verdict.retryAfterMs });
        }
    };

    const enter = (params: EnterParams, sender: string): Promise<EnterReply> => {
        if (view.targetsUpTo < 0) {
            return Promise.resolve({ unready: true });
        }
        const nowMs = clock.now().monoMs;
        const kept = queueOf(params.group, nowMs);
        return new Promise((resolve) => {
            kept.replies.set(params.ticket, resolve);
            deliver(kept, kept.queue.offer(toRequest(params, sender, nowMs), nowMs));
            if (kept.queue.waitingCount > 0) {
                waitBegan.fire();
            }
        });
    };

    const leave = ({ group, ticket, end }: LeaveParams) => {
        const nowMs = clock.now().monoMs;
        const kept = queueOf(group, nowMs);
        deliver(kept, kept.queue.finish(ticket, end, nowMs));
    };

    const withdraw = ({ group, ticket }: WithdrawParams) => {
        const nowMs = clock.now().monoMs;
        const kept = queueOf(group, nowMs);
        kept.replies.delete(ticket);
        deliver(kept, kept.queue.withdraw(ticket, nowMs));
    };

    /** Withdraws the requests of a host whose connection has closed. */
    const onPeerLost = (tickets: ReadonlyMap<Ticket, Group>) => {
        for (const [ticket, group] of tickets) {
            withdraw({ group, ticket });
        }
    };

    const ticketsOf = (from: PeerConnection): Map<Ticket, Group> => {
        const known = ticketsByPeer.get(from);
        if (known !== undefined) {
            return known;
        }
        const tickets = new Map<Ticket, Group>();
        ticketsByPeer.set(from, tickets);
        void from.closed.then(() => {
            ticketsByPeer.delete(from);
            onPeerLost(tickets);
        });
        return tickets;
    };

    return {
        enter, leave, withdraw,
        handlers: () => ({
            [admissionMethods.enter]: (params: EnterParams, from: PeerConnection) => {
                ticketsOf(from).set(params.ticket, params.group);
                return enter(params, from.address);
            },
            [admissionMethods.leave]: (params: LeaveParams, from: PeerConnection) => {
                ticketsOf(from).delete(params.ticket);
                leave(params);
            },
            [admissionMethods.withdraw]: (params: WithdrawParams, from: PeerConnection) => {
                ticketsOf(from).delete(params.ticket);
                withdraw(params);
            },
        }),
        run: async (signal) => {
            while (!signal.aborted) {
                const isWaiting = [...queues.values()].some(({ queue, hasLeaving }) => hasLeaving || queue.waitingCount > 0);
                await (isWaiting ? clock.sleep(tickMs, signal) : waitFor(clock, idleTickMs, [waitBegan], signal));
                const nowMs = clock.now().monoMs;
                for (const [name, kept] of queues) {
                    refresh(kept, nowMs);
                    deliver(kept, kept.queue.tick(nowMs));
                    if (nowMs - kept.usedMs > idleQueueMs && kept.queue.runningCount + kept.queue.waitingCount === 0) {
                        queues.delete(name);
                    }
                }
            }
        },
        pressures: () => [...queues.values()].flatMap(({ queue }) => queue.describeTargets()
            .filter(({ answers }) => answers >= minAnswers)
            .map(({ targetId, running, slowness }) => ({ targetId, running, slowness: round(slowness), waiting: queue.waitingCount }))),
    };
}

function round(ratio: number): number {
    return Math.round(ratio * 100) / 100;
}

function toRequest(params: EnterParams, sender: string, nowMs: number): AdmissionRequest {
    const { ticket, priority, workMs, near } = params;
    return {
        ticket, sender, priority, workMs, near,
        arrivedMs: nowMs,
        targetMs: nowMs + params.targetLeftMs,
        deadlineMs: nowMs + params.deadlineLeftMs,
        avoid: new Set(params.avoid),
    };
}

