/** Compiles the project's own configuration document into a routing configuration. */
import type { RouteId, ServiceId } from "../model/names.js";
import type { Route, RoutingConfig } from "../model/routing.js";
import { anyHost } from "../routing/routeTable.js";
import type { NamedPool } from "./document.js";
import { listPools, requestPolicyOf } from "./document.js";
import type { ConfigDocument, PoolConfig, RequestPolicy } from "./documentSchema.js";

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 16_777_216, headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 };

/** A kind of request that a pool accepts. */
interface RequestKind {
    name: "read" | "order" | "bulk" | "write";
    method: "GET" | "POST";
    /** Part of the path prefix after the institution and the pool. */
    path: string;
    idempotent: boolean;
}

const read: RequestKind = { name: "read", method: "GET", path: "keys/", idempotent: true };
const order: RequestKind = { name: "order", method: "POST", path: "keys/", idempotent: false };
const bulk: RequestKind = { name: "bulk", method: "GET", path: "lists/", idempotent: true };
const write: RequestKind = { name: "write", method: "POST", path: "meter-reads/", idempotent: false };

const requestKindsByPoolKind: Record<PoolConfig["kind"], readonly RequestKind[]> = {
    keyed: [read, order],
    archive: [write],
    export: [bulk],
};

/** Path prefix of the project's own HTTP interface. */
export const ownPathPrefix = "/v1/";

/**
 * Compiles a document.
 * @param document the document
 * @param version its version
 * @param nowWallMs current wall-clock time; expired exceptions are ignored
 */
export function compileDocument(document: ConfigDocument, version: number, nowWallMs: number): RoutingConfig {
    const pools = listPools(document);
    return {
        version, limits,
        routes: pools.flatMap((pool) => routesOf(pool, requestPolicyOf(document, pool, nowWallMs))),
        services: pools.map(({ config }) => ({
            serviceId: config.service as ServiceId,
            healthPath: config.healthPath,
            maxConnections: config.connections,
            sharded: config.kind === "keyed",
            warmUpMs: 0,
        })),
    };
}

function routesOf(pool: NamedPool, policy: RequestPolicy): Route[] {
    return requestKindsByPoolKind[pool.config.kind].map((kind) => toRoute(pool, kind, policy));
}

function toRoute({ institution, pool, config }: NamedPool, kind: RequestKind, policy: RequestPolicy): Route {
    return {
        routeId: `${institution}/${pool}/${kind.name}` as RouteId,
        hostName: anyHost,
        method: kind.method,
        pathPrefix: `${ownPathPrefix}${institution}/${pool}/${kind.path}`,
        idempotent: kind.idempotent,
        timeoutMs: policy[`${kind.name}TimeoutMs`],
        targetLatencyMs: policy[`${kind.name}TargetMs`],
        priority: policy[`${kind.name}Priority`],
        maxAttempts: policy.maxAttempts,
        backends: [{ serviceId: config.service as ServiceId, weight: 1 }],
    };
}
