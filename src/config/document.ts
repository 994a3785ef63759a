/**
 * Queries on a configuration document that is known to be valid. They are separate from the schema because the daemon does not
 * validate documents, so it does not need to load the schema.
 */
import type { ConfigDocument, PoolConfig, RequestPolicy } from "./documentSchema.js";

/** A pool with its name and that of its institution. */
export interface NamedPool {
    institution: string;
    pool: string;
    config: PoolConfig;
}

/** Lists all pools of a document. */
export function listPools(document: ConfigDocument): NamedPool[] {
    return Object.entries(document.institutions).flatMap(([institution, { pools }]) =>
        Object.entries(pools).map(([pool, config]) => ({ institution, pool, config })));
}

/**
 * Applies the exceptions in force for a pool to the defaults; a later exception overrides an earlier one.
 * @param document the document
 * @param namedPool the pool
 * @param nowWallMs current wall-clock time, in milliseconds since the Unix epoch
 */
export function requestPolicyOf(document: ConfigDocument, namedPool: NamedPool, nowWallMs: number): RequestPolicy {
    const inForce = document.exceptions.filter(({ institution, pool, until }) =>
        institution === namedPool.institution
        && (pool === undefined || pool === namedPool.pool)
        && (until === undefined || Date.parse(until) > nowWallMs));
    return Object.assign({}, document.defaults, ...inForce.map(({ set }) => set)) as RequestPolicy;
}

/**
 * Returns the time at which the next exception expires.
 * @param document the document
 * @param nowWallMs current wall-clock time
 * @returns the wall-clock time, or undefined if no exception will expire
 */
export function nextExpiryWallMs(document: ConfigDocument, nowWallMs: number): number | undefined {
    const ends = document.exceptions
        .flatMap(({ until }) => until === undefined ? [] : [Date.parse(until)])
        .filter((end) => end > nowWallMs);
    return ends.length === 0 ? undefined : Math.min(...ends);
}
