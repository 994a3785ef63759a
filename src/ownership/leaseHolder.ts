/** The server's side of the lease rules, as docs/INTERFACE.md asks of every server that owns keys. */
import type { Fence, Incarnation, Shard } from "../model/ids.js";
import { noFence } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import { noGuardsOut } from "../model/guards.js";
import type { HeartbeatReply, HeartbeatRequest, HeldShards } from "./messages.js";

/** Why a server refuses to begin a piece of work. */
export type WorkRefusal = "fence" | "not-owner" | "too-late";

/** Holds the leases of one run of a server process. All times are readings of the server's monotonic clock. */
export class LeaseHolder {
    private fence: Fence = noFence;
    private sequence = 0;
    private acceptedAtMs = Number.NEGATIVE_INFINITY;
    private readonly leaseEndByShard = new Map<Shard, number>();

    /**
     * @param incarnation names this run of the process
     * @param startedMs when this run began
     * @param guardsOut guards left out by a proof
     */
    constructor(
        readonly incarnation: Incarnation,
        private readonly startedMs: number,
        private readonly guardsOut: GuardsOut = noGuardsOut,
    ) {}

    /**
     * Applies a heartbeat if its fence is not lower, this incarnation is meant and it is newer than the last.
     * @param request the heartbeat
     * @param nowMs reading of the server's clock
     * @param draining whether the server asks to be relieved
     * @param load work waiting or running
     * @returns the answer for the coordinator
     */
    onHeartbeat(request: HeartbeatRequest, nowMs: number, draining = false, load = 0): HeartbeatReply {
        const priorFence = this.fence;
        const sinceAcceptedMs = nowMs - this.acceptedAtMs;
        const meantForThisRun = request.incarnation === undefined || request.incarnation === this.incarnation;
        const fenceStands = request.fence >= this.fence || this.guardsOut.fence === true;
        const accepted = fenceStands && (meantForThisRun || this.guardsOut.amnesia === true);
        const touched = [...request.renew, ...request.release];
        const lapsedOnArrival = touched.filter((shard) => !this.owns(shard, nowMs));
        if (accepted) {
            this.apply(request, nowMs);
        }
        return {
            accepted, priorFence, lapsedOnArrival, draining, load, sinceAcceptedMs,
            sequence: request.sequence,
            fence: this.fence,
            clockMs: nowMs,
            incarnation: this.incarnation,
            upMs: nowMs - this.startedMs,
            held: this.held(nowMs),
            lastHeld: [...this.leaseEndByShard.keys()].filter((shard) => !this.owns(shard, nowMs)),
        };
    }

    /**
     * Tells whether this server owns a shard now.
     * @param shard the shard
     * @param nowMs reading of the server's clock
     * @returns true while the lease stands
     */
    owns(shard: Shard, nowMs: number): boolean {
        return (this.leaseEndByShard.get(shard) ?? Number.NEGATIVE_INFINITY) > nowMs;
    }

    /**
     * Decides at the moment of beginning whether a piece of work may run.
     * @param work the shard, fence and latest start of the work
     * @param nowMs reading of the server's clock
     * @returns why not, or undefined when it may
     */
    refuseWork(work: { shard: Shard; fence: Fence; notAfterServerMs: number }, nowMs: number): WorkRefusal | undefined {
        if (work.fence < this.fence && this.guardsOut.fence !== true) {
            return "fence";
        }
        if (!this.owns(work.shard, nowMs)) {
            return "not-owner";
        }
        return nowMs > work.notAfterServerMs ? "too-late" : undefined;
    }

    /**
     * Lists what is owned.
     * @param nowMs reading of the server's clock
     * @returns every shard whose lease stands, by the end of its lease
     */
    held(nowMs: number): HeldShards[] {
        const shardsByEnd = new Map<number, Shard[]>();
        for (const [shard, leaseEndServerMs] of this.leaseEndByShard) {
            if (leaseEndServerMs > nowMs) {
                shardsByEnd.set(leaseEndServerMs, [...shardsByEnd.get(leaseEndServerMs) ?? [], shard]);
            }
        }
        return [...shardsByEnd].map(([leaseEndServerMs, shards]) => ({ leaseEndServerMs, shards }));
    }

    private apply(request: HeartbeatRequest, nowMs: number): void {
        const newer = request.fence > this.fence || request.sequence > this.sequence || this.guardsOut.sequence === true;
        this.fence = Math.max(this.fence, request.fence) as Fence;
        this.acceptedAtMs = nowMs;
        if (!newer) {
            return;
        }
        this.sequence = request.sequence;
        for (const shard of request.release) {
            this.leaseEndByShard.delete(shard);
        }
        for (const shard of request.renew) {
            if (this.owns(shard, nowMs) || (this.guardsOut.unlapsedRenewal === true && this.leaseEndByShard.has(shard))) {
                this.extend(shard, request.leaseEndServerMs);
            }
        }
        for (const shard of request.grant) {
            this.leaseEndByShard.set(shard, request.leaseEndServerMs);
        }
    }

    private extend(shard: Shard, leaseEndServerMs: number): void {
        const current = this.leaseEndByShard.get(shard) ?? leaseEndServerMs;
        this.leaseEndByShard.set(shard, Math.max(current, leaseEndServerMs));
    }
}
