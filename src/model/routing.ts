/** The routing configuration in force. */
import type { RouteId, ServiceId } from "./names.js";

/** A share of a route's requests. */
export interface Backend {
    serviceId: ServiceId;
    weight: number;
}

/** Where requests of one host name and path prefix go, and on which terms. */
export interface Route {
    routeId: RouteId;
    hostName: string;
    /** The only method of the route, or undefined for any. */
    method?: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    /** True when a request may run more than once. */
    idempotent: boolean;
    /** Longest time that a client may be kept waiting. */
    timeoutMs: number;
    /** Time within which an answer has its full value for the client. */
    targetLatencyMs: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Targets that one attempt of a client may be sent to. */
    maxAttempts: number;
    /** Never empty. */
    backends: readonly Backend[];
}

/** A service and what all its targets have in common. */
export interface ServiceConfig {
    serviceId: ServiceId;
    /** Path that answers whether a target is well. */
    healthPath: string;
    /** Connections that one target accepts from all hosts together. */
    maxConnections: number;
    /** True when every key belongs to one target at a time. */
    sharded: boolean;
    /** How long keys are served slowly by a new owner that got no handover. */
    warmUpMs: number;
}

/** Bounds on what clients may send. */
export interface ClientLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    /** Time that a client may take to send the headers. */
    headerTimeoutMs: number;
    /** Time that a connection may stay open without a request. */
    idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingConfig {
    /** Grows with each version, in uneven steps. */
    version: number;
    routes: readonly Route[];
    services: readonly ServiceConfig[];
    limits: ClientLimits;
}
