/** Server side of admission: keeps the admission queues that are assigned to this host and answers the requests of all hosts for slots. */
import type { Result } from "neverthrow";
import type { PeerConnection, PeerHandlers } from "../cluster/peerConnection.js";
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { KnownTarget } from "../model/target.js";
import { mayReceive } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { TargetPressure } from "../ownership/targetPressure.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AdmissionRequest, AdmissionVerdict, Ticket } from "./admissionRequest.js";
import { AdmissionQueue } from "./admissionQueue.js";
import { createAdmissionChecks } from "./messageChecks.js";
import type { EnterParams, EnterReply, Group, LeaveParams, WithdrawParams } from "./messages.js";
import { admissionMethods, groupName } from "./messages.js";
import type { QueueHosts } from "./queueHosts.js";
import type { SharingDescription } from "./scarceCapacity.js";
import type { TargetBacklog } from "./targetBacklogs.js";
import type { QueueTarget } from "./targetRecord.js";
import { WorkEstimates } from "./workEstimates.js";

export type { TargetPressure } from "../ownership/targetPressure.js";

/** Interval between ticks of the queues while requests wait or a target leaves. */
const tickMs = 25;

/** Interval between ticks otherwise. Slots of requests whose end was never reported are freed with up to this delay. */
const idleTickMs = 1_000;

/** An empty queue that has not been used for this long is deleted. */
const idleQueueRetentionMs = 30_000;

/** Minimum number of observations for a target's slowness to be reported. */
const minObservationCount = 3;

/** Dependencies of the admission server. */
export interface AdmissionServerDependencies {
    view: ClusterView;
    clock: Clock;
    random: () => number;
    /** Time after which a leaving target must not get new requests. */
    drainMs: number;
    /**
     * Time during which a target counts as cold after it has become ready again, for example at the end of an evacuation. By then this
     * host has read a directory entry that states whether the target warms up.
     */
    coldAfterReturnMs: number;
    /** Returns whether a target has stopped answering. */
    isSilent: (targetId: TargetId) => boolean;
    /** Tells whether requests are placed by their cost and the backlog of targets; absent if never. */
    isLoadManaged?: () => boolean;
    queueHosts: QueueHosts;
    log: Log;
    /** See `HostSettings.sharesScarceCapacity`; false if undefined. */
    sharesScarceCapacity?: boolean;
}

/** How a queue shares scarce capacity. */
export interface QueueSharing extends SharingDescription {
    group: Group;
}

interface ManagedQueue {
    group: Group;
    queue: AdmissionQueue;
    /** Whether the queue was created with load management; when that changes, it is replaced as soon as it is empty. */
    isLoadManaged: boolean;
    pendingReplies: Map<Ticket, (reply: EnterReply) => void>;
    /** Version of the view's targets that the queue has, or -1 for none. */
    viewVersion: number;
    /** True while a target of the group is leaving or silent: it closes or opens after a while even if the view does not change. */
    hasPassingState: boolean;
    /** Monotonic time of the last message for the queue. */
    lastUsedMs: number;
}

/** Keeps the queues that are assigned to this host. */
export interface AdmissionServer {
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
    /** Lists how the queues kept here share scarce capacity; empty where it is not shared. */
    sharing(): QueueSharing[];
    /** Lists the backlog of each target whose queue is kept here with load management. */
    backlogs(): TargetBacklog[];
}

/** Creates the admission server of this host. */
export function createAdmissionServer({
    view, clock, random, drainMs, coldAfterReturnMs, isSilent, isLoadManaged = () => false, queueHosts, log, sharesScarceCapacity = false,
}: AdmissionServerDependencies): AdmissionServer {
    const checks = createAdmissionChecks(log, clock);
    const queues = new Map<string, ManagedQueue>();
    /** Shared by all queues, so that the queue of one target knows a kind from those of others. */
    const estimates = new WorkEstimates();
    const requestQueued = new Signal();
    /** Requests that wait or hold a slot, by the connection that they came on. */
    const ticketsByPeer = new Map<PeerConnection, Map<Ticket, Group>>();

    const createQueue = (group: Group, nowMs: number): ManagedQueue => {
        const isManaged = isLoadManaged();
        return {
            group, isLoadManaged: isManaged,
            queue: new AdmissionQueue(random, group.kind === "target", sharesScarceCapacity, isManaged ? estimates : undefined),
            pendingReplies: new Map(), viewVersion: -1, hasPassingState: false, lastUsedMs: nowMs,
        };
    };

    const queueOf = (group: Group, nowMs: number): ManagedQueue => {
        const name = groupName(group);
        const managed = queues.get(name) ?? createQueue(group, nowMs);
        queues.set(name, managed);
        managed.lastUsedMs = nowMs;
        refresh(managed, nowMs);
        return managed;
    };

    /** Applies changes of the targets and of this host's share of their rate limits. */
    const refresh = (managed: ManagedQueue, nowMs: number) => {
        managed.queue.setRateLimitShare(queueHosts.rateLimitShare(managed.group), nowMs);
        if (managed.viewVersion !== view.targetsVersion || managed.hasPassingState) {
            const targets = targetsOf(managed.group);
            managed.viewVersion = view.targetsVersion;
            managed.hasPassingState = targets.some((target) =>
                isAboutToClose(target, nowMs) || isSilent(target.targetId) || mayHaveBecomeCold(target, nowMs));
            sendReplies(managed, managed.queue.setTargets(targets.map((target) => toQueueTarget(target, managed.group, nowMs)), nowMs));
        }
    };

    const isDrained = (targetId: TargetId) => view.ledger.drained().includes(targetId);

    /** A target that has closed for good, such as those of an evacuated data centre, needs no further checks until the view changes. */
    const isAboutToClose = (target: KnownTarget, nowMs: number): boolean =>
        target.leavingSinceMs !== undefined && mayReceive(target, drainMs, nowMs);

    const mayHaveBecomeCold = ({ targetId }: KnownTarget, nowMs: number): boolean =>
        nowMs - (view.targets.returnedAtMs(targetId) ?? Number.NEGATIVE_INFINITY) < coldAfterReturnMs;

    const targetsOf = (group: Group): KnownTarget[] => {
        if (group.kind === "target") {
            const target = view.targets.get(group.targetId);
            return target === undefined ? [] : [target];
        }
        const targets = view.targets.ofService(group.serviceId);
        return group.dataCentreId === undefined
            ? [...targets]
            : targets.filter(({ dataCentreId }) => dataCentreId === group.dataCentreId);
    };

    /** A leaving target that owns keys (group kind "target") stays open for up to `drainMs`, to serve its keys until they have moved. */
    const toQueueTarget = (target: KnownTarget, group: Group, nowMs: number): QueueTarget => {
        const warmingUp = target.warmingUp || mayHaveBecomeCold(target, nowMs);
        return {
            targetId: target.targetId,
            dataCentreId: target.dataCentreId,
            slots: target.slots,
            isOpen: !isSilent(target.targetId)
                && (group.kind === "target" ? mayReceive(target, drainMs, nowMs) : target.state === "ready" && !isDrained(target.targetId)),
            warmingUp,
            warmUpRequestsPerSecond: warmingUp ? view.config?.services.get(target.serviceId)?.warmUpRequestsPerSecond : undefined,
            bornWallMs: target.bornWallMs,
        };
    };

    const sendReplies = (managed: ManagedQueue, verdicts: readonly AdmissionVerdict[]) => {
        for (const verdict of verdicts) {
            const reply = managed.pendingReplies.get(verdict.ticket);
            managed.pendingReplies.delete(verdict.ticket);
            reply?.(verdict.kind === "granted"
                ? { granted: verdict.targetId, expectedMs: verdict.expectedMs, ...verdict.isRateLimited ? { rateLimited: true } : {} }
                : {
                    refused: verdict.reason, retryAfterMs: verdict.retryAfterMs,
                    ...verdict.isReserved === true ? { reserved: true } : {},
                });
        }
    };

    const enter = (params: EnterParams, sender: string): Promise<EnterReply> => {
        if (view.targetsUpTo < 0) {
            return Promise.resolve({ unready: true });
        }
        const nowMs = clock.now().monoMs;
        const managed = queueOf(params.group, nowMs);
        params.rateLimits?.forEach((limit) => {
            managed.queue.applyRateLimit(limit, nowMs);
        });
        return new Promise((resolve) => {
            managed.pendingReplies.set(params.ticket, resolve);
            sendReplies(managed, managed.queue.offer(toRequest(params, sender, nowMs), nowMs));
            if (managed.queue.waitingCount > 0) {
                requestQueued.fire();
            }
        });
    };

    const leave = ({ group, ticket, end, rateLimit, load }: LeaveParams) => {
        const nowMs = clock.now().monoMs;
        const managed = queueOf(group, nowMs);
        sendReplies(managed, managed.queue.finish(ticket, end, nowMs, rateLimit, load));
    };

    const withdraw = ({ group, ticket }: WithdrawParams) => {
        const nowMs = clock.now().monoMs;
        const managed = queueOf(group, nowMs);
        managed.pendingReplies.delete(ticket);
        sendReplies(managed, managed.queue.withdraw(ticket, nowMs));
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
            [admissionMethods.enter]: async (message: unknown, from: PeerConnection) => {
                const params = unwrapOrThrow(checks.enter(message, from.address));
                const tickets = ticketsOf(from);
                tickets.set(params.ticket, params.group);
                const reply = await enter(params, params.sender ?? from.address);
                if (!("granted" in reply)) {
                    tickets.delete(params.ticket);
                }
                return reply;
            },
            [admissionMethods.leave]: (message: unknown, from: PeerConnection) => {
                const params = checks.leave(message, from.address);
                if (params !== undefined) {
                    ticketsOf(from).delete(params.ticket);
                    leave(params);
                }
            },
            [admissionMethods.withdraw]: (message: unknown, from: PeerConnection) => {
                const params = checks.withdraw(message, from.address);
                if (params !== undefined) {
                    ticketsOf(from).delete(params.ticket);
                    withdraw(params);
                }
            },
        }),
        run: async (signal) => {
            while (!signal.aborted) {
                const needsFrequentTicks = [...queues.values()]
                    .some(({ queue, hasPassingState }) => hasPassingState || queue.waitingCount > 0);
                await (needsFrequentTicks ? clock.sleep(tickMs, signal) : waitFor(clock, idleTickMs, [requestQueued], signal));
                const nowMs = clock.now().monoMs;
                for (const [name, managed] of queues) {
                    refresh(managed, nowMs);
                    sendReplies(managed, managed.queue.tick(nowMs));
                    if ((nowMs - managed.lastUsedMs > idleQueueRetentionMs || managed.isLoadManaged !== isLoadManaged())
                        && managed.queue.runningCount + managed.queue.waitingCount === 0) {
                        queues.delete(name);
                    }
                }
            }
        },
        backlogs: () => [...queues.values()].flatMap(({ queue }) => queue.describeBacklogs(clock.now().monoMs)),
        pressures: () => [...queues.values()].flatMap(({ queue }) => queue.describeTargets()
            .filter(({ observationCount, requestsPerSecond }) => observationCount >= minObservationCount || requestsPerSecond !== undefined)
            .map(({ targetId, running, slowness, requestsPerSecond }) => ({
                targetId, running, slowness: roundToHundredths(slowness), waiting: queue.waitingCount,
                ...requestsPerSecond === undefined ? {} : { requestsPerSecond },
            }))),
        sharing: () => [...queues.values()].flatMap(({ group, queue }) => {
            const description = queue.describeSharing(clock.now().monoMs);
            return description === undefined ? [] : [{ group, ...description }];
        }),
    };
}

/** Returns a checked message. A failure is thrown, so that the calling host gets it as the answer to its call. */
function unwrapOrThrow<T>(checked: Result<T, Failure>): T {
    if (checked.isErr()) {
        throw new Error(describeFailure(checked.error));
    }
    return checked.value;
}

function roundToHundredths(ratio: number): number {
    return Math.round(ratio * 100) / 100;
}

function toRequest(params: EnterParams, sender: string, nowMs: number): AdmissionRequest {
    const { ticket, priority, workMs, near, maxWaitMs, kind } = params;
    return {
        ticket, sender, priority, workMs, near,
        arrivedMs: nowMs,
        softDeadlineMs: nowMs + params.targetLeftMs,
        deadlineMs: nowMs + params.deadlineLeftMs,
        ...maxWaitMs === undefined ? {} : { waitUntilMs: nowMs + maxWaitMs },
        avoid: new Set(params.avoid),
        ...params.suspect === undefined ? {} : { suspect: params.suspect },
        ...params.caller === undefined ? {} : { caller: params.caller },
        ...kind === undefined ? {} : { kind },
    };
}

