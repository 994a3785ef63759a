/**
 * Requests slots of a service without keys whose targets have a queue in each data centre.
 *
 * Load pattern: a service with hundreds of requests a second in several data centres, some of them fuller than others. One queue for the
 * whole service is more than a small host can keep, and most requests would cross between data centres to ask it. With a queue for each
 * data centre, a request first asks that of its own data centre, and another one only if it would wait there for too long.
 */
import type { DataCentreId, ServiceId } from "../model/names.js";
import type { KnownTarget } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AdmissionClient, SlotDecision, SlotRequest } from "./admissionClient.js";
import { QueueWaits } from "./queueWaits.js";

/**
 * A request waits in its own data centre until its slack (time left until its soft deadline, minus its work time) is down to this share of
 * its time until the soft deadline.
 */
const minSlackShare = 0.35;

type RefusedDecision = Extract<SlotDecision, { kind: "refused" }>;

/** A request for a slot at any target of a service. */
export type ServiceSlotRequest = Omit<SlotRequest, "group" | "maxWaitMs">;

/** Dependencies of the queues. */
export interface DataCentreQueuesDependencies {
    admission: AdmissionClient;
    view: ClusterView;
    clock: Clock;
    /** Tells whether a target may get new requests. */
    isOpen: (target: KnownTarget) => boolean;
    /** Returns a random number in [0, 1). */
    random: () => number;
}

/** Requests slots from the queues of a service's data centres. */
export interface DataCentreQueues {
    /**
     * Waits for a slot at any target of a service.
     * @param serviceId the service
     * @param request the request
     * @param signal withdraws the request when it aborts
     */
    enter(serviceId: ServiceId, request: ServiceSlotRequest, signal: AbortSignal): Promise<SlotDecision>;
}

/** Creates the client of the queues. */
export function createDataCentreQueues({ admission, view, clock, isOpen, random }: DataCentreQueuesDependencies): DataCentreQueues {
    const waits = new QueueWaits();
    const nowMs = () => clock.now().monoMs;

    const enterAt = async (
        serviceId: ServiceId, dataCentreId: DataCentreId, request: ServiceSlotRequest, maxWaitMs: number | undefined, signal: AbortSignal,
    ): Promise<SlotDecision> => {
        const enteredMs = nowMs();
        const decision = await admission.enter({
            ...request, group: { kind: "service", serviceId, dataCentreId }, ...maxWaitMs === undefined ? {} : { maxWaitMs },
        }, signal);
        if (decision.kind === "granted") {
            waits.observe(serviceId, dataCentreId, nowMs() - enteredMs, nowMs());
        }
        else if (decision.reason !== "withdrawn") {
            waits.observe(serviceId, dataCentreId, Math.max(decision.retryAfterMs, nowMs() - enteredMs), nowMs());
        }
        return decision;
    };

    const openDataCentres = (serviceId: ServiceId): DataCentreId[] =>
        [...new Set(view.targets.ofService(serviceId).filter(isOpen).map(({ dataCentreId }) => dataCentreId))];

    /**
     * Returns the queue to ask after one has refused a request: that with the shortest wait. The first queue is asked again if it was full
     * only for the limited wait; for other reasons, such as a back-off or no host, it would refuse the request again.
     */
    const nextDataCentre = (
        serviceId: ServiceId, candidates: readonly DataCentreId[], first: DataCentreId, { reason }: RefusedDecision,
    ): DataCentreId => waits.shortest(
        serviceId, isForLackOfRoom(reason) ? candidates : candidates.filter((candidate) => candidate !== first), nowMs(), random());

    /** Tells whether a queue that refused a request because its wait was limited is expected to serve it without the limit. */
    const canStillServe = (serviceId: ServiceId, dataCentreId: DataCentreId, { reason }: RefusedDecision, request: ServiceSlotRequest) =>
        isForLackOfRoom(reason) && nowMs() + waits.expectedMs(serviceId, dataCentreId, nowMs()) + request.workMs < request.deadlineMs;

    return {
        enter: async (serviceId, request, signal) => {
            const candidates = openDataCentres(serviceId);
            if (candidates.length <= 1) {
                return enterAt(serviceId, candidates[0] ?? request.near, request, undefined, signal);
            }
            const first = candidates.includes(request.near) ? request.near : waits.shortest(serviceId, candidates, nowMs(), random());
            const maxWaitMs = maxLocalWaitMs(request, nowMs());
            const decision = await enterAt(serviceId, first, request, maxWaitMs, signal);
            if (decision.kind === "granted" || decision.reason === "withdrawn") {
                return decision;
            }
            const next = nextDataCentre(serviceId, candidates, first, decision);
            const second = await enterAt(serviceId, next, request, undefined, signal);
            if (second.kind === "granted" || second.reason === "withdrawn" || next === first) {
                return second;
            }
            return canStillServe(serviceId, first, decision, request)
                ? enterAt(serviceId, first, request, undefined, signal)
                : sooner(decision, second);
        },
    };
}

function isForLackOfRoom(reason: RefusedDecision["reason"]): boolean {
    return reason === "overloaded" || reason === "rate-limited";
}

/** Returns the refusal with the earlier retry time: the next attempt of the client may use either queue. */
function sooner(one: RefusedDecision, other: RefusedDecision): RefusedDecision {
    return one.retryAfterMs < other.retryAfterMs ? one : other;
}

/** Returns how long a request may wait in its own data centre before it is sent to another one. */
function maxLocalWaitMs({ softDeadlineMs, workMs }: ServiceSlotRequest, nowMs: number): number {
    const leftMs = softDeadlineMs - nowMs;
    return Math.max(0, leftMs * (1 - minSlackShare) - workMs);
}
