/** The coordinator's work on owners: grants what the ledger says, moves keys, takes the keys of lost targets back. */
import type { TargetPressure } from "../admission/queueKeeper.js";
import type { Address, KeyRange, ServiceId, TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import type { FenceCounter } from "./fences.js";
import { FirstPlacement } from "./firstPlacement.js";
import type { HandedOver, Holder, HolderParts, ReleaseOutcome } from "./holder.js";
import { createHolderSet } from "./holderSet.js";
import { KeyLoads } from "./keyLoads.js";
import type { LeasePort } from "./leasePort.js";
import { holdBoundMs, usualHoldMs } from "./leaseTerms.js";
import type { KeyLoads as ReportedLoads } from "./loadMeter.js";
import type { LedgerWriter } from "./ledgerWriter.js";
import { OwnerMap } from "./ownerMap.js";
import type { Assignment } from "./ownershipDraft.js";
import type { MovingRange, OwnershipNotice } from "./owners.js";
import type { Move } from "./planner.js";
import { planMoves } from "./planner.js";
import { contains, overlaps } from "./ranges.js";
import { TargetStandings } from "./targetStandings.js";

const planMs = 150;

/** How long a move for balance waits for the work under way before it is given up. */
const balanceReleaseTimeoutMs = 700;

/** A leaving target's work under way is awaited until its lease would have ended anyway. */
const leavingReleaseTimeoutMs = usualHoldMs;

/** A leaving target is asked again for so long, with this pause; each time puts the end of its lease off. */
const retryReleaseForMs = 1_000;
const retryReleaseMs = 120;

/** Pause before a move that failed is planned again. */
const retryMoveMs = 300;

/** What moved for balance stays where it is for this long, until reports show what that changed. */
const settleMs = 1_000;

/** A store in trouble is taken to be so for at least this long. */
const storeTroubleMs = 2_500;

/** Share of a service's capacity that is expected to be used before anything was counted. */
const expectedUse = 0.3;

/** What an earlier coordinator may still do, by this host's monotonic clock. */
export interface Predecessor {
    /** Until then it may send grants; a target that restarts meanwhile has forgotten its fences and would take them. */
    actsUntilMs: number;
    /** Until then its grants may count. */
    grantsUntilMs: number;
}

/** What a keeper works with. */
export interface OwnershipKeeperParts {
    view: ClusterView;
    leases: LeasePort;
    writer: LedgerWriter;
    fences: FenceCounter;
    clock: Clock;
    log: Log;
    mayGrant: (now: Instant) => boolean;
    /** Tells whether keys may be moved for balance now: between release and record nobody has them, so the store must be well. */
    mayBalance: (now: Instant) => boolean;
    holdMs: (now: Instant) => number;
    predecessor: Predecessor;
    /** Told when a target has seen a higher fence than this term's. */
    onOutdated: () => void;
    /** Told of each move that was begun or ended. */
    onMove: (move: Move, outcome: "begun" | "done" | "failed") => void;
}

interface ActiveMove {
    serviceId: ServiceId;
    move: Move;
    /** Set while a lease of the former owner must run out. */
    heldUntilMs?: number;
}

/** Handles owners until stopped. */
export interface OwnershipKeeper {
    /** Fires when the notice has changed, but for a move that begins. */
    readonly noticeChanged: Signal;
    /** Fires when a move begins. */
    readonly moveBegun: Signal;
    run(signal: AbortSignal): Promise<void>;
    /** Takes in what a host counted. */
    addLoads(loads: readonly ReportedLoads[], nowMs: number): void;
    /** Takes in how targets fare. */
    addPressures(pressures: readonly TargetPressure[], nowMs: number): void;
    notice(nowMs: number): OwnershipNotice;
    /** Time from now until no grant of this coordinator or an earlier one counts any more. */
    grantsLastMs(nowMs: number): number;
    describe(nowMs: number): object;
}

/**
 * Creates the keeper.
 * @param parts what it works with
 */
export function createOwnershipKeeper(parts: OwnershipKeeperParts): OwnershipKeeper {
    const { view, clock, log, writer } = parts;
    const loadsByService = new Map<ServiceId, KeyLoads>();
    const firstPlacements = new Map<ServiceId, FirstPlacement>();
    const moves = new Set<ActiveMove>();
    const retryAfterMs = new Map<TargetId, number>();
    let settling: { serviceId: ServiceId; range: KeyRange; untilMs: number }[] = [];
    const noticeChanged = new Signal();
    const moveBegun = new Signal();
    const poked = new Signal();

    const movingOf = (serviceId: ServiceId): KeyRange[] =>
        [...moves].filter((active) => active.serviceId === serviceId).map(({ move }) => move.range);

    const holderParts: HolderParts = {
        leases: parts.leases, fences: parts.fences, clock, log,
        mayGrant: parts.mayGrant, holdMs: parts.holdMs, onOutdated: parts.onOutdated,
        onLeaving: (leaving) => {
            view.seeLeaving(leaving, clock.now().monoMs);
        },
        predecessorActsUntilMs: parts.predecessor.actsUntilMs,
        isRecorded: (targetId, range) => {
            const record = view.ledger.ownershipOf(targetId);
            return record?.ranges.some((owned) => contains(owned, range)) === true
                && !movingOf(record.serviceId).some((moving) => overlaps(moving, range));
        },
    };
    const holders = createHolderSet(view, holderParts, () => {
        noticeChanged.fire();
        poked.fire();
    });
    const standings = new TargetStandings(view, holders, parts.predecessor.grantsUntilMs);

    const shardedServices = (): ServiceId[] =>
        [...view.config?.services.values() ?? []].filter(({ sharded }) => sharded).map(({ serviceId }) => serviceId);

    const loadsOf = (serviceId: ServiceId): KeyLoads => {
        const known = loadsByService.get(serviceId) ?? new KeyLoads();
        loadsByService.set(serviceId, known);
        return known;
    };

    const mayPlace = (serviceId: ServiceId, nowMs: number): boolean => {
        const placement = firstPlacements.get(serviceId) ?? new FirstPlacement();
        firstPlacements.set(serviceId, placement);
        return placement.isDue(view.targets.ofService(serviceId).length, loadsOf(serviceId).hasCounted, nowMs);
    };

    /** Grants what the ledger says, but for what is on the move. */
    const syncRanges = (handedOver: readonly HandedOver[] = []) => {
        holders.syncRanges(movingOf, handedOver);
    };

    const plan = (serviceId: ServiceId, nowMs: number): Move[] => {
        const ranges = new OwnerMap(view.ledger.ownerships()).rangesOf(serviceId);
        if (ranges.length === 0 && !mayPlace(serviceId, nowMs)) {
            return [];
        }
        const ids = new Set([...view.targets.ofService(serviceId), ...ranges].map(({ targetId }) => targetId));
        const targets = [...ids].map((targetId) => standings.forPlanner(targetId, nowMs));
        const loads = loadsOf(serviceId);
        loads.decay(nowMs);
        loads.expect(expectedUse * targets.reduce((sum, { standing, capacity }) => standing === "ready" ? sum + capacity : sum, 0));
        settling = settling.filter(({ untilMs }) => nowMs < untilMs);
        return planMoves({
            targets, ranges, loads,
            settling: settling.filter((one) => one.serviceId === serviceId).map(({ range }) => range),
            moving: movingOf(serviceId),
            awaiting: new Set([...moves].filter((active) => active.serviceId === serviceId).map(({ move }) => move.to)),
        }).filter(({ from }) => from === undefined || nowMs >= (retryAfterMs.get(from) ?? 0));
    };

    const assignmentOf = (serviceId: ServiceId, range: KeyRange, targetId: TargetId): Assignment =>
        ({ serviceId, range, targetId, address: view.targets.get(targetId)?.address ?? "" as Address });

    /** Ranges that nobody holds are given out together. */
    const assignFree = async (serviceId: ServiceId, planned: readonly Move[]) => {
        const active = planned.map((move) => ({ serviceId, move }));
        active.forEach((one) => moves.add(one));
        const freeAtMs = await Promise.all(planned.map(({ range }) => abandonOwner(serviceId, range)));
        const free = planned.filter((_move, index) => clock.now().monoMs > (freeAtMs[index] ?? 0));
        const result = await writer.assign(free.map(({ range, to }) => assignmentOf(serviceId, range, to)), "wait");
        active.forEach((one) => moves.delete(one));
        log.info("keys given out", { service: serviceId, moves: free.map(describeMove), ...result.isErr() ? { why: result.error.message } : {} });
        free.forEach((move) => {
            parts.onMove(move, result.isOk() ? "done" : "failed");
        });
        syncRanges();
        noticeChanged.fire();
    };

    /** A silent target that comes back just now must not be granted a range that is about to go to another. */
    const abandonOwner = async (serviceId: ServiceId, range: KeyRange): Promise<number> => {
        const owner = new OwnerMap(view.ledger.ownerships()).ownerOf(serviceId, range.from);
        const holder = owner === undefined ? undefined : holders.get(owner);
        const freeAtMs = await holder?.abandon(range) ?? Number.NEGATIVE_INFINITY;
        return owner === undefined || holder?.isCertainlyFree === true ? freeAtMs : Math.max(freeAtMs, parts.predecessor.grantsUntilMs);
    };

    /** A range that is only moved for balance goes back to its owner when the store falls away before the record is sent. */
    const record = (serviceId: ServiceId, move: Move) =>
        writer.assign([assignmentOf(serviceId, move.range, move.to)], move.reason === "leaving" ? "wait" : "or-refuse");

    const moveAway = async (serviceId: ServiceId, move: Move, from: TargetId) => {
        const active: ActiveMove = { serviceId, move };
        moves.add(active);
        moveBegun.fire();
        const startedMs = clock.now().monoMs;
        parts.onMove(move, "begun");
        const holder = holders.get(from);
        const released = await (move.reason === "leaving" ? releaseForCertain(holder, move.range) : holder?.release(move.range, balanceReleaseTimeoutMs));
        const releasedMs = clock.now().monoMs;
        const isFree = released?.kind === "released"
            || (released?.kind === "failed" && move.reason === "leaving" && await outwait(active, heldUntilMs(released.heldUntilMs, holder)));
        const assigned = isFree ? await record(serviceId, move) : undefined;
        moves.delete(active);
        const handover = released?.kind === "released" ? released.handover : undefined;
        syncRanges([{ range: move.range, handover }]);
        noticeChanged.fire();
        const done = assigned?.isOk() === true;
        if (done) {
            settling.push({ serviceId, range: move.range, untilMs: clock.now().monoMs + settleMs });
        }
        else {
            retryAfterMs.set(from, clock.now().monoMs + retryMoveMs);
        }
        parts.onMove(move, done ? "done" : "failed");
        log.info(done ? "keys moved" : "move given up", {
            service: serviceId, ...describeMove(move), from, handover: handover !== undefined,
            releaseMs: Math.round(releasedMs - startedMs), totalMs: Math.round(clock.now().monoMs - startedMs),
            ...released?.kind === "failed" ? { notReleased: `${released.failure.step}: ${released.failure.message}` } : {},
            ...assigned?.isErr() === true ? { notRecorded: assigned.error.message } : {},
        });
    };

    /** Time until the keys of a silent target can go to others. */
    const freeInMs = (holder: Holder, nowMs: number): number => {
        const heldMs = holder.isCertainlyFree ? 0 : Math.max(0, Math.max(holder.freeAtMs, parts.predecessor.grantsUntilMs) - nowMs);
        return writer.isSound(nowMs) ? heldMs : Math.max(heldMs, storeTroubleMs);
    };

    /** A full target resets connections; asking again costs less than waiting until its lease has run out. */
    const releaseForCertain = async (holder: Holder | undefined, range: KeyRange): Promise<ReleaseOutcome | undefined> => {
        const latestMs = clock.now().monoMs + retryReleaseForMs;
        let heldUntilMs = Number.NEGATIVE_INFINITY;
        for (;;) {
            const outcome = await holder?.release(range, leavingReleaseTimeoutMs);
            if (outcome?.kind !== "failed") {
                return outcome;
            }
            heldUntilMs = Math.max(heldUntilMs, outcome.heldUntilMs);
            if (clock.now().monoMs > latestMs || holder?.isSilent === true || holder?.hasEnded === true) {
                return { ...outcome, heldUntilMs };
            }
            await clock.sleep(retryReleaseMs);
        }
    };

    /** A target that has certainly ended holds nothing, whoever granted it. */
    const heldUntilMs = (grantedUntilMs: number, holder: Holder | undefined): number =>
        holder?.isCertainlyFree === true ? Number.NEGATIVE_INFINITY : Math.max(grantedUntilMs, parts.predecessor.grantsUntilMs);

    const outwait = async (active: ActiveMove, untilMs: number): Promise<boolean> => {
        const nowMs = clock.now().monoMs;
        if (untilMs > nowMs) {
            active.heldUntilMs = untilMs;
            noticeChanged.fire();
            await clock.sleep(untilMs - nowMs);
            active.heldUntilMs = undefined;
        }
        return true;
    };

    /** Nothing can be recorded while the store is in trouble, and nobody knows for how long. */
    const movingRange = ({ serviceId, move: { range }, heldUntilMs: untilMs }: ActiveMove, nowMs: number): MovingRange => {
        const storeMs = writer.isSound(nowMs) ? undefined : storeTroubleMs;
        const freeInMs = untilMs === undefined ? storeMs : Math.max(storeMs ?? 0, untilMs - nowMs);
        return { serviceId, from: range.from, to: range.to, ...freeInMs === undefined ? {} : { freeInMs: Math.round(freeInMs) } };
    };

    const planAll = () => {
        const now = clock.now();
        if (!parts.mayGrant(now) || now.monoMs < parts.predecessor.actsUntilMs) {
            return;
        }
        for (const serviceId of shardedServices()) {
            const planned = plan(serviceId, now.monoMs);
            const free = planned.filter(({ from }) => from === undefined);
            if (free.length > 0) {
                void assignFree(serviceId, free);
            }
            for (const move of planned) {
                if (move.from !== undefined && (move.reason === "leaving" || parts.mayBalance(now))) {
                    void moveAway(serviceId, move, move.from);
                }
            }
        }
    };

    return {
        noticeChanged, moveBegun,
        run: async (signal) => {
            while (!signal.aborted) {
                holders.syncTargets(shardedServices(), signal);
                syncRanges();
                planAll();
                await waitFor(clock, planMs, [poked, view.targetsChanged], signal);
            }
        },
        addLoads: (loads, nowMs) => {
            for (const { serviceId, pairs } of loads) {
                loadsOf(serviceId).add(pairs, nowMs);
            }
        },
        addPressures: (reported, nowMs) => {
            standings.addPressures(reported, nowMs);
        },
        notice: (nowMs) => ({
            moving: [...moves].filter(({ move }) => move.from !== undefined).map((active) => movingRange(active, nowMs)),
            silent: holders.all().filter(({ isSilent }) => isSilent)
                .map((holder) => ({ targetId: holder.targetId, freeInMs: Math.round(freeInMs(holder, nowMs)) })),
        }),
        grantsLastMs: (nowMs) => {
            const latestMs = Math.max(parts.predecessor.grantsUntilMs, ...holders.all().map(({ freeAtMs }) => freeAtMs));
            return Math.max(0, latestMs - nowMs) + holdBoundMs(0);
        },
        describe: (nowMs) => ({
            targets: holders.all().map((holder) => ({
                targetId: holder.targetId, standing: standings.of(holder.targetId, nowMs), ranges: holder.ranges,
                freeInMs: Math.round(holder.freeAtMs - nowMs),
            })),
            moves: [...moves].map(({ serviceId, move }) => ({ serviceId, ...describeMove(move) })),
        }),
    };
}

function describeMove({ range, from, to, reason }: Move): object {
    return { keys: `${String(range.from)}-${String(range.to)}`, from, to, reason };
}
