/**
 * The coordinator's side of the lease rules for one cell under one fence.
 *
 * A shard goes to another server only after its owner released it in time, or its owner's lease has certainly
 * lapsed, or every server has answered that it does not hold the shard, or a whole lease has passed under unbroken
 * authority. A lapse and a wait also need a majority that accepted a heartbeat sent afterwards, since a newer
 * coordinator may otherwise have renewed the owner in place.
 */
import type { CellId, Fence, Shard, TargetId } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import { noGuardsOut } from "../model/guards.js";
import { Authority } from "./authority.js";
import type { HeartbeatReply, HeartbeatRequest } from "./messages.js";
import type { PlacementCandidate } from "./placement.js";
import { chooseServer } from "./placement.js";
import { ShardMoves } from "./shardMoves.js";
import type { LeaseLeft, PlacementCause, PlacementEvent, Tenure } from "./tenure.js";
import { soughtFrom } from "./tenure.js";

const minComeBackMs = 10;

/** Fixed facts of a cell under one fence. */
export interface CellPlan {
    cell: CellId;
    fence: Fence;
    servers: TargetId[];
    /** Sets of servers of which each must accept by majority; more than one while the servers change. */
    voterSets: TargetId[][];
    shards: Shard[];
    leaseMs: number;
    /** Longest lease of this and earlier terms; what must have passed before nobody can own a shard. */
    waitMs: number;
    /** Allowance for clocks that run at different speeds over one lease. */
    driftMarginMs: number;
}

/** Decides the grants of one cell. Every time is the coordinator's monotonic clock unless its name says otherwise. */
export class Cell {
    readonly authority: Authority;
    /** Planned moves of the cell's shards. */
    readonly moves: ShardMoves;
    private readonly tenures = new Map<Shard, Tenure>();
    private sequence = 0;
    private authoritySinceMs: number | undefined;
    private outrankingFence: Fence | undefined;
    private events: PlacementEvent[] = [];
    private newlyServing: Shard[] = [];
    private drained: ReadonlySet<TargetId> = new Set();

    /**
     * @param plan the cell and the fence
     * @param guardsOut guards left out by a proof
     */
    constructor(readonly plan: CellPlan, private readonly guardsOut: GuardsOut = noGuardsOut) {
        this.moves = new ShardMoves(this.tenures, plan.servers);
        this.authority = new Authority({ ...plan, amnesiaGuardOut: guardsOut.amnesia });
        for (const shard of plan.shards) {
            this.tenures.set(shard, soughtFrom(Number.NEGATIVE_INFINITY, undefined));
        }
    }

    /** Higher fence that a server reported; the coordinator of this one must stop. */
    get outrankedBy(): Fence | undefined {
        return this.outrankingFence;
    }

    /** Since when authority has stood unbroken, if it stands. */
    get sinceMs(): number | undefined {
        return this.authoritySinceMs;
    }

    /**
     * Tells whether this coordinator may act.
     * @param nowMs now
     * @returns true within its authority
     */
    hasAuthority(nowMs: number): boolean {
        return this.outrankingFence === undefined && this.authority.endMs() > nowMs;
    }

    /**
     * Tells which server owns a shard and may be sent work.
     * @param shard the shard
     * @param nowMs now
     * @returns the server, or undefined without authority, a confirmed owner or while the shard moves
     */
    servingOwner(shard: Shard, nowMs: number): TargetId | undefined {
        const tenure = this.tenures.get(shard);
        if (tenure?.serving !== true || tenure.moveTo !== undefined || nowMs >= tenure.lapseMs) {
            return undefined;
        }
        return this.hasAuthority(nowMs) ? tenure.owner : undefined;
    }

    /**
     * Estimates when a shard without a serving owner may be served again.
     * @param shard the shard
     * @param nowMs now
     * @returns milliseconds from now
     */
    servedAgainInMs(shard: Shard, nowMs: number): number {
        const tenure = this.tenures.get(shard);
        const lapseInMs = tenure?.owner === undefined ? this.plan.waitMs : tenure.lapseMs - nowMs;
        return Math.min(this.plan.waitMs, Math.max(minComeBackMs, lapseInMs));
    }

    /**
     * Lists the shards that a server owns or is being granted.
     * @param server the server
     * @returns its shards
     */
    shardsOf(server: TargetId): Shard[] {
        return [...this.tenures].filter(([, tenure]) => tenure.owner === server).map(([shard]) => shard);
    }

    /**
     * Names the servers that operators want no work on.
     * @param servers the servers
     */
    setDrained(servers: ReadonlySet<TargetId>): void {
        this.drained = servers;
    }

    /**
     * Lists the servers that answered lately.
     * @param nowMs now
     * @returns each with the number of its shards and whether it should be relieved
     */
    reachableServers(nowMs: number): PlacementCandidate[] {
        return this.plan.servers.flatMap((server) => {
            const known = this.authority.of(server);
            if (known === undefined || nowMs - known.receivedMs > this.plan.leaseMs / 2) {
                return [];
            }
            return [{
                server,
                shardCount: this.shardsOf(server).length,
                draining: known.draining || this.drained.has(server),
                heldLast: false,
            }];
        });
    }

    /**
     * Tells whether every shard is served by a server that answered lately, and none is on the move.
     * @param nowMs now
     */
    isSettled(nowMs: number): boolean {
        const reachable = new Set(this.reachableServers(nowMs).map(({ server }) => server));
        return [...this.tenures.values()].every((tenure) =>
            tenure.serving && tenure.moveTo === undefined && tenure.owner !== undefined && reachable.has(tenure.owner));
    }

    /** Takes the placements since the last call. */
    takeEvents(): PlacementEvent[] {
        const events = this.events;
        this.events = [];
        return events;
    }

    /** Takes the shards that began to be served since the last call. */
    takeNewlyServing(): Shard[] {
        const shards = this.newlyServing;
        this.newlyServing = [];
        return shards;
    }

    /**
     * Builds the next heartbeat for a server, with its whole grant.
     * @param server the server
     * @param nowMs now; counts as the moment of sending
     * @returns the heartbeat
     */
    nextHeartbeat(server: TargetId, nowMs: number): HeartbeatRequest {
        this.tick(nowMs);
        this.sequence += 1;
        const known = this.authority.of(server);
        const request: HeartbeatRequest = {
            cell: this.plan.cell,
            fence: this.plan.fence,
            sequence: this.sequence,
            incarnation: known?.incarnation,
            leaseEndServerMs: 0,
            renew: [], grant: [], release: [],
        };
        if (known === undefined || !this.hasAuthority(nowMs)) {
            return request;
        }
        const spanMs = this.leaseSpanMs(known.receivedMs);
        request.leaseEndServerMs = known.serverClockMs + spanMs - this.plan.driftMarginMs;
        for (const [shard, tenure] of this.tenures) {
            if (tenure.owner === server) {
                this.addShard(request, shard, tenure, known.receivedMs + spanMs);
            }
        }
        return request;
    }

    /**
     * Takes in a server's answer.
     * @param server who answered
     * @param request the heartbeat that it answers
     * @param sentMs when that heartbeat was built
     * @param reply the answer
     * @param nowMs now
     */
    onReply(server: TargetId, request: HeartbeatRequest, sentMs: number, reply: HeartbeatReply, nowMs: number): void {
        this.noteAuthority(nowMs);
        if (!reply.accepted) {
            this.onRejected(server, reply);
            return;
        }
        if (!this.authority.record(server, reply, sentMs, nowMs)) {
            return;
        }
        const held = new Set(reply.held.flatMap((one) => one.shards));
        for (const shard of request.release) {
            this.onReleaseAnswered(shard, server, held.has(shard), !reply.lapsedOnArrival.includes(shard), nowMs);
        }
        for (const shard of request.renew) {
            this.onRenewAnswered(shard, server, held.has(shard) && !reply.lapsedOnArrival.includes(shard), nowMs);
        }
        for (const shard of request.grant) {
            this.onGrantAnswered(shard, server, held.has(shard));
        }
        this.tick(nowMs);
    }

    /**
     * Applies what the passing of time alone changes: authority lost, leases lapsed, waits ended.
     * @param nowMs now
     */
    tick(nowMs: number): void {
        this.noteAuthority(nowMs);
        if (this.authoritySinceMs === undefined) {
            return;
        }
        for (const [shard, tenure] of this.tenures) {
            if (tenure.owner === undefined || this.isHeldAfterAll(shard, tenure)) {
                this.seekOwner(shard, tenure, nowMs);
            }
            else if (nowMs > tenure.lapseMs) {
                this.onLapsed(shard, tenure, nowMs);
            }
        }
    }

    /**
     * Tells a successor when each lease has certainly lapsed, so that it need not wait longer for a lost server.
     * @param nowMs now
     */
    leasesLeft(nowMs: number): LeaseLeft[] {
        return [...this.tenures].flatMap(([shard, tenure]) => tenure.owner === undefined || !tenure.confirmed
            ? []
            : [{ shard, owner: tenure.owner, leftMs: Math.max(0, tenure.lapseMs - nowMs) + this.plan.driftMarginMs }]);
    }

    /**
     * Takes over what the immediate predecessor knew of the shards that no server reports as its own.
     * @param leases what it passed on
     * @param nowMs now, later than the predecessor's last renewal
     */
    adoptLeases(leases: readonly LeaseLeft[], nowMs: number): void {
        for (const { shard, owner, leftMs } of leases) {
            if (this.tenures.get(shard)?.owner === undefined) {
                this.tenures.set(shard, { ...soughtFrom(nowMs, owner), owner, lapseMs: nowMs + leftMs, confirmed: true, lapsed: true });
            }
        }
    }

    /** Describes the cell for a dump. */
    describe(nowMs: number): object {
        return {
            cell: this.plan.cell,
            fence: this.plan.fence,
            authorityLeftMs: Math.round(this.authority.endMs() - nowMs),
            shards: [...this.tenures].map(([shard, tenure]) => ({
                shard, owner: tenure.owner, serving: tenure.serving, moveTo: tenure.moveTo,
                leaseLeftMs: Math.round(tenure.lapseMs - nowMs),
            })),
        };
    }

    private addShard(request: HeartbeatRequest, shard: Shard, tenure: Tenure, lapseMs: number): void {
        if (tenure.releasing) {
            request.release.push(shard);
            tenure.releaseSent = true;
            return;
        }
        if (tenure.lapsed) {
            return;
        }
        (tenure.granting ? request.grant : request.renew).push(shard);
        tenure.lapseMs = Math.max(tenure.lapseMs, lapseMs);
    }

    /** A lease never outlasts the coordinator's own authority, however late its renewal arrives. */
    private leaseSpanMs(receivedMs: number): number {
        const authorityLeftMs = this.authority.endMs() - receivedMs;
        return this.guardsOut.leaseCap === true ? this.plan.leaseMs : Math.min(this.plan.leaseMs, authorityLeftMs);
    }

    private onRejected(server: TargetId, reply: HeartbeatReply): void {
        if (reply.fence > this.plan.fence) {
            this.outrankingFence = reply.fence;
        }
        if (this.authority.of(server)?.incarnation !== reply.incarnation) {
            this.authority.forget(server);
        }
    }

    private onReleaseAnswered(shard: Shard, server: TargetId, stillHeld: boolean, inTime: boolean, nowMs: number): void {
        const tenure = this.tenures.get(shard);
        if (tenure?.owner !== server || !tenure.releasing || stillHeld) {
            return;
        }
        if (inTime || this.guardsOut.unlapsedRelease === true) {
            this.place(shard, tenure, "released", nowMs);
            return;
        }
        this.tenures.set(shard, soughtFrom(nowMs, server));
    }

    private onRenewAnswered(shard: Shard, server: TargetId, renewed: boolean, nowMs: number): void {
        const tenure = this.tenures.get(shard);
        if (tenure?.owner !== server || tenure.releasing) {
            return;
        }
        if (!renewed) {
            // No renewal that is still on its way can revive a lease that has lapsed.
            tenure.lapsed = true;
            tenure.lapseMs = nowMs;
        }
        if (renewed && !tenure.confirmed) {
            this.events.push({ shard, from: server, to: server, cause: "kept" });
        }
        tenure.confirmed ||= renewed;
        this.setServing(shard, tenure, renewed);
    }

    private onGrantAnswered(shard: Shard, server: TargetId, held: boolean): void {
        const tenure = this.tenures.get(shard);
        if (tenure?.owner !== server || !held) {
            return;
        }
        tenure.granting = false;
        this.setServing(shard, tenure, true);
    }

    private setServing(shard: Shard, tenure: Tenure, serving: boolean): void {
        if (serving && !tenure.serving) {
            this.newlyServing.push(shard);
        }
        tenure.serving = serving;
    }

    /** Authority that was lost for an instant starts again: another coordinator may have acted meanwhile. */
    private noteAuthority(nowMs: number): void {
        if (!this.hasAuthority(nowMs)) {
            if (this.authoritySinceMs !== undefined) {
                this.loseAuthority();
            }
            return;
        }
        this.authoritySinceMs ??= nowMs;
    }

    private loseAuthority(): void {
        this.authoritySinceMs = undefined;
        for (const [shard, tenure] of this.tenures) {
            this.tenures.set(shard, soughtFrom(Number.NEGATIVE_INFINITY, tenure.owner ?? tenure.lastOwner));
        }
    }

    private seekOwner(shard: Shard, tenure: Tenure, nowMs: number): void {
        for (const [server, known] of this.authority.all()) {
            const leaseEndServerMs = known.leaseEndByShard.get(shard);
            if (leaseEndServerMs !== undefined && this.plan.servers.includes(server)) {
                const lapseMs = known.receivedMs + leaseEndServerMs - known.serverClockMs + this.plan.driftMarginMs;
                this.tenures.set(shard, { ...soughtFrom(nowMs, server), owner: server, lapseMs });
                return;
            }
        }
        const soughtSinceMs = Math.max(this.authoritySinceMs ?? nowMs, tenure.waitFromMs);
        const waitedUntilMs = soughtSinceMs + this.plan.waitMs + this.plan.driftMarginMs;
        const waited = nowMs >= waitedUntilMs && this.isFreshAfter(waitedUntilMs);
        if (waited || this.isHeldByNobody(shard, soughtSinceMs) || this.guardsOut.wait === true) {
            this.place(shard, tenure, "unowned", nowMs);
        }
    }

    /**
     * Every server has accepted this fence and answered that it does not hold the shard, so no earlier grant can
     * take effect any more. Answers to heartbeats from before the search prove nothing: a grant of this coordinator
     * may have followed them.
     */
    private isHeldByNobody(shard: Shard, soughtSinceMs: number): boolean {
        return [...this.plan.servers, ...this.plan.voterSets.flat()].every((server) => {
            const known = this.authority.of(server);
            const fresh = known !== undefined && (known.sentMs > soughtSinceMs || this.guardsOut.freshAnswers === true);
            return fresh && !known.leaseEndByShard.has(shard);
        });
    }

    /** A server that the predecessor had lost sight of answers, and still holds its lease. */
    private isHeldAfterAll(shard: Shard, tenure: Tenure): boolean {
        return tenure.lapsed && tenure.owner !== undefined && this.authority.of(tenure.owner)?.leaseEndByShard.has(shard) === true;
    }

    private onLapsed(shard: Shard, tenure: Tenure, nowMs: number): void {
        if (!tenure.confirmed) {
            this.tenures.set(shard, soughtFrom(nowMs, tenure.owner));
            return;
        }
        tenure.serving = false;
        if (this.isFreshAfter(tenure.lapseMs)) {
            this.place(shard, tenure, "lapsed", nowMs);
        }
    }

    private isFreshAfter(momentMs: number): boolean {
        return this.guardsOut.freshMajority === true || this.authority.hasMajoritySentAfter(momentMs);
    }

    private place(shard: Shard, tenure: Tenure, cause: PlacementCause, nowMs: number): void {
        const from = tenure.owner ?? tenure.lastOwner;
        const candidates = this.reachableServers(nowMs)
            .filter((candidate) => cause !== "released" || candidate.server !== tenure.owner)
            .map((candidate) => ({ ...candidate, heldLast: this.wasHeldBy(candidate.server, shard, tenure) }));
        const to = chooseServer(shard, candidates, tenure.moveTo);
        if (to === undefined) {
            return;
        }
        this.tenures.set(shard, {
            ...soughtFrom(nowMs, to),
            owner: to, lapseMs: nowMs, confirmed: true, granting: true,
        });
        this.events.push({ shard, from, to, cause });
    }

    private wasHeldBy(server: TargetId, shard: Shard, tenure: Tenure): boolean {
        return server === tenure.lastOwner || this.authority.of(server)?.lastHeld.has(shard) === true;
    }
}
