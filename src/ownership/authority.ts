/** How long a coordinator may act: for one lease after the oldest heartbeat of an accepting majority was sent. */
import type { Fence, Incarnation, Shard, TargetId } from "../model/ids.js";
import type { HeartbeatReply, HeldShards } from "./messages.js";

/** The newest accepted answer of one server under the coordinator's fence. All times are monotonic milliseconds. */
export interface Acknowledgement {
    sequence: number;
    /** Coordinator's clock when the request was sent. */
    sentMs: number;
    /** Coordinator's clock when the answer was received. */
    receivedMs: number;
    /** Server's clock when it answered. */
    serverClockMs: number;
    incarnation: Incarnation;
    /** False while the server has not been up for a whole lease: it may have forgotten a higher fence. */
    counts: boolean;
    leaseEndByShard: Map<Shard, number>;
    lastHeld: Set<Shard>;
    draining: boolean;
    load: number;
    priorFence: Fence;
}

/** What authority is derived from, besides the answers. */
export interface AuthorityLimits {
    /** Sets of servers of which each must have an accepting majority. */
    voterSets: readonly (readonly TargetId[])[];
    leaseMs: number;
    /** Longest lease of this and earlier terms; a restarted server counts only after it. */
    waitMs: number;
    /** Allowance for clocks that run at different speeds over one lease. */
    driftMarginMs: number;
    /** Lets a restarted server count at once, for a proof that the wait is needed. */
    amnesiaGuardOut?: boolean;
}

/** Collects the acknowledgements of a cell's servers and derives the authority of one fence from them. */
export class Authority {
    private readonly acknowledgements = new Map<TargetId, Acknowledgement>();

    /** @param limits voter sets and durations */
    constructor(private readonly limits: AuthorityLimits) {}

    /**
     * Records an accepted answer unless a newer one is known.
     * @param server who answered
     * @param reply its answer
     * @param sentMs coordinator's clock when the request was sent
     * @param nowMs coordinator's clock now
     * @returns false when the answer was older than the one known
     */
    record(server: TargetId, reply: HeartbeatReply, sentMs: number, nowMs: number): boolean {
        const known = this.acknowledgements.get(server);
        if (known !== undefined && known.sequence > reply.sequence) {
            return false;
        }
        this.acknowledgements.set(server, {
            sentMs,
            sequence: reply.sequence,
            receivedMs: nowMs,
            serverClockMs: reply.clockMs,
            incarnation: reply.incarnation,
            counts: this.limits.amnesiaGuardOut === true || reply.upMs > this.limits.waitMs + this.limits.driftMarginMs,
            leaseEndByShard: leaseEndsOf(reply.held),
            lastHeld: new Set(reply.lastHeld),
            draining: reply.draining,
            load: reply.load,
            priorFence: known?.priorFence ?? reply.priorFence,
        });
        return true;
    }

    /**
     * Forgets a server whose process was replaced.
     * @param server the server
     */
    forget(server: TargetId): void {
        this.acknowledgements.delete(server);
    }

    /**
     * Looks up the newest accepted answer of a server.
     * @param server the server
     * @returns the answer, or undefined when there is none under this fence
     */
    of(server: TargetId): Acknowledgement | undefined {
        return this.acknowledgements.get(server);
    }

    /** Lists the newest accepted answers. */
    all(): IterableIterator<[TargetId, Acknowledgement]> {
        return this.acknowledgements.entries();
    }

    /**
     * Tells until when the coordinator has authority.
     * @returns coordinator's monotonic clock, or minus infinity without a majority
     */
    endMs(): number {
        const sentMs = Math.min(...this.limits.voterSets.map((voters) => this.majoritySentMs(voters)));
        return sentMs + this.limits.leaseMs - this.limits.driftMarginMs;
    }

    /**
     * Tells whether majorities have accepted heartbeats that were sent after a moment.
     * @param momentMs coordinator's monotonic clock
     * @returns true when each voter set has such a majority
     */
    hasMajoritySentAfter(momentMs: number): boolean {
        return this.limits.voterSets.every((voters) => this.majoritySentMs(voters) > momentMs);
    }

    /**
     * Tells the highest fence that a counting server had accepted before this one's first heartbeat.
     * @returns that fence, or undefined before a first answer
     */
    highestPriorFence(): Fence | undefined {
        const fences = [...this.acknowledgements.values()].filter((known) => known.counts).map((known) => known.priorFence);
        return fences.length === 0 ? undefined : Math.max(...fences) as Fence;
    }

    private majoritySentMs(voters: readonly TargetId[]): number {
        const majority = Math.floor(voters.length / 2) + 1;
        const sentMs = voters
            .map((server) => this.acknowledgements.get(server))
            .filter((known) => known?.counts === true)
            .map((known) => known?.sentMs ?? Number.NEGATIVE_INFINITY)
            .sort((left, right) => right - left);
        return sentMs[majority - 1] ?? Number.NEGATIVE_INFINITY;
    }
}

function leaseEndsOf(held: readonly HeldShards[]): Map<Shard, number> {
    return new Map(held.flatMap(({ shards, leaseEndServerMs }) => shards.map((shard) => [shard, leaseEndServerMs] as const)));
}
