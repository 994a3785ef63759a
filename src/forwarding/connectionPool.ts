/** Pool of connections to targets, which are kept open between requests. */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { RequestTraits } from "./connectionHistory.js";
import type { TargetConnection } from "./targetConnection.js";
import type { TargetConnector } from "./targetConnector.js";

/** Keep-alive time assumed for a target that states none; targets close idle connections without notice. */
const defaultKeepAliveMs = 5_000;

/** Share of the target's keep-alive time for which an idle connection is used; the rest allows for the network delay to the target. */
const usableKeepAliveShare = 0.7;

/** A longer keep-alive time of a target is not relied on. */
const maxKeepAliveMs = 600_000;

const sweepIntervalMs = 1_000;

/** Limit on the idle connections to one target. */
const maxIdlePerTarget = 8;

interface IdleConnection {
    connection: TargetConnection;
    idleSinceMs: number;
}

/** Connections to all targets, pooled by address. */
export interface ConnectionPool {
    /**
     * Takes the most recently used of the idle connections that may carry a request, or opens a new one. An idempotent request leaves the
     * connections that may carry any request to the others.
     * @param address the target's address
     */
    acquire(address: Address, request: RequestTraits): Promise<Result<TargetConnection, Failure>>;
    /** Returns a connection to the pool; closes it if it cannot be reused or the pool for its target is full. */
    release(address: Address, connection: TargetConnection): void;
    /** Closes all idle connections to a target. */
    closeIdle(address: Address): void;
    /** Periodically closes connections that can no longer be used, until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Returns the number of idle connections. */
    idleCount(): number;
}

/**
 * Creates a pool.
 * @param clock source of the current time
 * @param connector opens connections, and tells which of the idle ones may be used
 * @param onOpened called for each new connection, for metrics
 */
export function createConnectionPool(
    clock: Clock, connector: Pick<TargetConnector, "connect" | "mayReuse">, onOpened: (address: Address) => void,
): ConnectionPool {
    const idleByAddress = new Map<Address, IdleConnection[]>();

    const idleListOf = (address: Address): IdleConnection[] => {
        const known = idleByAddress.get(address);
        if (known !== undefined) {
            return known;
        }
        const list: IdleConnection[] = [];
        idleByAddress.set(address, list);
        return list;
    };

    const isUsable = ({ connection, idleSinceMs }: IdleConnection, nowMs: number): boolean => {
        const limitMs = Math.min(connection.keepAliveMs ?? defaultKeepAliveMs, maxKeepAliveMs) * usableKeepAliveShare;
        return connection.reusable && nowMs - idleSinceMs < limitMs;
    };

    /** Closes an idle connection that fewer requests may use than the given one; returns false if there is none. */
    const makeRoomFor = (connection: TargetConnection, list: IdleConnection[]): boolean => {
        const index = connection.isForIdempotentOnly ? -1 : list.findIndex((idle) => idle.connection.isForIdempotentOnly);
        const [replaced] = index < 0 ? [] : list.splice(index, 1);
        replaced?.connection.destroy();
        return replaced !== undefined;
    };

    const sweep = (nowMs: number) => {
        for (const [address, list] of idleByAddress) {
            const kept = list.filter((idle) => isUsable(idle, nowMs));
            list.filter((idle) => !kept.includes(idle)).forEach(({ connection }) => {
                connection.destroy();
            });
            if (kept.length === 0) {
                idleByAddress.delete(address);
            }
            else {
                idleByAddress.set(address, kept);
            }
        }
    };

    return {
        acquire: async (address, request) => {
            const list = idleListOf(address);
            const nowMs = clock.now().monoMs;
            const isCandidate = (idle: IdleConnection) => isUsable(idle, nowMs)
                && idle.connection.mayCarry(request, nowMs - idle.idleSinceMs) && connector.mayReuse(address, idle.connection);
            const preferred = request.idempotent
                ? list.findLastIndex((idle) => idle.connection.isForIdempotentOnly && isCandidate(idle))
                : -1;
            const index = preferred < 0 ? list.findLastIndex(isCandidate) : preferred;
            const [found] = index < 0 ? [] : list.splice(index, 1);
            if (found !== undefined) {
                return ok(found.connection);
            }
            const opened = await connector.connect(address);
            return opened.map((connection) => {
                onOpened(address);
                return connection;
            });
        },
        release: (address, connection) => {
            const list = idleListOf(address);
            if (!connection.reusable || (list.length >= maxIdlePerTarget && !makeRoomFor(connection, list))) {
                connection.destroy();
                return;
            }
            list.push({ connection, idleSinceMs: clock.now().monoMs });
        },
        closeIdle: (address) => {
            const list = idleByAddress.get(address) ?? [];
            idleByAddress.delete(address);
            for (const { connection } of list) {
                connection.destroy();
            }
        },
        run: async (signal) => {
            while (!signal.aborted) {
                await clock.sleep(sweepIntervalMs, signal);
                sweep(clock.now().monoMs);
            }
        },
        idleCount: () => [...idleByAddress.values()].reduce((sum, list) => sum + list.length, 0),
    };
}
