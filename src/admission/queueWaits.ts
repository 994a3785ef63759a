/** What a host has seen of the waiting times in the queues of a service's data centres. */
import type { DataCentreId, ServiceId } from "../model/names.js";

/** A wait that was seen counts less as time passes: it falls to 37 % (1/e) in this time, so that a queue is tried again. */
const decayTimeConstantMs = 1_000;

/** Waits that differ by less than this count as equal. */
const toleranceMs = 20;

interface ObservedWait {
    waitMs: number;
    atMs: number;
}

/** Waiting times by service and data centre. */
export class QueueWaits {
    private readonly waits = new Map<ServiceId, Map<DataCentreId, ObservedWait>>();

    /**
     * Records how long a request waited in a queue, or would have waited there.
     * @param serviceId the service
     * @param dataCentreId data centre of the queue
     * @param waitMs the wait
     * @param nowMs current monotonic time
     */
    observe(serviceId: ServiceId, dataCentreId: DataCentreId, waitMs: number, nowMs: number): void {
        const ofService = this.waits.get(serviceId) ?? new Map<DataCentreId, ObservedWait>();
        this.waits.set(serviceId, ofService);
        ofService.set(dataCentreId, { waitMs, atMs: nowMs });
    }

    /** Returns the wait that is expected in a queue; 0 if none has been seen. */
    expectedMs(serviceId: ServiceId, dataCentreId: DataCentreId, nowMs: number): number {
        const observed = this.waits.get(serviceId)?.get(dataCentreId);
        return observed === undefined ? 0 : observed.waitMs * Math.exp(-Math.max(0, nowMs - observed.atMs) / decayTimeConstantMs);
    }

    /**
     * Returns the data centre in which a request is expected to wait least; among those with about the same wait, one at random, so that
     * the hosts do not all turn to the same one.
     * @param serviceId the service
     * @param candidates at least one data centre
     * @param nowMs current monotonic time
     * @param random a number in [0, 1)
     */
    shortest(serviceId: ServiceId, candidates: readonly DataCentreId[], nowMs: number, random: number): DataCentreId {
        const expected = candidates.map((dataCentreId) => ({ dataCentreId, waitMs: this.expectedMs(serviceId, dataCentreId, nowMs) }));
        const leastMs = Math.min(...expected.map(({ waitMs }) => waitMs));
        const best = expected.filter(({ waitMs }) => waitMs - leastMs < toleranceMs);
        return (best[Math.floor(random * best.length)] as { dataCentreId: DataCentreId }).dataCentreId;
    }
}
