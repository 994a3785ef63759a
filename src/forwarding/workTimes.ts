/** Average duration of each kind of work over all targets. */
import type { Route } from "../model/routing.js";

/** Duration of a route's work before any observation, as a share of the route's target latency. */
const typicalWorkShare = 0.35;

/** Minimum weight of a new observation; the first ones have more, so that they form a plain average. */
const minWeight = 0.02;

/** Observations are limited to this multiple of the mean, so that a single stuck target does not shift it. */
const maxRatio = 3;

interface Mean {
    valueMs: number;
    observations: number;
}

/** Average durations by kind of work. */
export class WorkTimes {
    private readonly means = new Map<string, Mean>();

    /**
     * Returns the average duration of a kind of work in milliseconds.
     * @param kind the kind of work
     * @param typicalMs returned if nothing has been observed yet
     */
    meanMs(kind: string, typicalMs: number): number {
        return this.means.get(kind)?.valueMs ?? typicalMs;
    }

    /**
     * Records an observed duration.
     * @param kind the kind of work
     * @param tookMs the observed duration
     * @param typicalMs initial average, used if nothing has been observed yet
     */
    observe(kind: string, tookMs: number, typicalMs: number): void {
        const mean = this.means.get(kind) ?? { valueMs: typicalMs, observations: 1 };
        mean.observations += 1;
        const weight = Math.max(minWeight, 1 / mean.observations);
        mean.valueMs += weight * (Math.min(tookMs, mean.valueMs * maxRatio) - mean.valueMs);
        this.means.set(kind, mean);
    }
}

/** Returns the duration assumed for a route's work before any observation, in milliseconds. */
export function typicalWorkMs(route: Route): number {
    return route.targetLatencyMs * typicalWorkShare;
}
