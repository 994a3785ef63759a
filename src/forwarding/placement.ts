/** Chooses the target for a request and acquires a slot there from the admission queue. */
import type { AdmissionClient, SlotDecision } from "../admission/admissionClient.js";
import { hashCaller } from "../admission/callerHash.js";
import { createDataCentreQueues } from "../admission/dataCentreQueues.js";
import type { WorkEnd } from "../admission/workEnd.js";
import type { Standing } from "../crashes/crashEvidence.js";
import type { Refusal, RefusalReason } from "../entry/clientCall.js";
import type { DataCentreId, Key, ServiceId, TargetId } from "../model/names.js";
import type { StatedRateLimit } from "../model/rateLimit.js";
import { linkAborts, waitFor } from "../model/signal.js";
import type { TargetEntry } from "../model/target.js";
import { mayReceive } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { ClusterView } from "../store/clusterView.js";
import type { RequestContext } from "./requestContext.js";
import { decideOwnerWait, maxOwnerWaitMs } from "./ownerWait.js";
import type { StatedLoads } from "./statedLoads.js";
import type { StatedRateLimits } from "./statedRateLimits.js";
import type { TargetPauses } from "./targetPauses.js";
import type { WorkTimes } from "./workTimes.js";
import { typicalWorkMs } from "./workTimes.js";

/** Retry delay sent to clients while this host stops; their next attempt reaches another host. */
export const retryAfterStoppingMs = 50;

/** Upper limit of the retry delay sent to clients while a target has asked this host to back off. */
const retryAfterPausedMs = 300;

/** Number of slot requests made for one placement while the queue grants slots at targets that this host knows to be unavailable. */
const maxSlotRequests = 3;

/** Retry delay sent to clients if no target is available, or if none ran the request in the permitted attempts. */
export const retryAfterUnreachableMs = 250;

/** Bodies of at least this size are classed by size; each class is four times as large as the one before. */
const minClassedBytes = 16_384;
const maxSizeClass = 4;

/** A slot for the request at a target. */
export interface TargetSlot {
    kind: "placed";
    target: TargetEntry;
    /** Expected duration of the request at this target. */
    expectedMs: number;
    /** True if the queue knew of a rate limit of the target when it granted the slot. */
    isRateLimited: boolean;
    /** Set if the request runs to find out whether it still crashes its target, which it may do once. */
    isTrial?: true;
    /** Returns the slot to the queue, once; `end` says how the request ended. */
    release: (end: WorkEnd) => void;
}

/** Outcome of a placement: a slot, a refusal to send to the client, or nothing to do because the client has left. */
export type Placement =
    | TargetSlot
    | { kind: "refused"; refusal: Refusal }
    | { kind: "client-left" };

/** Dependencies of a placer. */
export interface PlacerDependencies {
    view: ClusterView;
    owners: OwnerLookup;
    admission: AdmissionClient;
    workTimes: WorkTimes;
    clock: Clock;
    dataCentreId: DataCentreId;
    /** Time for which a target still receives new requests after this host learned that the target is shutting down. */
    drainMs: number;
    /** Targets that have asked this host to back off, and for how long. */
    pauses: TargetPauses;
    /** Rate limits that targets stated to this host. */
    rateLimits: StatedRateLimits;
    /** Load that targets reported to this host; absent if no reports are used. */
    statedLoads?: StatedLoads;
    /** Tells whether requests are placed by their cost and the backlog of targets; absent if never. */
    isLoadManaged?: () => boolean;
    /** Returns how a request is to be treated by what is known of crashes. */
    standingOf: (context: RequestContext, nowMs: number) => Standing;
    /** Adds random jitter to a delay in milliseconds, so that clients do not retry at the same time. */
    addJitter: (delayMs: number) => number;
    /** Aborted once this host refuses requests that have no slot. */
    waitingRefused: AbortSignal;
    /** Tells whether the targets of a service without keys have a queue in each data centre, in place of one for the service. */
    usesDataCentreQueues: () => boolean;
    /** Returns a random number in [0, 1). */
    random: () => number;
    /** Tells the queue which caller a request is from; false if undefined. */
    sharesScarceCapacity?: boolean | undefined;
}

/** Finds slots for requests. */
export interface Placer {
    /**
     * Waits for a slot at the owner of the request's key or, for a service without keys, at any of its targets.
     * @param context the request
     * @param signal ends the wait when aborted; the placement is then `client-left`, or a refusal if this host is stopping
     */
    place(context: RequestContext, signal: AbortSignal): Promise<Placement>;
    /**
     * Returns whether a request may be sent again in its slot: its target owns the request's key at present, and has no rate limit, under
     * which the queue has to grant every request.
     */
    mayReuse(context: RequestContext, slot: TargetSlot): boolean;
}

const reasonByDecision: Record<"overloaded" | "rate-limited" | "no-target" | "no-host", RefusalReason> = {
    "overloaded": "overloaded",
    "rate-limited": "rate-limited",
    "no-target": "no-target",
    "no-host": "no-target",
};

/** Creates the placer. */
export function createPlacer(
    dependencies: PlacerDependencies,
): Placer {
    const { view, owners, admission, workTimes, clock, dataCentreId, drainMs } = dependencies;
    const { pauses, rateLimits, statedLoads, standingOf, addJitter, waitingRefused } = dependencies;
    const nowMs = () => clock.now().monoMs;
    const dataCentreQueues = createDataCentreQueues({
        admission, view, clock, random: dependencies.random, isOpen: ({ state, targetId }) => state === "ready" && !view.ledger.drained().includes(targetId),
    });

    const place = async (context: RequestContext, signal: AbortSignal): Promise<Placement> => {
        const { call, service } = context;
        return service.sharded && call.key !== undefined ? placeAtOwner(context, call.key, signal) : placeAnywhere(context, signal);
    };

    const placeAnywhere = async (context: RequestContext, signal: AbortSignal): Promise<Placement> => {
        const { serviceId } = context.service;
        const avoid = new Set(context.triedTargetIds);
        for (let requestCount = 0; requestCount < maxSlotRequests; requestCount++) {
            const waitAbort = linkAborts(signal, waitingRefused);
            const request = { ...slotRequestOf(context), ...rateLimitsOf(view.targets.ofService(serviceId)), avoid: [...avoid] };
            const decision = await (dependencies.usesDataCentreQueues()
                ? dataCentreQueues.enter(serviceId, request, waitAbort.signal)
                : admission.enter({ ...request, group: { kind: "service", serviceId } }, waitAbort.signal));
            waitAbort.release();
            if (decision.kind === "refused" || !isUnavailable(decision.targetId)) {
                return toPlacement(decision);
            }
            decision.leave({ kind: "dropped" });
            avoid.add(decision.targetId);
        }
        return noTargetRefusal();
    };

    /**
     * Returns whether this host must not send new requests to a target. The host that keeps the queue may not know yet that the
     * target is shutting down, or that it asked this host to back off.
     */
    const isUnavailable = (targetId: TargetId): boolean => {
        const target = view.targets.get(targetId);
        return target !== undefined && (!mayReceive(target, drainMs, nowMs()) || pauses.remainingMs(target, nowMs()) > 0);
    };

    /**
     * Refuses a request because its target asked this host to back off. The retry delay is limited, since other hosts may still send to
     * the target and the client's next attempt reaches another host.
     */
    const pausedRefusal = (targetId: TargetId | undefined, remainingMs: number): Placement => ({
        kind: "refused",
        refusal: { reason: "target-paused", retryAfterMs: addJitter(Math.min(remainingMs, retryAfterPausedMs)), targetId },
    });

    const placeAtOwner = async (context: RequestContext, key: Key, signal: AbortSignal): Promise<Placement> => {
        const { service } = context;
        for (;;) {
            const owner = await awaitOwner(context, key, signal);
            if (typeof owner !== "string") {
                return owner;
            }
            const entry = view.targets.get(owner);
            const pausedMs = entry === undefined ? 0 : pauses.remainingMs(entry, nowMs());
            if (pausedMs > 0) {
                return pausedRefusal(owner, pausedMs);
            }
            let hasOwnerChanged = false;
            const waitAbort = linkAborts(signal, waitingRefused);
            const stopWatching = watchOwner(service.serviceId, key, owner, () => {
                hasOwnerChanged = true;
                waitAbort.abort();
            });
            const decision = await admission.enter({
                ...slotRequestOf(context), ...rateLimitsOf(entry === undefined ? [] : [entry]),
                group: { kind: "target", targetId: owner }, avoid: [],
            }, waitAbort.signal);
            waitAbort.release();
            stopWatching();
            const isCancelled = signal.aborted || waitingRefused.aborted;
            if (isCancelled || (!hasOwnerChanged && !isUnavailable(owner))) {
                return toPlacement(decision, owner);
            }
            if (decision.kind === "granted") {
                decision.leave({ kind: "dropped" });
            }
        }
    };

    /** Calls `onMoved` when a key stops being owned by `owner`. Returns a function that ends the watch. */
    const watchOwner = (serviceId: ServiceId, key: Key, owner: TargetId, onMoved: () => void): (() => void) =>
        owners.changed.listen(() => {
            const status = owners.find(serviceId, key, nowMs());
            if (status.kind !== "owned" || status.targetId !== owner) {
                onMoved();
            }
        });

    /** Returns the owner of a key. While the key has none, waits for one as long as `decideOwnerWait` allows. */
    const awaitOwner = async (context: RequestContext, key: Key, signal: AbortSignal): Promise<TargetId | Placement> => {
        const startedMs = nowMs();
        let maxWaitMs: number | undefined;
        for (;;) {
            const now = nowMs();
            const status = owners.find(context.service.serviceId, key, now);
            if (status.kind === "owned") {
                return status.targetId;
            }
            maxWaitMs ??= maxOwnerWaitMs(status);
            const remainingMs = context.deadlineMs - context.expectedMs - now;
            const decision = decideOwnerWait({ status, waitedMs: now - startedMs, maxWaitMs, remainingMs });
            if (decision.kind === "refuse") {
                const retryAfterMs = addJitter(decision.retryAfterMs);
                return {
                    kind: "refused",
                    refusal: status.kind === "silent"
                        ? { reason: "owner-silent", retryAfterMs, targetId: status.targetId }
                        : { reason: "owner-unknown", retryAfterMs },
                };
            }
            await waitFor(clock, decision.recheckAfterMs, [owners.changed], signal);
            if (signal.aborted) {
                return { kind: "client-left" };
            }
            if (waitingRefused.aborted) {
                return stoppingRefusal();
            }
        }
    };

    const stoppingRefusal = (): Placement =>
        ({ kind: "refused", refusal: { reason: "stopping", retryAfterMs: addJitter(retryAfterStoppingMs) } });

    const noTargetRefusal = (): Placement =>
        ({ kind: "refused", refusal: { reason: "no-target", retryAfterMs: addJitter(retryAfterUnreachableMs) } });

    const slotRequestOf = (context: RequestContext) => {
        const { call, route, softDeadlineMs, deadlineMs } = context;
        const kind = dependencies.isLoadManaged?.() === true ? kindOf(context) : undefined;
        const standing = standingOf(context, nowMs());
        return {
            priority: route.priority,
            workMs: workTimes.meanMs(route.routeId, typicalWorkMs(route)),
            near: dataCentreId,
            softDeadlineMs, deadlineMs,
            ...dependencies.sharesScarceCapacity === true && call.callerAddress !== undefined
                ? { caller: hashCaller(call.callerAddress) }
                : {},
            ...kind === undefined ? {} : { kind },
            ...standing.kind === "suspected" || standing.kind === "trial-due" ? { suspect: standing.fingerprint } : {},
        };
    };

    /** Tells the queue's host the limits that this host knows, since another host may have kept the queue until now. */
    const rateLimitsOf = (targets: readonly TargetEntry[]): { rateLimits?: readonly StatedRateLimit[] } => {
        const known = rateLimits.isEmpty ? [] : targets.flatMap((target) => rateLimits.find(target, nowMs()) ?? []);
        return known.length === 0 ? {} : { rateLimits: known };
    };

    const toPlacement = (decision: SlotDecision, targetId?: TargetId): Placement => {
        if (decision.kind === "granted") {
            const target = view.targets.get(decision.targetId);
            if (target === undefined) {
                decision.leave({ kind: "dropped" });
                return noTargetRefusal();
            }
            let isReleased = false;
            return {
                kind: "placed", target, expectedMs: decision.expectedMs, isRateLimited: decision.isRateLimited,
                release: (end) => {
                    if (!isReleased) {
                        isReleased = true;
                        decision.leave(end, rateLimits.find(target, nowMs()), statedLoads?.find(target, nowMs()));
                    }
                },
            };
        }
        if (decision.reason === "withdrawn") {
            return waitingRefused.aborted ? stoppingRefusal() : { kind: "client-left" };
        }
        if (decision.reason === "paused") {
            return pausedRefusal(targetId, decision.retryAfterMs);
        }
        const reason = decision.isReserved === true ? "capacity-reserved" : reasonByDecision[decision.reason];
        return { kind: "refused", refusal: { reason, retryAfterMs: decision.retryAfterMs, targetId } };
    };

    const mayReuse = ({ call, service }: RequestContext, { target, isRateLimited }: TargetSlot): boolean => {
        const status = service.sharded && call.key !== undefined ? owners.find(service.serviceId, call.key, nowMs()) : undefined;
        const hasRateLimit = isRateLimited || rateLimits.find(target, nowMs()) !== undefined;
        return status?.kind === "owned" && status.targetId === target.targetId && !hasRateLimit;
    };

    return { place, mayReuse };
}

/** Returns the kind of a request: its route and, for a body of some size, the size class. */
function kindOf({ route, call, body }: RequestContext): string {
    const bytes = call.body.declaredBytes ?? body?.byteLength ?? 0;
    return bytes < minClassedBytes
        ? route.routeId
        : `${route.routeId} ${String(Math.min(maxSizeClass, Math.floor(Math.log2(bytes / minClassedBytes) / 2)))}`;
}
