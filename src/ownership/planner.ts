/**
 * Plans which keys of a service move to which targets.
 *
 * Load pattern: a narrow run of neighbouring keys suddenly receives a large share of all requests, for some seconds. Its owner has
 * only a few slots, so the run is cut into pieces of similar load for the targets with the most spare capacity. The same cutting
 * assigns the keys of leaving and lost targets, and gives new targets their share.
 */
import type { Key, KeyRange, TargetId } from "../model/names.js";
import { allKeys } from "../model/names.js";
import type { KeyLoads } from "./keyLoads.js";
import type { Move, PlannerInput, TargetLoad } from "./plannerInput.js";
import { reliefUtilization, utilization } from "./plannerInput.js";
import { overlaps, overlapsAny, withoutRange } from "./ranges.js";
import { maxPieces, split, splitByLoad } from "./rangeSplitting.js";
import { relieveRateLimited } from "./rateLimitRelief.js";

/** Smallest gain of a move for balance, in the unit of `congestion`. */
const minGain = 0.35;

/** The same for moves away from a target that exceeds its rate limit: the excess is refused, so that relief is worth more. */
const minGainUnderRateLimit = 0.1;

/**
 * A target without keys whose utilization is below this share of the mean is a newcomer: it receives keys of the most loaded
 * targets even if they need no relief, when the gain of the move is at least `minNewcomerGain`.
 */
const newcomerShare = 0.15;
const minNewcomerGain = 0.02;

/** Cost of moving all keys, in the unit of `congestion`; moving some of them costs a proportional share. */
const costOfAllKeys = 1.5;

/** A key with at least this share of a target's capacity is also considered for a move of its own. */
const hotKeyShare = 0.3;

/** Limit of the moves for balance that are planned at once: this many, or one per `targetsPerMove` targets if that is more. */
const minBalanceMoves = 16;
const targetsPerMove = 6;

/** A move fills its destination up to this multiple of the mean utilization, or up to `minFillLimit` where targets are more idle. */
const maxFillOverMean = 1.15;
const minFillLimit = 0.6;

/** Number of sources and destinations that are considered for a move. */
const maxSources = 3;
const maxDestinations = 4;

/**
 * Plans the next moves of a service's keys. Moves for balance are planned only when no range has to be assigned, and no target with a low
 * rate limit has keys to give up.
 * @returns moves that overlap neither each other nor those in progress
 */
export function planMoves(input: PlannerInput): Move[] {
    const targetLoads = sumTargetLoads(input);
    const ready = [...targetLoads.values()].filter(({ target }) => target.standing === "ready");
    if (ready.length === 0) {
        return [];
    }
    const unlimited = ready.filter(({ target }) => !target.isRateLimited);
    const destinations = unlimited.length > 0 ? unlimited : ready;
    const assigned = [
        ...assignUnowned(input, destinations),
        ...reassignDisplaced(input, targetLoads, destinations),
    ];
    if (assigned.length > 0) {
        return assigned;
    }
    const relieving = relieveRateLimited(input, ready, unlimited);
    return relieving.length > 0 ? relieving : balance(input, targetLoads, destinations);
}

function sumTargetLoads({ targets, ranges, loads, moveDestinations }: PlannerInput): Map<TargetId, TargetLoad> {
    const targetLoads = new Map<TargetId, TargetLoad>(
        targets.map((target) => [target.targetId, { target, load: 0, isEmpty: !moveDestinations.has(target.targetId) }]));
    for (const range of ranges) {
        const owner = targetLoads.get(range.targetId);
        if (owner !== undefined) {
            owner.load += loads.loadOf(range);
            owner.isEmpty = false;
        }
    }
    return targetLoads;
}

function assignUnowned(input: PlannerInput, destinations: readonly TargetLoad[]): Move[] {
    const gaps = gapsOf(input.ranges).filter((range) => !overlapsAny(range, input.moving));
    const isFirstAssignment = input.ranges.length === 0;
    return gaps.flatMap((range) => (isFirstAssignment
        ? split(range, input.loads, destinations, destinations.length)
        : splitByLoad(range, input.loads, destinations, maxPieces)
    ).map(({ piece, to }) => ({ range: piece, from: undefined, to, reason: "unowned" as const })));
}

function reassignDisplaced(
    input: PlannerInput, targetLoads: ReadonlyMap<TargetId, TargetLoad>, destinations: readonly TargetLoad[],
): Move[] {
    const displaced = input.ranges.filter((range) => {
        const standing = targetLoads.get(range.targetId)?.target.standing ?? "free";
        return (standing === "leaving" || standing === "free") && !overlapsAny(range, input.moving);
    });
    return displaced.flatMap((range) => {
        const isLeaving = targetLoads.get(range.targetId)?.target.standing === "leaving";
        return splitByLoad(range, input.loads, destinations, maxPieces).map(({ piece, to }): Move =>
            ({ range: piece, from: isLeaving ? range.targetId : undefined, to, reason: isLeaving ? "leaving" : "unowned" }));
    });
}

/**
 * Returns what a load costs at a target. Like waiting times, the cost grows faster than the load, so a move is worth making when it
 * saves more at its source than it costs at its destination.
 */
function congestion({ target }: TargetLoad, load: number): number {
    return load * load / Math.max(0.01, target.capacity);
}

interface Candidate {
    range: KeyRange;
    load: number;
    source: TargetLoad;
    destination: TargetLoad;
    gain: number;
}

function balance(input: PlannerInput, targetLoads: ReadonlyMap<TargetId, TargetLoad>, destinations: readonly TargetLoad[]): Move[] {
    const moves: Move[] = [];
    const excluded: KeyRange[] = [...input.moving, ...input.recentlyMoved];
    const sources = [...targetLoads.values()].filter(({ target }) => target.standing === "ready");
    const mean = meanUtilization(sources);
    const maxMoves = Math.max(minBalanceMoves, Math.ceil(sources.length / targetsPerMove));
    while (moves.length < maxMoves) {
        const best = bestCandidate(input, sources, destinations, excluded, mean);
        if (best === undefined) {
            break;
        }
        moves.push({
            range: best.range, from: best.source.target.targetId, to: best.destination.target.targetId,
            reason: isNewcomer(best.destination, mean) ? "newcomer" : "balance",
        });
        best.source.load -= best.load;
        best.destination.load += best.load;
        excluded.push(best.range);
    }
    return moves;
}

function bestCandidate(
    input: PlannerInput, sources: readonly TargetLoad[], destinations: readonly TargetLoad[], excluded: readonly KeyRange[], mean: number,
): Candidate | undefined {
    const leastLoaded = [...destinations].sort((left, right) => utilization(left) - utilization(right)).slice(0, maxDestinations);
    const hasNewcomer = leastLoaded.some((destination) => isNewcomer(destination, mean));
    const mostLoaded = [...sources].sort((left, right) => utilization(right) - utilization(left)).slice(0, maxSources)
        .filter((source) => utilization(source) > reliefUtilizationOf(source) || hasNewcomer);
    const fillLimit = Math.max(minFillLimit, mean * maxFillOverMean);
    const candidates = mostLoaded.flatMap((source) => {
        const movable = movableOf(input, source, leastLoaded, excluded);
        return leastLoaded.filter((destination) => destination !== source).flatMap((destination) => {
            const required = utilization(source) > reliefUtilizationOf(source) ? minGainOf(source)
                : isNewcomer(destination, mean) ? minNewcomerGain : Number.POSITIVE_INFINITY;
            return piecesFor(movable, input.loads, idealLoad(source, destination, fillLimit))
                .map((range) => toCandidate(range, input.loads.loadOf(range), source, destination))
                .filter(({ gain }) => gain >= required);
        });
    });
    return candidates.reduce<Candidate | undefined>((best, one) => best === undefined || one.gain > best.gain ? one : best, undefined);
}

/** A target with a rate limit is relieved only when it exceeds the limit, since moves away from it are few. */
function reliefUtilizationOf({ target }: TargetLoad): number {
    return target.isRateLimited ? 1 : reliefUtilization;
}

function minGainOf({ target }: TargetLoad): number {
    return target.isRateLimited ? minGainUnderRateLimit : minGain;
}

function toCandidate(range: KeyRange, load: number, source: TargetLoad, destination: TargetLoad): Candidate {
    const saved = congestion(source, source.load) - congestion(source, source.load - load);
    const added = congestion(destination, destination.load + load) - congestion(destination, destination.load);
    const cost = costOfAllKeys * (range.to - range.from + 1) / (allKeys.to + 1);
    return { range, load, source, destination, gain: saved - added - cost };
}

function meanUtilization(targetLoads: readonly TargetLoad[]): number {
    const capacity = targetLoads.reduce((sum, { target }) => sum + target.capacity, 0);
    return targetLoads.reduce((sum, { load }) => sum + load, 0) / Math.max(0.01, capacity);
}

function isNewcomer(targetLoad: TargetLoad, mean: number): boolean {
    return targetLoad.isEmpty && !targetLoad.target.isRateLimited && utilization(targetLoad) < mean * newcomerShare;
}

/** Ranges that a source may move away. */
interface MovableRanges {
    /** Ranges of the source, without the parts that are moving or have moved recently. */
    ranges: readonly KeyRange[];
    hotKeys: readonly KeyRange[];
}

function movableOf(
    input: PlannerInput, source: TargetLoad, destinations: readonly TargetLoad[], excluded: readonly KeyRange[],
): MovableRanges {
    const ranges = input.ranges.filter((range) => range.targetId === source.target.targetId)
        .flatMap((range) => excluded.filter((other) => overlaps(range, other)).reduce<readonly KeyRange[]>(withoutRange, [range]));
    const minCapacity = destinations.reduce((least, { target }) => Math.min(least, target.capacity), source.target.capacity);
    return { ranges, hotKeys: ranges.flatMap((range) => hotKeysOf(range, input.loads, minCapacity * hotKeyShare)) };
}

/**
 * Returns the load to move to a destination: at most what makes the utilization of both equal, and at most what leaves room
 * for the loads of other moves, since a piece cannot be cut again while it moves.
 */
function idealLoad(source: TargetLoad, destination: TargetLoad, fillLimit: number): number {
    const { capacity: atSource } = source.target;
    const { capacity: atDestination } = destination.target;
    return Math.min(
        (source.load * atDestination - destination.load * atSource) / (atSource + atDestination),
        fillLimit * atDestination - destination.load);
}

/** Lists the pieces that may move to a destination: the start or end of a range with about the ideal load, or a single hot key. */
function piecesFor({ ranges, hotKeys }: MovableRanges, loads: KeyLoads, ideal: number): KeyRange[] {
    return [...ranges.flatMap((range) => endsOf(range, loads, ideal)), ...hotKeys];
}

function endsOf(range: KeyRange, loads: KeyLoads, wantedLoad: number): KeyRange[] {
    const total = loads.loadOf(range);
    if (wantedLoad <= 0) {
        return [];
    }
    if (total <= wantedLoad) {
        return [{ from: range.from, to: range.to }];
    }
    const headEnd = loads.lastKeyWithinLoad(range.from, range.to, wantedLoad);
    const tailStart = loads.lastKeyWithinLoad(range.from, range.to, total - wantedLoad) + 1 as Key;
    return [
        { from: range.from, to: headEnd },
        ...tailStart <= range.to ? [{ from: tailStart, to: range.to }] : [],
    ];
}

function hotKeysOf(range: KeyRange, loads: KeyLoads, minLoad: number): KeyRange[] {
    return loads.keysAbove(range, minLoad).map((key) => ({ from: key, to: key }));
}

/** Lists the ranges of keys that no given range covers. */
export function gapsOf(ranges: readonly KeyRange[]): KeyRange[] {
    const gaps: KeyRange[] = [];
    let next: number = allKeys.from;
    for (const { from, to } of [...ranges].sort((left, right) => left.from - right.from)) {
        if (from > next) {
            gaps.push({ from: next as Key, to: from - 1 as Key });
        }
        next = Math.max(next, to + 1);
    }
    if (next <= allKeys.to) {
        gaps.push({ from: next as Key, to: allKeys.to });
    }
    return gaps;
}
