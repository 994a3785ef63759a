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

/** The routes of a host name. */
interface HostRoutes {
    /** Routes by path prefix; at most one per prefix and method. */
    byPrefix: Map<string, Route[]>;
    longestPrefixChars: number;
}

/**
 * Creates the route table of a configuration.
 * @param config the configuration
 */
export function createRouteTable(config: RoutingConfig): RouteTable {
    const byHost = new Map<string, HostRoutes>();
    for (const route of config.routes) {
        const { pathPrefix } = route;
        const hostName = normalizeHostName(route.hostName);
        const known: HostRoutes = byHost.get(hostName) ?? { byPrefix: new Map<string, Route[]>(), longestPrefixChars: 0 };
        known.byPrefix.set(pathPrefix, [...known.byPrefix.get(pathPrefix) ?? [], route]);
        known.longestPrefixChars = Math.max(known.longestPrefixChars, pathPrefix.length);
        byHost.set(hostName, known);
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

/** Tells whether an earlier route matches every request that a route matches, so that the route never serves any. */
export function isServedByEarlier(route: Route, earlier: Route): boolean {
    return normalizeHostName(earlier.hostName) === normalizeHostName(route.hostName) && earlier.pathPrefix === route.pathPrefix
        && (earlier.method === undefined || earlier.method === route.method);
}

/** Returns the form of a host name that is the same for all ways to write it: in lower case, without a port and the dot of the DNS root. */
function normalizeHostName(hostName: string): string {
    return hostName.toLowerCase().replace(/\.?(:[0-9]*)?$/, "");
}

/**
 * Looks up every prefix of the path that ends with a slash and is not longer than the longest of a route, longest first; the prefixes of
 * routes always end with a slash.
 */
function findLongestPrefix(routes: HostRoutes | undefined, path: string, method: string): Route | undefined {
    if (routes === undefined) {
        return undefined;
    }
    const { byPrefix, longestPrefixChars } = routes;
    for (let end = path.lastIndexOf("/", longestPrefixChars - 1); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const found = byPrefix.get(path.slice(0, end + 1))?.find((one) => one.method === undefined || one.method === method);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}
