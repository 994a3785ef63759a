/** Sums the expected work of requests by key, for the periodic reports to the coordinator. */
import type { Key, ServiceId } from "../model/names.js";

/** Work by key of one service. */
export interface KeyLoadReport {
    serviceId: ServiceId;
    /** Alternating keys and whole milliseconds of work. */
    pairs: readonly number[];
}

/** Sums work by service and key. */
export class LoadMeter {
    private workByService = new Map<ServiceId, Map<Key, number>>();

    /**
     * Adds the work of a request.
     * @param serviceId service of the request
     * @param key key of the request
     * @param workMs time that a target is expected to work on it
     */
    count(serviceId: ServiceId, key: Key, workMs: number): void {
        const work = this.workByService.get(serviceId) ?? new Map<Key, number>();
        work.set(key, (work.get(key) ?? 0) + workMs);
        this.workByService.set(serviceId, work);
    }

    /** Returns the work since the last call, and starts from zero. */
    takeReport(): KeyLoadReport[] {
        const loads = [...this.workByService].map(([serviceId, work]) => ({
            serviceId,
            pairs: [...work].flatMap(([key, workMs]) => [key, Math.round(workMs)]),
        }));
        this.workByService = new Map();
        return loads;
    }
}
