/** Types of the routing configuration. */
import type { RouteId, ServiceId } from "./names.js";

/** A service that gets a share of a route's requests, in proportion to its weight. */
export interface Backend {
    serviceId: ServiceId;
    weight: number;
}

/** Backends, time limits and retry limits for the requests with one host name and path prefix, and possibly one method. */
export interface Route {
    routeId: RouteId;
    hostName: string;
    /** The HTTP method that the route matches; undefined if it matches any. */
    method?: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    /** True if a request may be executed more than once. */
    idempotent: boolean;
    /** Maximum time from the arrival of a request to its response; a client may set a shorter one. */
    timeoutMs: number;
    /** Latency goal: a response that takes longer starts to lose value for the client. */
    targetLatencyMs: number;
    /** 0 is the highest priority. */
    priority: number;
    /** Maximum number of targets that one request may be sent to; not applied to keyed requests, which only the key's owner serves. */
    maxAttempts: number;
    /** At least one. */
    backends: readonly Backend[];
}

/** Settings that all targets of a service share. */
export interface ServiceConfig {
    serviceId: ServiceId;
    /** Path of a target's health check. */
    healthPath: string;
    /** Maximum number of connections that one target accepts from all hosts together. */
    maxConnections: number;
    /** True if each key is owned by one target at a time. */
    sharded: boolean;
    /** Requests a second that a target tolerates from all hosts together while it warms up; absent if that is not limited. */
    warmUpRequestsPerSecond?: number;
    /** Time during which a new owner that received no handover serves its keys more slowly. */
    warmUpMs: number;
}

/** Limits on clients' requests and connections. */
export interface ClientLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    /** Maximum time that a client may take to send the headers. */
    headerTimeoutMs: number;
    /** Time after which a connection without a request is closed. */
    idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingConfig {
    /** Increases with each version, not necessarily by 1. */
    version: number;
    routes: readonly Route[];
    services: readonly ServiceConfig[];
    limits: ClientLimits;
    /** True if the requests of a route differ so much in cost that load management is worthwhile; absent if not. */
    loadManagement?: boolean;
}
