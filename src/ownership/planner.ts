/**
 * Decides which keys move where.
 *
 * Load pattern: a narrow run of neighbouring keys suddenly gets a large share of all requests, for seconds. Its owner has
 * a few slots only, so the run is cut into pieces of similar load that go to the targets with the most room. The same
 * cutting places the keys of targets that leave or are lost, and gives new targets their part.
 */
import type { Key, KeyRange, TargetId } from "../model/names.js";
import { allKeys } from "../model/names.js";
import type { KeyLoads } from "./keyLoads.js";
import type { OwnedRange } from "./ownerMap.js";
import { overlaps, withoutRange } from "./ranges.js";

/** What may be done with a target's keys. */
export type TargetStanding =
    /** It takes keys. */
    | "ready"
    /** It keeps what it has and gets nothing new. */
    | "unsure"
    /** Its keys must go elsewhere; it still answers. */
    | "leaving"
    /** It certainly holds nothing any more. */
    | "free";

/** A target as the planner sees it. */
export interface PlannerTarget {
    targetId: TargetId;
    standing: TargetStanding;
    /** Work that it can do at once, in slots of an average target. */
    capacity: number;
}

/** A change to make. */
export interface Move {
    range: KeyRange;
    /** Undefined when nobody holds the range. */
    from: TargetId | undefined;
    to: TargetId;
    reason: "unowned" | "leaving" | "balance" | "newcomer";
}

/** What the planner looks at. */
export interface PlannerInput {
    targets: readonly PlannerTarget[];
    ranges: readonly OwnedRange[];
    loads: KeyLoads;
    /** Ranges whose move is under way. */
    moving: readonly KeyRange[];
    /** Targets that they move to. */
    awaiting: ReadonlySet<TargetId>;
    /** Ranges that moved a moment ago; the effect of that is not seen yet, so balance leaves them where they are. */
    settling: readonly KeyRange[];
}

/** Only targets above this share of their capacity are relieved; below it work hardly waits. */
const relieveAbove = 0.65;

/** Least improvement that is worth a move, in the unit of `strain`. */
const minGain = 0.35;

/** A target without keys gets some of the fullest one's, whether that one needs relief or not, up to this share of the mean load. */
const newcomerShare = 0.15;
const minNewcomerGain = 0.02;

/** What moving all keys would have to gain; a move of a part of them that part of it. */
const costOfAllKeys = 1.5;

/** A key with at least this share of a target's capacity is looked at by itself. */
const hotKeyShare = 0.3;

/** Moves for balance begun at once: this many, or one for so many targets. */
const minBalanceMoves = 16;
const targetsPerMove = 6;

/** A move fills its taker no further than this above the mean of all targets, or to the second where they are idle. */
const fillAboveMean = 1.15;
const leastFill = 0.6;

/** Targets that are considered as givers and as takers of a move. */
const maxGivers = 3;
const maxTakers = 4;

/** Pieces into which the keys of one lost or leaving target are cut at most. */
const maxPieces = 4;

/** Share of a target's capacity that one such piece fills. */
const pieceShare = 0.25;

interface Account {
    target: PlannerTarget;
    load: number;
    /** True while the target owns no keys and none are on their way to it. */
    isEmpty: boolean;
}

/**
 * Plans the next moves of a service's keys.
 * @param input what is known
 * @returns moves that do not overlap each other or those under way
 */
export function planMoves(input: PlannerInput): Move[] {
    const accounts = openAccounts(input);
    const takers = [...accounts.values()].filter(({ target }) => target.standing === "ready");
    if (takers.length === 0) {
        return [];
    }
    const placed = [
        ...placeUnowned(input, takers),
        ...placeDisplaced(input, accounts, takers),
    ];
    return [...placed, ...placed.length > 0 ? [] : balance(input, accounts, takers)];
}

function openAccounts({ targets, ranges, loads, awaiting }: PlannerInput): Map<TargetId, Account> {
    const accounts = new Map<TargetId, Account>(
        targets.map((target) => [target.targetId, { target, load: 0, isEmpty: !awaiting.has(target.targetId) }]));
    for (const range of ranges) {
        const account = accounts.get(range.targetId);
        if (account !== undefined) {
            account.load += loads.of(range);
            account.isEmpty = false;
        }
    }
    return accounts;
}

function placeUnowned(input: PlannerInput, takers: readonly Account[]): Move[] {
    const gaps = gapsOf(input.ranges).filter((range) => !overlapsAny(range, input.moving));
    const isEmpty = input.ranges.length === 0;
    return gaps.flatMap((range) => spread(range, input.loads, takers, isEmpty ? takers.length : maxPieces)
        .map(({ piece, to }) => ({ range: piece, from: undefined, to, reason: "unowned" as const })));
}

function placeDisplaced(input: PlannerInput, accounts: ReadonlyMap<TargetId, Account>, takers: readonly Account[]): Move[] {
    const displaced = input.ranges.filter((range) => {
        const standing = accounts.get(range.targetId)?.target.standing ?? "free";
        return (standing === "leaving" || standing === "free") && !overlapsAny(range, input.moving);
    });
    return displaced.flatMap((range) => {
        const leaving = accounts.get(range.targetId)?.target.standing === "leaving";
        return spread(range, input.loads, takers, maxPieces).map(({ piece, to }): Move =>
            ({ range: piece, from: leaving ? range.targetId : undefined, to, reason: leaving ? "leaving" : "unowned" }));
    });
}

/** Cuts a range into pieces of similar load, each for the target that is then the least full. */
function spread(range: KeyRange, loads: KeyLoads, takers: readonly Account[], pieces: number): { piece: KeyRange; to: TargetId }[] {
    const total = loads.of(range);
    const room = takers.reduce((sum, { target }) => sum + target.capacity, 0) / takers.length;
    const count = Math.max(1, Math.min(pieces, pieces === takers.length ? pieces : Math.ceil(total / (room * pieceShare))));
    const result: { piece: KeyRange; to: TargetId }[] = [];
    let from = range.from;
    for (let index = 0; index < count && from <= range.to; index++) {
        const to = index === count - 1 ? range.to : loads.endOfLoad(from, range.to, loads.of({ from, to: range.to }) / (count - index));
        const piece = { from, to };
        const taker = leastFull(takers, loads.of(piece));
        taker.load += loads.of(piece);
        result.push({ piece, to: taker.target.targetId });
        from = to + 1 as Key;
    }
    return result;
}

function leastFull(takers: readonly Account[], more: number): Account {
    return takers.reduce((best, account) => fullness(account, more) < fullness(best, more) ? account : best);
}

function fullness({ target, load }: Account, more = 0): number {
    return (load + more) / Math.max(0.01, target.capacity);
}

/**
 * How much a target suffers from its load. It grows faster than the load, since waiting does, so that a move is worth
 * making when what it takes off a full target weighs more than what it puts on another.
 */
function strain({ target }: Account, load: number): number {
    return load * load / Math.max(0.01, target.capacity);
}

interface Candidate {
    range: KeyRange;
    load: number;
    giver: Account;
    taker: Account;
    gain: number;
}

function balance(input: PlannerInput, accounts: ReadonlyMap<TargetId, Account>, takers: readonly Account[]): Move[] {
    const moves: Move[] = [];
    const busy: KeyRange[] = [...input.moving, ...input.settling];
    const givers = [...accounts.values()].filter(({ target }) => target.standing === "ready");
    const mean = meanFullness(givers);
    const maxMoves = Math.max(minBalanceMoves, Math.ceil(givers.length / targetsPerMove));
    while (moves.length < maxMoves) {
        const best = bestCandidate(input, givers, takers, busy, mean);
        if (best === undefined) {
            break;
        }
        moves.push({
            range: best.range, from: best.giver.target.targetId, to: best.taker.target.targetId,
            reason: isNewcomer(best.taker, mean) ? "newcomer" : "balance",
        });
        best.giver.load -= best.load;
        best.taker.load += best.load;
        busy.push(best.range);
    }
    return moves;
}

function bestCandidate(
    input: PlannerInput, givers: readonly Account[], takers: readonly Account[], busy: readonly KeyRange[], mean: number,
): Candidate | undefined {
    const emptiest = [...takers].sort((left, right) => fullness(left) - fullness(right)).slice(0, maxTakers);
    const hasNewcomer = emptiest.some((taker) => isNewcomer(taker, mean));
    const fullest = [...givers].sort((left, right) => fullness(right) - fullness(left)).slice(0, maxGivers)
        .filter((giver) => fullness(giver) > relieveAbove || hasNewcomer);
    const fillTo = Math.max(leastFill, mean * fillAboveMean);
    const candidates = fullest.flatMap((giver) => {
        const pieces = piecesOf(input, giver, emptiest, busy);
        return emptiest.filter((taker) => taker !== giver).flatMap((taker) => {
            const least = fullness(giver) > relieveAbove ? minGain : isNewcomer(taker, mean) ? minNewcomerGain : Number.POSITIVE_INFINITY;
            return piecesFor(pieces, input.loads, idealLoad(giver, taker, fillTo))
                .map((range) => toCandidate(range, input.loads.of(range), giver, taker))
                .filter(({ gain }) => gain >= least);
        });
    });
    return candidates.reduce<Candidate | undefined>((best, one) => best === undefined || one.gain > best.gain ? one : best, undefined);
}

function toCandidate(range: KeyRange, load: number, giver: Account, taker: Account): Candidate {
    const relief = strain(giver, giver.load) - strain(giver, giver.load - load);
    const burden = strain(taker, taker.load + load) - strain(taker, taker.load);
    const cost = costOfAllKeys * (range.to - range.from + 1) / (allKeys.to + 1);
    return { range, load, giver, taker, gain: relief - burden - cost };
}

function meanFullness(accounts: readonly Account[]): number {
    const capacity = accounts.reduce((sum, { target }) => sum + target.capacity, 0);
    return accounts.reduce((sum, { load }) => sum + load, 0) / Math.max(0.01, capacity);
}

function isNewcomer(account: Account, mean: number): boolean {
    return account.isEmpty && fullness(account) < mean * newcomerShare;
}

/** What a giver may give. */
interface Pieces {
    /** Its ranges, without what is on the move. */
    ranges: readonly KeyRange[];
    hotKeys: readonly KeyRange[];
}

function piecesOf(input: PlannerInput, giver: Account, takers: readonly Account[], busy: readonly KeyRange[]): Pieces {
    const ranges = input.ranges.filter((range) => range.targetId === giver.target.targetId)
        .flatMap((range) => busy.filter((other) => overlaps(range, other)).reduce<readonly KeyRange[]>(withoutRange, [range]));
    const capacity = takers.reduce((least, { target }) => Math.min(least, target.capacity), giver.target.capacity);
    return { ranges, hotKeys: ranges.flatMap((range) => hotKeysOf(range, input.loads, capacity * hotKeyShare)) };
}

/**
 * Load that a move should take to the taker: it makes the two equal at most, and leaves room for what others bring, since
 * a piece cannot be cut again while it moves.
 */
function idealLoad(giver: Account, taker: Account, fillTo: number): number {
    const { capacity: from } = giver.target;
    const { capacity: to } = taker.target;
    return Math.min((giver.load * to - taker.load * from) / (from + to), fillTo * to - taker.load);
}

/** Pieces that a taker might get: an end of about the ideal load, or one hot key by itself. */
function piecesFor({ ranges, hotKeys }: Pieces, loads: KeyLoads, ideal: number): KeyRange[] {
    return [...ranges.flatMap((range) => endsOf(range, loads, ideal)), ...hotKeys];
}

function endsOf(range: KeyRange, loads: KeyLoads, wanted: number): KeyRange[] {
    const total = loads.of(range);
    if (wanted <= 0) {
        return [];
    }
    if (total <= wanted) {
        return [{ from: range.from, to: range.to }];
    }
    const headEnd = loads.endOfLoad(range.from, range.to, wanted);
    const tailStart = loads.endOfLoad(range.from, range.to, total - wanted) + 1 as Key;
    return [
        { from: range.from, to: headEnd },
        ...tailStart <= range.to ? [{ from: tailStart, to: range.to }] : [],
    ];
}

function hotKeysOf(range: KeyRange, loads: KeyLoads, least: number): KeyRange[] {
    return loads.keysAbove(range, least).map((key) => ({ from: key, to: key }));
}

/** Lists the keys that no range covers. */
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
