/** Publishes terms of one cell: the first one, one after every ranked coordinator is gone, and fitter ones. */
import { v7 as newOrderedUuid } from "uuid";
import type { RecordId, RunId, TargetId } from "../model/ids.js";
import { noOffset } from "../model/ids.js";
import type { Instant } from "../model/time.js";
import type { ConfigDocument } from "../config/document.js";
import type { Cell } from "../ownership/cell.js";
import type { TermInForce } from "../platform/fold.js";
import type { Journal } from "../platform/journal.js";
import type { LogPort } from "../platform/logPort.js";
import type { TermRecord } from "../platform/records.js";
import { assignCoordinators } from "./assignment.js";
import type { CellConfig } from "./cellConfig.js";
import type { Peers } from "./peers.js";

/** How long the hosts must have been steady before a term follows their coming and going. */
const settleMs = 3_000;

/** How long a host must have been steady to fill a missing rank. */
const fillSteadyMs = 500;

/** How long a term stands before a merely better ranked coordinator replaces a live one. */
const preferenceSettleMs = 10_000;

/** How long a cell must have been without a live coordinator before another host claims it. */
export const claimAfterMs = 1_200;

const claimStepMs = 400;
const ranksPerTerm = 4;

/** What a term keeper works with. */
export interface TermKeeperParts {
    self: RunId;
    config: CellConfig;
    log: LogPort;
    peers: Peers;
    journal: Journal;
}

/** What the acting coordinator knows when it judges its term. */
export interface ActingTerm {
    inForce: TermInForce;
    cell: Cell;
    /** When this host first saw the term, monotonic. */
    seenMs: number;
}

/** Keeps the terms of one cell. The log's order decides between rival terms. */
export class TermKeeper {
    private lastPublishMs = Number.NEGATIVE_INFINITY;
    private orphanedSinceMs: number | undefined;
    private staleSinceMs: number | undefined;
    /** Last ranking, and the hosts and document that it was computed from. */
    private ranking: { of: string; document: ConfigDocument; runs: RunId[] } | undefined;

    /** @param parts the cell and the ports */
    constructor(private readonly parts: TermKeeperParts) {}

    /** Notes that a ranked coordinator is alive again. */
    noteNotOrphaned(): void {
        this.orphanedSinceMs = undefined;
    }

    /**
     * Claims a cell that has no live ranked coordinator, when it is this host's turn.
     * @param inForce the term in force, if any
     * @param now this host's clocks
     */
    async claimWhenDue(inForce: TermInForce | undefined, now: Instant): Promise<void> {
        this.orphanedSinceMs ??= now.monoMs;
        const ranking = this.desiredRanking(now.monoMs, 0);
        const turn = ranking.indexOf(this.parts.self);
        const waitMs = (inForce === undefined ? claimStepMs : claimAfterMs) + Math.max(0, turn) * claimStepMs;
        if (turn < 0 || now.monoMs - this.orphanedSinceMs < waitMs) {
            return;
        }
        const reason = inForce === undefined ? "first term" : "no ranked coordinator is alive";
        await this.publish(inForce, ranking, reason, undefined, now);
        this.orphanedSinceMs = undefined;
    }

    /**
     * Publishes a fitter term as the acting coordinator, once the need for it has lasted.
     * @param acting the term and its cell
     * @param now this host's clocks
     */
    async renewWhenDue(acting: ActingTerm, now: Instant): Promise<void> {
        if (await this.fillRanksWhenDue(acting, now)) {
            return;
        }
        const reason = this.whyStale(acting, now.monoMs);
        if (reason === undefined) {
            this.staleSinceMs = undefined;
            return;
        }
        this.staleSinceMs ??= now.monoMs;
        const lastedMs = now.monoMs - Math.max(this.staleSinceMs, this.lastPublishMs);
        // A new first coordinator looks for owners afresh, which would prolong a recovery under way.
        if (lastedMs < settleMs || !acting.cell.hasAuthority(now.monoMs) || !acting.cell.isSettled(now.monoMs)) {
            return;
        }
        await this.publish(acting.inForce, this.desiredRanking(now.monoMs, settleMs), reason, acting.cell, now);
    }

    /**
     * A term with fewer successors than live hosts is filled soon: until then a loss would have to wait for a claim. The
     * acting coordinator stays first.
     */
    private async fillRanksWhenDue(acting: ActingTerm, now: Instant): Promise<boolean> {
        const { self } = this.parts;
        const others = this.desiredRanking(now.monoMs, fillSteadyMs).filter((run) => run !== self);
        const ranking = [self, ...others].slice(0, ranksPerTerm);
        const sincePublishMs = now.monoMs - this.lastPublishMs;
        const due = acting.inForce.term.coordinators.length < ranking.length && sincePublishMs >= fillSteadyMs;
        if (!due || !acting.cell.hasAuthority(now.monoMs) || !acting.cell.isSettled(now.monoMs)) {
            return false;
        }
        await this.publish(acting.inForce, ranking, "successors missing", acting.cell, now);
        return true;
    }

    /**
     * Publishes a term that ranks the other live hosts, for a coordinator that leaves.
     * @param inForce the term in force
     * @param now this host's clocks
     * @returns the coordinator that it ranks first, or undefined when there is no other host
     */
    async publishWithoutSelf(inForce: TermInForce, now: Instant): Promise<RunId | undefined> {
        const ranking = this.desiredRanking(now.monoMs, 0).filter((run) => run !== this.parts.self);
        if (ranking.length > 0) {
            await this.publish(inForce, ranking, "coordinator leaves", undefined, now);
        }
        return ranking[0];
    }

    private whyStale(acting: ActingTerm, nowMs: number): string | undefined {
        const { term } = acting.inForce;
        const { terms, layout } = this.parts.config;
        if (terms.leaseMs !== term.leaseMs || !isSameSet(layout?.servers ?? [], term.servers)) {
            return "servers or lease changed";
        }
        const desired = this.desiredRanking(nowMs, settleMs);
        if (desired.length === 0) {
            return undefined;
        }
        const mayPrefer = nowMs - acting.seenMs >= preferenceSettleMs || term.coordinators[0] !== this.parts.self;
        const firstStale = desired[0] !== term.coordinators[0] && mayPrefer;
        const someGone = term.coordinators.some((run) => !this.parts.peers.isLive(run, nowMs));
        return firstStale || someGone || term.coordinators.length < desired.length ? "coordinators changed" : undefined;
    }

    private desiredRanking(nowMs: number, steadyMs: number): RunId[] {
        const hosts = this.parts.peers.steadyHosts(nowMs, steadyMs);
        const { document, cell, allCells } = this.parts.config;
        const of = hosts.map((host) => host.run).join();
        if (this.ranking?.of !== of || this.ranking.document !== document) {
            const runOf = new Map(hosts.map((host) => [host.hostId, host.run]));
            const ranked = assignCoordinators(allCells, hosts, ranksPerTerm).get(cell) ?? [];
            this.ranking = { of, document, runs: ranked.map((host) => runOf.get(host) as RunId) };
        }
        return this.ranking.runs;
    }

    /** Appends a term; the follower brings what the log's order made of it. */
    private async publish(
        prior: TermInForce | undefined,
        coordinators: RunId[],
        reason: string,
        acting: Cell | undefined,
        now: Instant,
    ): Promise<void> {
        const { cell, layout, terms: { leaseMs } } = this.parts.config;
        const servers = layout?.servers ?? [];
        this.lastPublishMs = now.monoMs;
        const record: TermRecord = {
            kind: "term", cell, servers, coordinators, reason, leaseMs,
            recordId: newOrderedUuid() as RecordId,
            basedOn: prior?.offset ?? noOffset,
            ...priorObligations(servers, leaseMs, prior, hasOutwaited(acting, now.monoMs)),
        };
        const appended = await this.parts.log.append(record);
        this.parts.journal.info("term", `${cell} term ${appended.isOk() ? "appended" : "not appended"}: ${reason}.`);
    }
}

/** A coordinator whose authority has stood for the whole wait has outlasted every earlier one. */
function hasOutwaited(acting: Cell | undefined, nowMs: number): boolean {
    return acting?.sinceMs !== undefined && nowMs - acting.sinceMs > acting.plan.waitMs;
}

/** What a term must still respect of earlier ones: their servers' majorities and their longest lease. */
function priorObligations(
    servers: TargetId[],
    leaseMs: number,
    prior: TermInForce | undefined,
    outwaited: boolean,
): Pick<TermRecord, "voterSets" | "waitMs"> {
    if (prior === undefined) {
        return { voterSets: [servers], waitMs: leaseMs };
    }
    const older = outwaited ? [prior.term.servers] : prior.term.voterSets;
    return {
        voterSets: [servers, ...older.filter((set) => !isSameSet(set, servers))],
        waitMs: Math.max(leaseMs, outwaited ? prior.term.leaseMs : prior.term.waitMs),
    };
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
    return [...left].sort().join() === [...right].sort().join();
}
