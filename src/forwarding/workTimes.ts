/** How long work of each kind takes on average, over all targets. */
import type { Route } from "../model/routing.js";

/** Share of a route's target latency that its work usually takes. */
const typicalWorkShare = 0.35;

/** Weight of the newest observation once there are enough of them. */
const leastWeight = 0.02;

/** Observations beyond this many times the mean count as so many, so that one stuck target does not shift it. */
const maxRatio = 3;

interface Mean {
    valueMs: number;
    observations: number;
}

/** Averages by kind of work. */
export class WorkTimes {
    private readonly means = new Map<string, Mean>();

    /**
     * Gives the average of a kind.
     * @param kind the kind
     * @param typicalMs what counts before anything was observed
     */
    meanMs(kind: string, typicalMs: number): number {
        return this.means.get(kind)?.valueMs ?? typicalMs;
    }

    /**
     * Takes in an observation.
     * @param kind the kind
     * @param tookMs how long the work took
     * @param typicalMs what counted before anything was observed
     */
    learn(kind: string, tookMs: number, typicalMs: number): void {
        const mean = this.means.get(kind) ?? { valueMs: typicalMs, observations: 1 };
        mean.observations += 1;
        const weight = Math.max(leastWeight, 1 / mean.observations);
        mean.valueMs += weight * (Math.min(tookMs, mean.valueMs * maxRatio) - mean.valueMs);
        this.means.set(kind, mean);
    }
}

/** What the work of a route is taken to need before anything was observed, in milliseconds. */
export function typicalWorkMs(route: Route): number {
    return route.targetLatencyMs * typicalWorkShare;
}
