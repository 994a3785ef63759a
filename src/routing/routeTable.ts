/** Finds the route of a request by host name, path prefix and method. */
import type { Route, RoutingConfig } from "../model/routing.js";

/** Host name of routes that match any host name. */
export const anyHost = "*";

/** The routes of a configuration. */
export interface RouteTable {
    /**
     * Finds the route with the longest matching path prefix. Routes of the request's host name take precedence over those of
     * any host name.
     * @param hostName host name as the client sent it, with or without a port
     * @param path path of the request, with or without a query
     * @param method method of the request
     */
    find(hostName: string, path: string, method: string): Route | undefined;
}

/** Routes by path prefix; at most one per prefix and method. */
type RoutesByPrefix = Map<string, Route[]>;

/**
 * Creates the route table of a configuration.
 * @param config the configuration
 */
export function createRouteTable(config: RoutingConfig): RouteTable {
    const byHost = new Map<string, RoutesByPrefix>();
    for (const route of config.routes) {
        const hostName = normalizeHostName(route.hostName);
        const byPrefix: RoutesByPrefix = byHost.get(hostName) ?? new Map<string, Route[]>();
        byPrefix.set(route.pathPrefix, [...byPrefix.get(route.pathPrefix) ?? [], route]);
        byHost.set(hostName, byPrefix);
    }
    return {
        find: (hostName, path, method) => {
            const pathWithoutQuery = path.split("?", 1)[0] as string;
            const routesOfHost = byHost.get(normalizeHostName(hostName));
            return findLongestPrefix(routesOfHost, pathWithoutQuery, method)
                ?? findLongestPrefix(byHost.get(anyHost), pathWithoutQuery, method);
        },
    };
}

/** Returns the form of a host name that is the same for all ways to write it: in lower case, without a port and the dot of the DNS root. */
function normalizeHostName(hostName: string): string {
    return hostName.toLowerCase().replace(/\.?(:[0-9]*)?$/, "");
}

/** Looks up every prefix of the path that ends with a slash, longest first; the prefixes of routes always end with one. */
function findLongestPrefix(byPrefix: RoutesByPrefix | undefined, path: string, method: string): Route | undefined {
    for (let end = path.lastIndexOf("/"); byPrefix !== undefined && end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const routes = byPrefix.get(path.slice(0, end + 1));
        const route = routes?.find((one) => one.method === undefined || one.method === method);
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}
