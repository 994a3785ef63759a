/**
 * Manages the ownership of keys on behalf of the coordinator: grants leases on the ranges that the ledger assigns, moves ranges
 * between targets, and reassigns the ranges of lost targets.
 */
import type { Address, KeyRange, ServiceId, TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import type { FenceCounter } from "./fences.js";
import { FirstAssignment } from "./firstAssignment.js";
import type { LeaseManager, LeaseManagerDependencies } from "./leaseManager.js";
import type { RangeHandover } from "./leaseTable.js";
import { releaseFromLeaving } from "./leavingRelease.js";
import { createLeaseManagerSet } from "./leaseManagerSet.js";
import { KeyLoads } from "./keyLoads.js";
import type { LeasePort } from "./leasePort.js";
import { maxTimeToExpiryMs } from "./leaseTerms.js";
import type { KeyLoadReport } from "./loadMeter.js";
import type { LedgerWriter } from "./ledgerWriter.js";
import type { OwnershipRecord } from "./ledgerRecords.js";
import { OwnerMap } from "./ownerMap.js";
import type { Assignment } from "./ownershipDraft.js";
import type { MovingRange, OwnershipNotice } from "./ownerLookup.js";
import { MovePacing } from "./movePacing.js";
import type { Move } from "./plannerInput.js";
import { planMoves } from "./planner.js";
import type { Predecessor } from "./predecessor.js";
import { earlierGrantsUntilMs } from "./predecessor.js";
import { contains, overlaps } from "./ranges.js";
import type { TargetPressure } from "./targetPressure.js";
import { TargetStandings } from "./targetStandings.js";

const planIntervalMs = 150;

/** A move for balance is cancelled when the work in progress on its range takes longer than this. */
const balanceReleaseTimeoutMs = 700;

/** A range that has moved is not moved for balance for this long, until load reports show the effect of the move. */
const balanceCooldownMs = 1_000;

/** A store that does not respond properly is expected to be unavailable for at least this long. */
const minStoreOutageMs = 2_500;

/** Share of a service's capacity that requests are expected to use, as long as less work has been reported. */
const expectedUtilization = 0.3;

/** Dependencies and callbacks of the ownership manager. */
export interface OwnershipManagerDependencies {
    view: ClusterView;
    leases: LeasePort;
    writer: LedgerWriter;
    fences: FenceCounter;
    clock: Clock;
    log: Log;
    mayGrant: (now: Instant) => boolean;
    /** See `LeaseManagerDependencies`. */
    mayUseNewFences: () => boolean;
    /**
     * Tells whether keys may be moved for balance. No target holds a range between its release and the record of its new owner, so the
     * store must respond.
     */
    mayBalance: (now: Instant) => boolean;
    /** Returns the duration of a lease that is granted now. */
    holdMs: (now: Instant) => number;
    /** Longest permitted duration of a lease. */
    maxHoldMs: number;
    predecessor: Predecessor;
    /** Called when a target has seen a higher fencing token than those of this term. */
    onOutdated: () => void;
    /** Called when a move begins and when it ends. */
    onMove: (move: Move, outcome: "begun" | "done" | "failed") => void;
}

interface ActiveMove {
    serviceId: ServiceId;
    move: Move;
    /** Set while the move waits for a lease of the former owner to expire. */
    heldUntilMs?: number;
}

/** Manages the owners of all sharded services while this host coordinates. */
export interface OwnershipManager {
    /** Fires when the notice has changed for any reason other than the beginning of a move. */
    readonly noticeChanged: Signal;
    /** Fires when a move begins. */
    readonly moveStarted: Signal;
    /**
     * Plans and moves until aborted, and grants.
     * @param signal ends planning
     * @param leaseSignal ends the renewal of leases
     */
    run(signal: AbortSignal, leaseSignal: AbortSignal): Promise<void>;
    /** Adds the work by key that a host has reported. */
    addLoads(loads: readonly KeyLoadReport[], nowMs: number): void;
    /** Records how slow targets are, as a host has reported it. */
    addPressures(pressures: readonly TargetPressure[], nowMs: number): void;
    /** Returns the moving ranges and the silent targets, for all hosts. */
    notice(nowMs: number): OwnershipNotice;
    /** Returns the time from now until no lease granted by this or an earlier coordinator is in force. */
    grantsLastMs(nowMs: number): number;
    /** Returns until when a target may hold leases that this or an earlier coordinator granted, in monotonic time. */
    grantedUntilMs(targetId: TargetId, nowMs: number): number;
    /** Returns the state of targets and moves for the dump. */
    describe(nowMs: number): object;
}

/** Creates the ownership manager; it does nothing until `run` is called. */
export function createOwnershipManager(dependencies: OwnershipManagerDependencies): OwnershipManager {
    const { view, clock, log, writer } = dependencies;
    const loadsByService = new Map<ServiceId, KeyLoads>();
    const firstAssignments = new Map<ServiceId, FirstAssignment>();
    const activeMoves = new Set<ActiveMove>();
    const movePacing = new MovePacing();
    let cooldowns: { serviceId: ServiceId; range: KeyRange; untilMs: number }[] = [];
    const noticeChanged = new Signal();
    const moveStarted = new Signal();
    const replan = new Signal();
    let ownersKnown: { records: readonly OwnershipRecord[]; map: OwnerMap } | undefined;

    const grantedBeforeUntilMs = (targetId: TargetId) => earlierGrantsUntilMs(dependencies.predecessor, targetId);

    const movingRangesOf = (serviceId: ServiceId): KeyRange[] =>
        [...activeMoves].filter((active) => active.serviceId === serviceId).map(({ move }) => move.range);

    const isAnyMoving = (movingServiceId: ServiceId, range: KeyRange): boolean => {
        for (const { serviceId, move } of activeMoves) {
            if (serviceId === movingServiceId && overlaps(move.range, range)) {
                return true;
            }
        }
        return false;
    };

    /** Owners by the ledger; built anew only when the ledger's records have changed. */
    const ownerMap = (): OwnerMap => {
        const records = view.ledger.ownerships();
        if (ownersKnown?.records !== records) {
            ownersKnown = { records, map: new OwnerMap(records) };
        }
        return ownersKnown.map;
    };

    const leaseManagerDependencies: LeaseManagerDependencies = {
        leases: dependencies.leases, fences: dependencies.fences, clock, log,
        mayGrant: dependencies.mayGrant, mayUseNewFences: dependencies.mayUseNewFences,
        holdMs: dependencies.holdMs, maxHoldMs: dependencies.maxHoldMs,
        rateLimitOf: (targetId) => standings.rateLimitOf(targetId, clock.now().monoMs),
        onOutdated: dependencies.onOutdated,
        onLeaving: (leaving) => {
            view.recordLeaving(leaving, clock.now().monoMs);
        },
        predecessorActsUntilMs: dependencies.predecessor.actsUntilMs,
        isRecorded: (targetId, range) => {
            const record = view.ledger.ownershipOf(targetId);
            return record?.ranges.some((owned) => contains(owned, range)) === true && !isAnyMoving(record.serviceId, range);
        },
    };
    const leaseManagers = createLeaseManagerSet(view, leaseManagerDependencies, () => {
        noticeChanged.fire();
        replan.fire();
    });
    const standings = new TargetStandings(view, leaseManagers, grantedBeforeUntilMs, movePacing);

    const shardedServices = (): ServiceId[] =>
        [...view.config?.services.values() ?? []].filter(({ sharded }) => sharded).map(({ serviceId }) => serviceId);

    const loadsOf = (serviceId: ServiceId): KeyLoads => {
        const loads = loadsByService.get(serviceId) ?? new KeyLoads();
        loadsByService.set(serviceId, loads);
        return loads;
    };

    const isFirstAssignmentDue = (serviceId: ServiceId, nowMs: number): boolean => {
        const firstAssignment = firstAssignments.get(serviceId) ?? new FirstAssignment();
        firstAssignments.set(serviceId, firstAssignment);
        return firstAssignment.isDue(view.targets.ofService(serviceId).length, loadsOf(serviceId).hasWork, nowMs);
    };

    /** Updates the granted ranges from the ledger, without the ranges that are being moved. */
    const syncRanges = (handedOver: readonly RangeHandover[] = []) => {
        leaseManagers.syncRanges(movingRangesOf, handedOver);
    };

    const plan = (serviceId: ServiceId, nowMs: number): Move[] => {
        const ranges = ownerMap().rangesOf(serviceId);
        if (ranges.length === 0 && !isFirstAssignmentDue(serviceId, nowMs)) {
            return [];
        }
        const ids = new Set([...view.targets.ofService(serviceId), ...ranges].map(({ targetId }) => targetId));
        const targets = [...ids].map((targetId) => standings.toPlannerTarget(targetId, nowMs));
        const loads = loadsOf(serviceId);
        loads.advanceTo(nowMs);
        loads.setExpectedLoad(
            expectedUtilization * targets.reduce((sum, { standing, capacity }) => standing === "ready" ? sum + capacity : sum, 0));
        cooldowns = cooldowns.filter(({ untilMs }) => nowMs < untilMs);
        const planned = planMoves({
            targets, ranges, loads,
            recentlyMoved: cooldowns.filter((cooldown) => cooldown.serviceId === serviceId).map(({ range }) => range),
            moving: movingRangesOf(serviceId),
            moveDestinations: new Set([...activeMoves].filter((active) => active.serviceId === serviceId).map(({ move }) => move.to)),
        });
        return movePacing.select(planned, (targetId) => standings.rateLimitOf(targetId, nowMs), nowMs);
    };

    const assignmentOf = (serviceId: ServiceId, range: KeyRange, targetId: TargetId): Assignment =>
        ({ serviceId, range, targetId, address: view.targets.get(targetId)?.address ?? "" as Address });

    /** Assigns ranges that no target holds any more, all in one append. */
    const assignUnowned = async (serviceId: ServiceId, planned: readonly Move[]) => {
        const active = planned.map((move) => ({ serviceId, move }));
        active.forEach((one) => activeMoves.add(one));
        const freeAtMs = await Promise.all(planned.map(({ range }) => abandonSilentOwner(serviceId, range)));
        const free = planned.filter((_move, index) => clock.now().monoMs > (freeAtMs[index] ?? 0));
        const result = await writer.assign(free.map(({ range, to }) => assignmentOf(serviceId, range, to)), "wait");
        active.forEach((one) => activeMoves.delete(one));
        log.info("assignment of unowned keys finished", {
            service: serviceId, moves: free.map(describeMove), ...result.isErr() ? { why: result.error.message } : {},
        });
        free.forEach((move) => {
            dependencies.onMove(move, result.isOk() ? "done" : "failed");
        });
        syncRanges();
        noticeChanged.fire();
    };

    /**
     * Stops granting a range to its silent owner, so that an owner that answers again at this moment is not granted a range that is
     * about to be assigned to another target.
     * @returns monotonic time after which the owner does not hold the range
     */
    const abandonSilentOwner = async (serviceId: ServiceId, range: KeyRange): Promise<number> => {
        const owner = ownerMap().ownerOf(serviceId, range.from);
        const manager = owner === undefined ? undefined : leaseManagers.get(owner);
        const freeAtMs = await manager?.abandon(range) ?? Number.NEGATIVE_INFINITY;
        const wasNeverOwned = owner === undefined && !view.ledger.isOwnershipUnreadable;
        return wasNeverOwned || manager?.isCertainlyFree === true
            ? freeAtMs
            : Math.max(freeAtMs, owner === undefined ? dependencies.predecessor.grantsUntilMs : grantedBeforeUntilMs(owner));
    };

    /**
     * Records the new owner. When the store fails before the record is sent, a range of a leaving target waits for the store, and a range
     * that moves for balance goes back to its owner.
     */
    const recordMove = (serviceId: ServiceId, move: Move) =>
        writer.assign([assignmentOf(serviceId, move.range, move.to)], move.reason === "leaving" ? "wait" : "refuse");

    const moveOwnedRange = async (serviceId: ServiceId, move: Move, from: TargetId) => {
        const active: ActiveMove = { serviceId, move };
        activeMoves.add(active);
        moveStarted.fire();
        const startedMs = clock.now().monoMs;
        movePacing.recordStart(from, startedMs);
        dependencies.onMove(move, "begun");
        const manager = leaseManagers.get(from);
        const released = await (move.reason === "leaving"
            ? releaseFromLeaving(manager, move.range, clock)
            : manager?.release(move.range, balanceReleaseTimeoutMs));
        const releasedMs = clock.now().monoMs;
        const isFree = released?.kind === "released"
            || (released?.kind === "failed" && move.reason === "leaving"
                && await awaitExpiry(active, leaseEndMs(released.heldUntilMs, from)));
        const assigned = isFree ? await recordMove(serviceId, move) : undefined;
        activeMoves.delete(active);
        const handover = released?.kind === "released" ? released.handover : undefined;
        syncRanges([{ range: move.range, handover }]);
        noticeChanged.fire();
        const isDone = assigned?.isOk() === true;
        if (isDone) {
            cooldowns.push({ serviceId, range: move.range, untilMs: clock.now().monoMs + balanceCooldownMs });
        }
        else {
            movePacing.recordFailure(from, clock.now().monoMs);
        }
        dependencies.onMove(move, isDone ? "done" : "failed");
        log.info(isDone ? "keys moved" : "move of keys failed", {
            service: serviceId, ...describeMove(move), from, handover: handover !== undefined,
            releaseMs: Math.round(releasedMs - startedMs), totalMs: Math.round(clock.now().monoMs - startedMs),
            ...released?.kind === "failed" ? { notReleased: `${released.failure.step}: ${released.failure.message}` } : {},
            ...assigned?.isErr() === true ? { notRecorded: assigned.error.message } : {},
        });
    };

    /** Returns the time until the keys of a silent target can be assigned to other targets. */
    const freeInMs = (manager: LeaseManager, nowMs: number): number => {
        const heldMs = manager.isCertainlyFree
            ? 0
            : Math.max(0, Math.max(manager.freeAtMs, grantedBeforeUntilMs(manager.targetId)) - nowMs);
        return writer.isStoreResponding(nowMs) ? heldMs : Math.max(heldMs, minStoreOutageMs);
    };

    /** Includes leases granted by earlier coordinators; a target whose process has certainly ended holds none, whoever granted it. */
    const leaseEndMs = (grantedUntilMs: number, from: TargetId): number =>
        leaseManagers.get(from)?.isCertainlyFree === true ? Number.NEGATIVE_INFINITY : Math.max(grantedUntilMs, grantedBeforeUntilMs(from));

    const awaitExpiry = async (active: ActiveMove, untilMs: number): Promise<boolean> => {
        const nowMs = clock.now().monoMs;
        if (untilMs > nowMs) {
            active.heldUntilMs = untilMs;
            log.info("move waits for a lease to expire", { ...describeMove(active.move), waitMs: Math.round(untilMs - nowMs) });
            noticeChanged.fire();
            await clock.sleep(untilMs - nowMs);
            active.heldUntilMs = undefined;
        }
        return true;
    };

    /** Describes a move for the notice. While the store fails, no owner can be recorded, and it is unknown when that ends. */
    const movingRange = ({ serviceId, move: { range }, heldUntilMs: untilMs }: ActiveMove, nowMs: number): MovingRange => {
        const outageMs = writer.isStoreResponding(nowMs) ? undefined : minStoreOutageMs;
        const freeInMs = untilMs === undefined ? outageMs : Math.max(outageMs ?? 0, untilMs - nowMs);
        return { serviceId, from: range.from, to: range.to, ...freeInMs === undefined ? {} : { freeInMs: Math.round(freeInMs) } };
    };

    const startPlannedMoves = () => {
        const now = clock.now();
        if (!dependencies.mayGrant(now) || now.monoMs < dependencies.predecessor.actsUntilMs) {
            return;
        }
        for (const serviceId of shardedServices()) {
            const planned = plan(serviceId, now.monoMs);
            const unowned = planned.filter(({ from }) => from === undefined);
            if (unowned.length > 0) {
                void assignUnowned(serviceId, unowned);
            }
            for (const move of planned) {
                if (move.from !== undefined && (move.reason === "leaving" || dependencies.mayBalance(now))) {
                    void moveOwnedRange(serviceId, move, move.from);
                }
            }
        }
    };

    return {
        noticeChanged, moveStarted,
        run: async (signal, leaseSignal) => {
            while (!signal.aborted) {
                leaseManagers.syncTargets(shardedServices(), leaseSignal);
                syncRanges();
                startPlannedMoves();
                await waitFor(clock, planIntervalMs, [replan, view.targetsChanged], signal);
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
            moving: [...activeMoves].filter(({ move }) => move.from !== undefined).map((active) => movingRange(active, nowMs)),
            silent: leaseManagers.all().filter(({ isSilent }) => isSilent)
                .map((manager) => ({ targetId: manager.targetId, freeInMs: Math.round(freeInMs(manager, nowMs)) })),
        }),
        grantsLastMs: (nowMs) => {
            const latestMs = Math.max(dependencies.predecessor.grantsUntilMs, ...leaseManagers.all().map(({ freeAtMs }) => freeAtMs));
            return Math.max(0, latestMs - nowMs) + maxTimeToExpiryMs(0);
        },
        grantedUntilMs: (targetId, nowMs) => {
            const manager = leaseManagers.get(targetId);
            const isMoving = [...activeMoves].some(({ move }) => move.from === targetId);
            const pendingUntilMs = isMoving ? nowMs + maxTimeToExpiryMs(dependencies.maxHoldMs) : Number.NEGATIVE_INFINITY;
            const earlierUntilMs = manager?.isCertainlyFree === true ? Number.NEGATIVE_INFINITY : grantedBeforeUntilMs(targetId);
            return Math.max(manager?.freeAtMs ?? Number.NEGATIVE_INFINITY, pendingUntilMs, earlierUntilMs);
        },
        describe: (nowMs) => ({
            targets: leaseManagers.all().map((manager) => ({
                targetId: manager.targetId, standing: standings.standingOf(manager.targetId, nowMs), ranges: manager.ranges,
                freeInMs: Math.round(manager.freeAtMs - nowMs),
            })),
            moves: [...activeMoves].map(({ serviceId, move }) => ({ serviceId, ...describeMove(move) })),
        }),
    };
}

function describeMove({ range, from, to, reason }: Move): object {
    return { keys: `${String(range.from)}-${String(range.to)}`, from, to, reason };
}
