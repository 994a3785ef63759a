/** Counts the work that requests for each key bring, between two reports to the coordinator. */
import type { Key, ServiceId } from "../model/names.js";

/** Work by key of one service: keys and milliseconds by turns. */
export interface KeyLoads {
    serviceId: ServiceId;
    /** Keys and the work that they brought in whole milliseconds, by turns. */
    pairs: readonly number[];
}

/** Counts work by key. */
export class LoadMeter {
    private workByService = new Map<ServiceId, Map<Key, number>>();

    /**
     * Counts a request.
     * @param serviceId its service
     * @param key its key
     * @param workMs time that its work is expected to take
     */
    count(serviceId: ServiceId, key: Key, workMs: number): void {
        const work = this.workByService.get(serviceId) ?? new Map<Key, number>();
        work.set(key, (work.get(key) ?? 0) + workMs);
        this.workByService.set(serviceId, work);
    }

    /** Gives what was counted since the last call. */
    take(): KeyLoads[] {
        const loads = [...this.workByService].map(([serviceId, work]) => ({
            serviceId,
            pairs: [...work].flatMap(([key, workMs]) => [key, Math.round(workMs)]),
        }));
        this.workByService = new Map();
        return loads;
    }
}
