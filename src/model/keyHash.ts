/** Hashing of keys to shards, and of cells to hosts. */
import createXxHash from "xxhash-wasm";
import type { HostId, Shard } from "./ids.js";

const xxHash = await createXxHash();

/**
 * Finds the shard of a key.
 * @param key the key as the caller names it
 * @param shardCount number of shards of the pool
 * @returns the shard
 */
export function shardOf(key: string, shardCount: number): Shard {
    return Number(xxHash.h64(key) % BigInt(shardCount)) as Shard;
}

/**
 * Orders hosts by their rendezvous weight for a name: removing one host leaves the order of the others.
 * @param name what is being assigned
 * @param hosts the hosts
 * @returns the hosts, heaviest first
 */
export function rendezvousOrder(name: string, hosts: readonly HostId[]): HostId[] {
    return hosts
        .map((host) => ({ host, weight: xxHash.h64(`${name}|${host}`) }))
        .sort((left, right) => (left.weight === right.weight ? 0 : left.weight > right.weight ? -1 : 1))
        .map(({ host }) => host);
}
