/** Heartbeat between a coordinator and a server; it carries the whole grant. */
import type { CellId, Fence, Incarnation, Shard } from "../model/ids.js";

/** From the coordinator to the server. */
export interface HeartbeatRequest {
    cell: CellId;
    fence: Fence;
    /** Rises with every heartbeat of one fence; a server applies only newer ones. */
    sequence: number;
    /** Run of the server that the coordinator means; absent before its first answer. */
    incarnation?: Incarnation;
    /** Reading of the server's own monotonic clock up to which the listed shards are owned. */
    leaseEndServerMs: number;
    /** Shards that the server already owns and keeps. */
    renew: Shard[];
    /** Shards that the server owns from now on. */
    grant: Shard[];
    /** Shards that the server gives up. */
    release: Shard[];
}

/** Shards that the server holds up to one reading of its clock; mostly all of them. */
export interface HeldShards {
    leaseEndServerMs: number;
    shards: Shard[];
}

/** From the server to the coordinator. */
export interface HeartbeatReply {
    /** False when the server has accepted a higher fence, or another incarnation was meant. */
    accepted: boolean;
    sequence: number;
    /** Highest fence accepted so far, after this heartbeat. */
    fence: Fence;
    /** Highest fence accepted before this heartbeat. */
    priorFence: Fence;
    /** Reading of the server's monotonic clock when it answered. */
    clockMs: number;
    incarnation: Incarnation;
    upMs: number;
    /** Shards owned with an unlapsed lease after this heartbeat. */
    held: HeldShards[];
    /** Shards among `renew` and `release` that the server did not hold on arrival. */
    lapsedOnArrival: Shard[];
    /** Shards whose last lease was held here though it has lapsed; a hint for placement, no proof. */
    lastHeld: Shard[];
    /** True while the server asks to be relieved of its shards. */
    draining: boolean;
    /** Work waiting or running at the server, by its own account. */
    load: number;
    /** Milliseconds since another coordinator's heartbeat was last accepted; a witness for successors. */
    sinceAcceptedMs: number;
}
