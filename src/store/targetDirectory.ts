/** Folds the service directory: which targets exist, and in which state. */
import type { Offset, ServiceId, TargetId } from "../model/names.js";
import type { KnownTarget, LeavingTarget, TargetEntry } from "../model/target.js";
import { hash } from "../model/rendezvous.js";
import { isSameEntry } from "../model/target.js";

/** A target that left the directory is remembered for this long. */
const rememberGoneMs = 10_000;

/** A change of one target. */
export interface TargetChange {
    targetId: TargetId;
    offset: Offset;
    /** Undefined when the target is gone. */
    entry: TargetEntry | undefined;
}

/** The newest entry that was seen of a target's process; older ones that arrive late are ignored. */
interface Seen {
    offset: Offset;
    bornWallMs: number;
    sequence: number;
}

/** The service directory as last read. */
export class TargetDirectory {
    private readonly known = new Map<TargetId, KnownTarget>();
    private readonly seen = new Map<TargetId, Seen>();
    /** Start of the last process of each target that said in an answer that it leaves. */
    private readonly leavingBornWallMs = new Map<TargetId, number>();
    /** Targets that are remembered though they left. */
    private readonly gone = new Set<TargetId>();
    private digestOfAll = 0;
    private byService: ReadonlyMap<ServiceId, readonly KnownTarget[]> | undefined;

    /** Every target, those that left a moment ago too. */
    all(): Iterable<KnownTarget> {
        return this.known.values();
    }

    /** Finds a target. */
    get(targetId: TargetId): KnownTarget | undefined {
        return this.known.get(targetId);
    }

    /** Lists the targets of a service. */
    ofService(serviceId: ServiceId): readonly KnownTarget[] {
        this.byService ??= groupByService(this.known.values());
        return this.byService.get(serviceId) ?? [];
    }

    /** Lists the newest change of each target that is or was known from an offset on. */
    changesSince(offset: Offset): TargetChange[] {
        return [...this.seen].filter(([, seen]) => seen.offset >= offset).map(([targetId, seen]) => {
            const target = this.known.get(targetId);
            const entry = target === undefined || target.state === "gone" ? undefined : { ...entryOf(target), sequence: seen.sequence };
            return { targetId, offset: seen.offset, entry };
        });
    }

    /** A number that is the same on hosts that know the same targets in the same states. */
    digest(): number {
        return this.digestOfAll;
    }

    /**
     * Applies a change.
     * @param change the change
     * @param nowMs now
     * @returns whether anything changed that the router acts on
     */
    apply(change: TargetChange, nowMs: number): boolean {
        const seen = this.seen.get(change.targetId);
        if (seen !== undefined && (change.offset < seen.offset || isOutdated(change.entry, seen))) {
            return false;
        }
        this.seen.set(change.targetId, {
            offset: change.offset,
            bornWallMs: change.entry?.bornWallMs ?? seen?.bornWallMs ?? 0,
            sequence: change.entry?.sequence ?? seen?.sequence ?? 0,
        });
        return this.put(change, nowMs);
    }

    /**
     * Removes the targets that a snapshot does not hold.
     * @param kept ids in the snapshot
     * @param upTo offset that the snapshot accounts for
     * @returns ids of targets that were there before
     */
    missingFrom(kept: ReadonlySet<TargetId>, upTo: Offset): TargetId[] {
        return [...this.known.values()]
            .filter(({ targetId, state }) => state !== "gone" && !kept.has(targetId) && (this.seen.get(targetId)?.offset ?? 0) < upTo)
            .map(({ targetId }) => targetId);
    }

    /** Tells whether anything was read about a target from an offset on. */
    isNewer(targetId: TargetId, offset: Offset): boolean {
        return (this.seen.get(targetId)?.offset ?? -1) > offset;
    }

    /**
     * Notes that a process of a target leaves, by its own word. Its entry says so later, or never.
     * @param leaving the process
     * @param nowMs now
     * @returns false when that was known, or another process of the target is registered
     */
    noteLeaving({ targetId, bornWallMs }: LeavingTarget, nowMs: number): boolean {
        const target = this.known.get(targetId);
        if (target?.bornWallMs !== bornWallMs || this.leavingBornWallMs.get(targetId) === bornWallMs) {
            return false;
        }
        this.leavingBornWallMs.set(targetId, bornWallMs);
        this.keep(entryOf(target), nowMs);
        return true;
    }

    /** Lists the registered processes that said that they leave. */
    leaving(): LeavingTarget[] {
        return [...this.leavingBornWallMs].filter(([targetId, bornWallMs]) => this.known.get(targetId)?.bornWallMs === bornWallMs)
            .map(([targetId, bornWallMs]) => ({ targetId, bornWallMs }));
    }

    private put({ targetId, entry }: TargetChange, nowMs: number): boolean {
        const known = this.known.get(targetId);
        const before = known === undefined ? undefined : entryOf(known);
        const next = entry ?? (before === undefined ? undefined : { ...before, state: "gone" as const });
        if (next === undefined || (before !== undefined && isSameEntry(before, next))) {
            return false;
        }
        this.keep(next, nowMs);
        this.forgetGone(nowMs);
        return true;
    }

    private keep(entry: TargetEntry, nowMs: number): void {
        const { targetId } = entry;
        const saysLeaving = this.leavingBornWallMs.get(targetId) === entry.bornWallMs;
        const state = entry.state === "ready" && saysLeaving ? "draining" : entry.state;
        const leavingSinceMs = state === "ready" ? undefined : this.known.get(targetId)?.leavingSinceMs ?? nowMs;
        this.digestOfAll ^= digestOf(this.known.get(targetId)) ^ digestOf({ ...entry, registeredState: entry.state });
        this.known.set(targetId, { ...entry, state, registeredState: entry.state, leavingSinceMs });
        if (entry.state === "gone") {
            this.gone.add(targetId);
        }
        else {
            this.gone.delete(targetId);
        }
        this.byService = undefined;
    }

    private forgetGone(nowMs: number): void {
        for (const targetId of this.gone) {
            if (nowMs - (this.known.get(targetId)?.leavingSinceMs ?? nowMs) > rememberGoneMs) {
                this.gone.delete(targetId);
                this.known.delete(targetId);
                this.leavingBornWallMs.delete(targetId);
            }
        }
    }
}

/** Digest of one target; those of all are combined so that each change costs no more than the target that changed. */
function digestOf(target: Omit<KnownTarget, "state" | "leavingSinceMs"> | undefined): number {
    if (target === undefined || target.registeredState === "gone") {
        return 0;
    }
    const { targetId, address, registeredState, slots, bornWallMs, warmingUp } = target;
    return hash([targetId, address, registeredState, slots, bornWallMs, warmingUp].join());
}

/** The entry as it stands in the directory. */
function entryOf({ registeredState, ...target }: KnownTarget): TargetEntry {
    return { ...target, state: registeredState };
}

/** True for an entry of an earlier process, or one that a later entry of the same process followed. */
function isOutdated(entry: TargetEntry | undefined, seen: Seen): boolean {
    if (entry === undefined) {
        return false;
    }
    return entry.bornWallMs < seen.bornWallMs || (entry.bornWallMs === seen.bornWallMs && entry.sequence < seen.sequence);
}

function groupByService(targets: Iterable<KnownTarget>): Map<ServiceId, KnownTarget[]> {
    const groups = new Map<ServiceId, KnownTarget[]>();
    for (const target of targets) {
        const group = groups.get(target.serviceId);
        if (group === undefined) {
            groups.set(target.serviceId, [target]);
        }
        else {
            group.push(target);
        }
    }
    return groups;
}
