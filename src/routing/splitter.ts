/**
 * Distributes a route's requests over its backends in proportion to their weights, by smooth weighted round-robin.
 *
 * Load pattern: a route with few requests on each of many hosts. If all hosts started with the backend of the largest weight, it
 * would get far more than its share, so each host starts at a random position of the cycle.
 */
import type { RouteId, ServiceId } from "../model/names.js";
import type { Backend, Route } from "../model/routing.js";

interface CreditedBackend extends Backend {
    /** Grows by `weight` at each request. The backend with the largest credit is chosen, and loses the sum of all weights as credit. */
    credit: number;
}

/** Upper bound of the random start position; the usual weights repeat within this many requests. */
const maxStartPosition = 1_000;

/** Chooses the backend service for each request. */
export class Splitter {
    private readonly splitsByRoute = new Map<RouteId, { configured: readonly Backend[]; credited: CreditedBackend[] }>();

    /** @param random source of numbers uniform in [0, 1), for the start position in the cycle */
    constructor(private readonly random: () => number) {}

    /**
     * Chooses the service for a request.
     * @param route the request's route
     * @param canServe returns whether a service can serve this request at all; if none can, the choice is made among all
     * @returns the service, or undefined if there are several backends and the weight of each is 0
     */
    choose(route: Route, canServe: (serviceId: ServiceId) => boolean = () => true): ServiceId | undefined {
        if (route.backends.length === 1) {
            return route.backends[0]?.serviceId;
        }
        const backends = this.backendsOf(route);
        const chosen = selectNext(backends.filter(({ serviceId }) => canServe(serviceId))) ?? selectNext(backends);
        return chosen?.serviceId;
    }

    private backendsOf(route: Route): CreditedBackend[] {
        const known = this.splitsByRoute.get(route.routeId);
        if (known !== undefined && isSameSplit(known.configured, route.backends)) {
            return known.credited;
        }
        const credited = route.backends.map((backend) => ({ ...backend, credit: 0 }));
        this.splitsByRoute.set(route.routeId, { configured: route.backends, credited });
        const startPosition = Math.floor(this.random() * maxStartPosition);
        for (let step = 0; step < startPosition; step++) {
            selectNext(credited);
        }
        return credited;
    }
}

/** Does one step of the round-robin and returns the chosen backend, or undefined if the weight of each is 0. */
function selectNext(backends: readonly CreditedBackend[]): CreditedBackend | undefined {
    const totalWeight = backends.reduce((sum, backend) => sum + backend.weight, 0);
    let chosen: CreditedBackend | undefined;
    for (const backend of backends) {
        backend.credit += backend.weight;
        if (backend.weight > 0 && (chosen === undefined || backend.credit > chosen.credit)) {
            chosen = backend;
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
