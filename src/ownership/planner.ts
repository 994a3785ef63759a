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
import type { OwnedRange } from "./ownerMap.js";
import { overlaps, withoutRange } from "./ranges.js";

/** How the planner may treat a target and its keys. */
export type TargetStanding =
    /** It may receive keys. */
    | "ready"
    /** It keeps its keys and receives none. */
    | "unsure"
    /** Its keys must move to other targets; it still answers. */
    | "leaving"
    /** It certainly holds no lease any more. */
    | "free";

/** A target as input of the planner. */
export interface PlannerTarget {
    targetId: TargetId;
    standing: TargetStanding;
    /** Work that it can do in parallel, in slots of an average target. */
    capacity: number;
    /** True if it stated a rate limit; `capacity` takes the limit into account. */
    isRateLimited: boolean;
    /** Number of moves away from it that may begin now. */
    maxMoves: number;
}

/** A planned change of owner. */
export interface Move {
    range: KeyRange;
    /** Undefined when no target holds the range. */
    from: TargetId | undefined;
    to: TargetId;
    reason: "unowned" | "leaving" | "balance" | "newcomer" | "rate-limit";
}

/** Input of the planner, for one service. */
export interface PlannerInput {
    targets: readonly PlannerTarget[];
    ranges: readonly OwnedRange[];
    loads: KeyLoads;
    /** Ranges that are being moved. */
    moving: readonly KeyRange[];
    /** Destinations of the moves in progress. */
    moveDestinations: ReadonlySet<TargetId>;
    /** Ranges that have moved recently; they are not moved for balance, since the reported loads do not show the effect yet. */
    recentlyMoved: readonly KeyRange[];
}

/** Only targets with a higher utilization are relieved; below it, requests hardly wait. */
const reliefUtilization = 0.65;

/** Smallest gain of a move for balance, in the unit of `congestion`. */
const minGain = 0.35;

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

/** A target with a rate limit gives up all its keys if the mean utilization of the others stays below this. */
const maxUtilizationAfterRelief = 0.8;

/** Number of sources and destinations that are considered for a move. */
const maxSources = 3;
const maxDestinations = 4;

/** Largest number of pieces into which one range of a lost or leaving target is cut. */
const maxPieces = 4;

/** Share of an average target's capacity that one such piece uses. */
const pieceShare = 0.25;

interface TargetLoad {
    target: PlannerTarget;
    load: number;
    /** True while the target owns no keys and is not the destination of a move in progress. */
    isEmpty: boolean;
}

/**
 * Plans the next moves of a service's keys. Moves for balance are planned only when no range has to be assigned.
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
    return gaps.flatMap((range) => split(range, input.loads, destinations, isFirstAssignment ? destinations.length : maxPieces)
        .map(({ piece, to }) => ({ range: piece, from: undefined, to, reason: "unowned" as const })));
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
        return split(range, input.loads, destinations, maxPieces).map(({ piece, to }): Move =>
            ({ range: piece, from: isLeaving ? range.targetId : undefined, to, reason: isLeaving ? "leaving" : "unowned" }));
    });
}

/**
 * Plans to move all keys away from targets whose rate limit is below their load, the most loaded ranges first. A target without keys
 * needs no calls at all, while few calls are possible to one that keeps some.
 */
function relieveRateLimited(input: PlannerInput, ready: readonly TargetLoad[], unlimited: readonly TargetLoad[]): Move[] {
    const capacity = unlimited.reduce((sum, { target }) => sum + target.capacity, 0);
    const excluded = [...input.moving, ...input.recentlyMoved];
    return ready.filter((source) => source.target.isRateLimited && utilization(source) > reliefUtilization).flatMap((source) => {
        const load = unlimited.reduce((sum, other) => sum + other.load, source.load);
        if (load > maxUtilizationAfterRelief * capacity) {
            return [];
        }
        const moves: Move[] = [];
        const ranges = input.ranges.filter((range) => range.targetId === source.target.targetId && !overlapsAny(range, excluded))
            .sort((left, right) => input.loads.loadOf(right) - input.loads.loadOf(left));
        for (const [index, range] of ranges.entries()) {
            const maxPiecesHere = Math.min(maxPieces, source.target.maxMoves - moves.length - (ranges.length - index - 1));
            if (moves.length < source.target.maxMoves) {
                moves.push(...split(range, input.loads, unlimited, Math.max(1, maxPiecesHere)).map(({ piece, to }): Move =>
                    ({ range: piece, from: source.target.targetId, to, reason: "rate-limit" })));
            }
        }
        return moves;
    });
}

/** Cuts a range into at most `limit` pieces of similar load and assigns each to the target that then has the lowest utilization. */
function split(range: KeyRange, loads: KeyLoads, destinations: readonly TargetLoad[], limit: number): { piece: KeyRange; to: TargetId }[] {
    const total = loads.loadOf(range);
    const meanCapacity = destinations.reduce((sum, { target }) => sum + target.capacity, 0) / destinations.length;
    const count = Math.max(1, Math.min(limit, limit === destinations.length ? limit : Math.ceil(total / (meanCapacity * pieceShare))));
    const result: { piece: KeyRange; to: TargetId }[] = [];
    let from = range.from;
    for (let index = 0; index < count && from <= range.to; index++) {
        const to = index === count - 1
            ? range.to
            : loads.lastKeyWithinLoad(from, range.to, loads.loadOf({ from, to: range.to }) / (count - index));
        const piece = { from, to };
        const destination = leastUtilized(destinations, loads.loadOf(piece));
        destination.load += loads.loadOf(piece);
        result.push({ piece, to: destination.target.targetId });
        from = to + 1 as Key;
    }
    return result;
}

function leastUtilized(candidates: readonly TargetLoad[], addedLoad: number): TargetLoad {
    return candidates.reduce((best, candidate) => utilization(candidate, addedLoad) < utilization(best, addedLoad) ? candidate : best);
}

function utilization({ target, load }: TargetLoad, addedLoad = 0): number {
    return (load + addedLoad) / Math.max(0.01, target.capacity);
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
        .filter((source) => utilization(source) > reliefUtilization || hasNewcomer);
    const fillLimit = Math.max(minFillLimit, mean * maxFillOverMean);
    const candidates = mostLoaded.flatMap((source) => {
        const movable = movableOf(input, source, leastLoaded, excluded);
        return leastLoaded.filter((destination) => destination !== source).flatMap((destination) => {
            const required = utilization(source) > reliefUtilization ? minGain
                : isNewcomer(destination, mean) ? minNewcomerGain : Number.POSITIVE_INFINITY;
            return piecesFor(movable, input.loads, idealLoad(source, destination, fillLimit))
                .map((range) => toCandidate(range, input.loads.loadOf(range), source, destination))
                .filter(({ gain }) => gain >= required);
        });
    });
    return candidates.reduce<Candidate | undefined>((best, one) => best === undefined || one.gain > best.gain ? one : best, undefined);
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

function overlapsAny(range: KeyRange, others: readonly KeyRange[]): boolean {
    return others.some((other) => overlaps(range, other));
}
