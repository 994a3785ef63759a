/** Finds the route of a request. */
import type { Route, RoutingConfig } from "../model/routing.js";

/** Routes in force, by host name. */
export interface RouteTable {
    /**
     * Finds the route with the longest prefix of a path.
     * @param hostName as the client sent it, with or without a port
     * @param path with or without a query
     */
    find(hostName: string, path: string): Route | undefined;
}

/**
 * Creates the table of a configuration.
 * @param config the configuration
 */
export function createRouteTable(config: RoutingConfig): RouteTable {
    const byHost = new Map<string, Map<string, Route>>();
    for (const route of config.routes) {
        const byPrefix = byHost.get(route.hostName) ?? new Map<string, Route>();
        byPrefix.set(route.pathPrefix, route);
        byHost.set(route.hostName, byPrefix);
    }
    return {
        find: (hostName, path) => {
            const byPrefix = byHost.get(hostName.toLowerCase().replace(/:[0-9]*$/, ""));
            return byPrefix === undefined ? undefined : longestPrefix(byPrefix, path.split("?", 1)[0] as string);
        },
    };
}

/** Prefixes end with a slash, so only those that end at a slash of the path can match. */
function longestPrefix(byPrefix: ReadonlyMap<string, Route>, path: string): Route | undefined {
    for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const route = byPrefix.get(path.slice(0, end + 1));
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}
