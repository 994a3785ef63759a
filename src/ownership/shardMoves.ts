/** Planned moves of a cell's shards from one server to another. Times are the coordinator's monotonic clock. */
import type { Shard, TargetId } from "../model/ids.js";
import type { Tenure } from "./tenure.js";

/** Marks the shards that should move; the cell's heartbeats and placements carry the moves out. */
export class ShardMoves {
    /**
     * @param tenures the cell's shards
     * @param servers the cell's servers
     */
    constructor(private readonly tenures: ReadonlyMap<Shard, Tenure>, private readonly servers: readonly TargetId[]) {}

    /**
     * Asks for a shard to be moved; work for it is held from now on.
     * @param shard the shard
     * @param to the server that should own it
     * @param nowMs now
     * @returns false when the shard is not served now or is there already
     */
    request(shard: Shard, to: TargetId, nowMs: number): boolean {
        const tenure = this.tenures.get(shard);
        if (tenure?.serving !== true || tenure.owner === to || tenure.moveTo !== undefined || !this.servers.includes(to)) {
            return false;
        }
        tenure.moveTo = to;
        tenure.moveFromMs = nowMs;
        return true;
    }

    /**
     * Gives up the moves whose owner still has orders in flight; the shard is served again where it is.
     * @param nowMs now
     * @param afterMs how long a move may hold work back
     */
    abandonSlow(nowMs: number, afterMs: number): void {
        for (const tenure of this.tenures.values()) {
            if (tenure.moveTo !== undefined && !tenure.releasing && nowMs - (tenure.moveFromMs ?? nowMs) > afterMs) {
                tenure.moveTo = undefined;
            }
        }
    }

    /** Lists the shards that are being moved and whose owner has not been asked to release them yet. */
    awaitingRelease(): { shard: Shard; owner: TargetId }[] {
        return [...this.tenures].flatMap(([shard, tenure]) =>
            tenure.moveTo !== undefined && !tenure.releasing && tenure.owner !== undefined
                ? [{ shard, owner: tenure.owner }]
                : []);
    }

    /**
     * Lets the owner be asked to release a shard that is being moved; its work in flight has ended.
     * @param shard the shard
     */
    startRelease(shard: Shard): void {
        const tenure = this.tenures.get(shard);
        if (tenure?.moveTo !== undefined) {
            tenure.releasing = true;
            tenure.serving = false;
        }
    }

    /** Tells whether a server still has to be asked to release a shard. */
    hasReleaseToSend(): boolean {
        return [...this.tenures.values()].some((tenure) => tenure.releasing && !tenure.releaseSent);
    }
}
