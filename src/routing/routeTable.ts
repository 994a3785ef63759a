/** Finds the route of a request. */
import type { Route, RoutingConfig } from "../model/routing.js";

/** Host name of routes that go by the path alone. */
export const anyHost = "*";

/** Routes in force, by host name. */
export interface RouteTable {
    /**
     * Finds the route with the longest prefix of a path.
     * @param hostName as the client sent it, with or without a port
     * @param path with or without a query
     * @param method of the request
     */
    find(hostName: string, path: string, method: string): Route | undefined;
}

/** Routes of one prefix; at most one for each method. */
type RoutesByPrefix = Map<string, Route[]>;

/**
 * Creates the table of a configuration.
 * @param config the configuration
 */
export function createRouteTable(config: RoutingConfig): RouteTable {
    const byHost = new Map<string, RoutesByPrefix>();
    for (const route of config.routes) {
        const byPrefix: RoutesByPrefix = byHost.get(route.hostName) ?? new Map<string, Route[]>();
        byPrefix.set(route.pathPrefix, [...byPrefix.get(route.pathPrefix) ?? [], route]);
        byHost.set(route.hostName, byPrefix);
    }
    return {
        find: (hostName, path, method) => {
            const plainPath = path.split("?", 1)[0] as string;
            const named = byHost.get(hostName.toLowerCase().replace(/:[0-9]*$/, ""));
            return longestPrefix(named, plainPath, method) ?? longestPrefix(byHost.get(anyHost), plainPath, method);
        },
    };
}

/** Prefixes end with a slash, so only those that end at a slash of the path can match. */
function longestPrefix(byPrefix: RoutesByPrefix | undefined, path: string, method: string): Route | undefined {
    for (let end = path.lastIndexOf("/"); byPrefix !== undefined && end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const routes = byPrefix.get(path.slice(0, end + 1));
        const route = routes?.find((one) => one.method === undefined || one.method === method);
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}
