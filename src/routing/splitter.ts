/**
 * Spreads a route's requests over its backends in proportion to their weights, evenly in time.
 *
 * Load pattern: a route with few requests on each of many hosts. If all hosts began with the heaviest backend, it would get far
 * more than its share, so each begins at a place of its own.
 */
import type { RouteId, ServiceId } from "../model/names.js";
import type { Backend, Route } from "../model/routing.js";

interface Part extends Backend {
    /** Grows by the weight with every request of the route; the largest is chosen and pays for all. */
    credit: number;
}

/** Turns after which any usual split has come round. */
const cycleSteps = 1_000;

/** Chooses the service of each request. */
export class Splitter {
    private readonly partsByRoute = new Map<RouteId, { of: readonly Backend[]; parts: Part[] }>();

    /** @param random uniform in [0, 1); where in the cycle of its weights this host begins */
    constructor(private readonly random: () => number) {}

    /**
     * Chooses the service of a request.
     * @param route its route
     * @returns the service, or undefined when no backend has any weight
     */
    choose(route: Route): ServiceId | undefined {
        if (route.backends.length === 1) {
            return route.backends[0]?.serviceId;
        }
        return takeTurn(this.partsOf(route))?.serviceId;
    }

    private partsOf(route: Route): Part[] {
        const known = this.partsByRoute.get(route.routeId);
        if (known !== undefined && isSameSplit(known.of, route.backends)) {
            return known.parts;
        }
        const parts = route.backends.map((backend) => ({ ...backend, credit: 0 }));
        this.partsByRoute.set(route.routeId, { of: route.backends, parts });
        const skipped = Math.floor(this.random() * cycleSteps);
        for (let step = 0; step < skipped; step++) {
            takeTurn(parts);
        }
        return parts;
    }
}

/** Gives every part its credit and chooses the one with the most. */
function takeTurn(parts: readonly Part[]): Part | undefined {
    const totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
    let chosen: Part | undefined;
    for (const part of parts) {
        part.credit += part.weight;
        if (part.weight > 0 && (chosen === undefined || part.credit > chosen.credit)) {
            chosen = part;
        }
    }
    if (chosen !== undefined) {
        chosen.credit -= totalWeight;
    }
    return chosen;
}

function isSameSplit(left: readonly Backend[], right: readonly Backend[]): boolean {
    return left.length === right.length
        && left.every(({ serviceId, weight }, index) => serviceId === right[index]?.serviceId && weight === right[index].weight);
}
