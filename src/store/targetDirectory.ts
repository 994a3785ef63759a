/** Builds the service directory from its changes: which targets exist, and in which state. */
import type { DataCentreId, Offset, ServiceId, TargetId } from "../model/names.js";
import type { KnownTarget, LeavingTarget, TargetEntry } from "../model/target.js";
import { hash } from "../model/rendezvous.js";
import { eraOf } from "../model/storePosition.js";
import { isSameEntry } from "../model/target.js";

/** Suits a bound of 2 s on the time for which leaving targets get requests. */
const defaultLearnWithinMs = 600;

/** A target that was removed from the directory is kept as gone for this long. */
const goneRetentionMs = 10_000;

/** A change of one target. */
export interface TargetChange {
    targetId: TargetId;
    offset: Offset;
    /** Undefined when the target is gone. */
    entry: TargetEntry | undefined;
}

/** Position of the newest change that was applied for a target. Older changes that arrive later are ignored. */
interface ChangePosition {
    offset: Offset;
    bornWallMs: number;
    sequence: number;
    isRemoved: boolean;
}

/** The service directory, as far as it was read. */
export class TargetDirectory {
    private readonly known = new Map<TargetId, KnownTarget>();
    private readonly latestPositions = new Map<TargetId, ChangePosition>();
    /** Start of the last process of each target that announced in an answer that it is leaving. */
    private readonly leavingBornWallMs = new Map<TargetId, number>();
    /** Evacuated data centres, with the time from which their targets count as leaving. */
    private readonly evacuatedSinceMs = new Map<DataCentreId, number>();
    /** When each target became ready again, or a later process of it registered. */
    private readonly returnedMs = new Map<TargetId, number>();
    /** Targets in `known` that were removed from the directory, with the time at which this host learned of it. */
    private readonly goneMs = new Map<TargetId, number>();
    private combinedDigest = 0;
    private confirmedMs = Number.NEGATIVE_INFINITY;
    private byService: ReadonlyMap<ServiceId, readonly KnownTarget[]> | undefined;

    /**
     * @param learnWithinMs a host that learns at most this long after its beginning that a target leaves sends to it for the whole drain
     *     time. A host that may have learned of it later, for example by its first reading, stops earlier by the excess.
     */
    constructor(private readonly learnWithinMs: number = defaultLearnWithinMs) {}

    /** Every target, including those that were removed recently. */
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

    /** Lists the newest change of each target, present or removed, whose offset is at least `offset`. */
    changesSince(offset: Offset): TargetChange[] {
        return [...this.latestPositions].filter(([, latest]) => latest.offset >= offset).map(([targetId, latest]) => {
            const target = this.known.get(targetId);
            const entry = target === undefined || target.state === "gone" ? undefined : { ...toEntry(target), sequence: latest.sequence };
            return { targetId, offset: latest.offset, entry };
        });
    }

    /** Latest monotonic time at which this host certainly knew every entry that the store had acknowledged by then. */
    get confirmedAtMs(): number {
        return this.confirmedMs;
    }

    /** Records that this host knew, at a monotonic time, every entry that the store had acknowledged by then. */
    confirm(atMs: number): void {
        this.confirmedMs = Math.max(this.confirmedMs, atMs);
    }

    /** A hash that is equal on hosts that know the same targets with the same entries. */
    digest(): number {
        return this.combinedDigest;
    }

    /**
     * Applies a change.
     * @param change the change
     * @param nowMs current monotonic time
     * @returns whether anything changed that the router acts on
     */
    apply(change: TargetChange, nowMs: number): boolean {
        const latest = this.latestPositions.get(change.targetId);
        if (latest !== undefined && (change.offset < latest.offset || isOutdated(change, latest))) {
            return false;
        }
        this.latestPositions.set(change.targetId, {
            offset: change.offset,
            bornWallMs: change.entry?.bornWallMs ?? latest?.bornWallMs ?? 0,
            sequence: change.entry?.sequence ?? latest?.sequence ?? 0,
            isRemoved: change.entry === undefined,
        });
        return this.applyEntry(change, nowMs);
    }

    /**
     * Finds the known targets that are missing from a snapshot, except those with changes after it.
     * @param snapshotIds ids in the snapshot
     * @param upTo offset up to which the snapshot reflects the topic
     * @returns ids of the missing targets
     */
    findMissing(snapshotIds: ReadonlySet<TargetId>, upTo: Offset): TargetId[] {
        return [...this.known.values()]
            .filter(({ targetId, state }) =>
                state !== "gone" && !snapshotIds.has(targetId) && (this.latestPositions.get(targetId)?.offset ?? 0) < upTo)
            .map(({ targetId }) => targetId);
    }

    /** Tells whether a change after an offset was applied for a target. */
    hasChangeAfter(targetId: TargetId, offset: Offset): boolean {
        return (this.latestPositions.get(targetId)?.offset ?? -1) > offset;
    }

    /**
     * Records that a target process announced that it is leaving. Its entry in the directory shows that later, or never.
     * @param leaving the process
     * @param nowMs current monotonic time
     * @returns false when that was known, or another process of the target is registered
     */
    markLeaving({ targetId, bornWallMs }: LeavingTarget, nowMs: number): boolean {
        const target = this.known.get(targetId);
        if (target?.bornWallMs !== bornWallMs || this.leavingBornWallMs.get(targetId) === bornWallMs) {
            return false;
        }
        this.leavingBornWallMs.set(targetId, bornWallMs);
        this.setTarget(toEntry(target), nowMs);
        return true;
    }

    /**
     * Records the beginning or the end of an evacuation. The targets of the data centre count as draining while it lasts, so that they get
     * no new requests and their keys move to other targets.
     * @param dataCentreId the data centre
     * @param leavingSinceMs monotonic time from which its targets count as leaving; undefined if the evacuation has ended
     * @param nowMs current monotonic time
     */
    setEvacuated(dataCentreId: DataCentreId, leavingSinceMs: number | undefined, nowMs: number): void {
        if (leavingSinceMs === undefined) {
            this.evacuatedSinceMs.delete(dataCentreId);
        }
        else {
            this.evacuatedSinceMs.set(dataCentreId, leavingSinceMs);
        }
        for (const target of [...this.known.values()].filter((known) => known.dataCentreId === dataCentreId)) {
            this.setTarget(toEntry(target), nowMs);
        }
    }

    /**
     * Returns the monotonic time at which a target became ready again, after it was gone, draining or evacuated, or at which a later
     * process of it registered; undefined if neither has happened.
     */
    returnedAtMs(targetId: TargetId): number | undefined {
        return this.returnedMs.get(targetId);
    }

    /** Lists the registered processes that announced that they are leaving. */
    leaving(): LeavingTarget[] {
        return [...this.leavingBornWallMs].filter(([targetId, bornWallMs]) => this.known.get(targetId)?.bornWallMs === bornWallMs)
            .map(([targetId, bornWallMs]) => ({ targetId, bornWallMs }));
    }

    private applyEntry({ targetId, entry }: TargetChange, nowMs: number): boolean {
        const known = this.known.get(targetId);
        const previous = known === undefined ? undefined : toEntry(known);
        const next = entry ?? (previous === undefined ? undefined : { ...previous, state: "gone" as const });
        if (next === undefined || (previous !== undefined && isSameEntry(previous, next))) {
            return false;
        }
        this.setTarget(next, nowMs);
        this.evictGone(nowMs);
        return true;
    }

    private setTarget(entry: TargetEntry, nowMs: number): void {
        const { targetId } = entry;
        const hasAnnouncedLeaving = this.leavingBornWallMs.get(targetId) === entry.bornWallMs;
        const evacuatedSinceMs = this.evacuatedSinceMs.get(entry.dataCentreId);
        const isToDrain = hasAnnouncedLeaving || evacuatedSinceMs !== undefined;
        const state = entry.state === "ready" && isToDrain ? "draining" : entry.state;
        const previous = this.known.get(targetId);
        const leavingSinceMs = state === "ready"
            ? undefined
            : Math.min(previous?.leavingSinceMs ?? this.countedFromMs(nowMs), evacuatedSinceMs ?? Number.POSITIVE_INFINITY);
        if (previous !== undefined && state === "ready" && (previous.state !== "ready" || previous.bornWallMs !== entry.bornWallMs)) {
            this.returnedMs.set(targetId, nowMs);
        }
        this.combinedDigest ^= hashOf(this.known.get(targetId)) ^ hashOf({ ...entry, registeredState: entry.state });
        this.known.set(targetId, { ...entry, state, registeredState: entry.state, leavingSinceMs });
        if (entry.state === "gone") {
            this.goneMs.set(targetId, this.goneMs.get(targetId) ?? nowMs);
        }
        else {
            this.goneMs.delete(targetId);
        }
        this.byService = undefined;
    }

    /** Returns the time from which a target counts as leaving if this host learns of it now. */
    private countedFromMs(nowMs: number): number {
        return Math.min(nowMs, this.confirmedMs + this.learnWithinMs);
    }

    private evictGone(nowMs: number): void {
        for (const [targetId, goneSinceMs] of this.goneMs) {
            if (nowMs - goneSinceMs > goneRetentionMs) {
                this.goneMs.delete(targetId);
                this.known.delete(targetId);
                this.leavingBornWallMs.delete(targetId);
                this.returnedMs.delete(targetId);
            }
        }
    }
}

/** Hash of one target. The hashes of all targets are combined by XOR, so the cost of a change doesn't depend on their number. */
function hashOf(target: Omit<KnownTarget, "state" | "leavingSinceMs"> | undefined): number {
    if (target === undefined || target.registeredState === "gone") {
        return 0;
    }
    const { targetId, address, registeredState, slots, bornWallMs, warmingUp } = target;
    return hash([targetId, address, registeredState, slots, bornWallMs, warmingUp].join());
}

/** The entry as it is registered in the directory. */
function toEntry({ registeredState, ...target }: KnownTarget): TargetEntry {
    return { ...target, state: registeredState };
}

/**
 * True for an entry of an earlier process, or for one older than the newest entry of the same process. After the store came back from an
 * older copy, the newest entry itself may stand there again although it was removed.
 */
function isOutdated({ entry, offset }: TargetChange, latest: ChangePosition): boolean {
    if (entry?.bornWallMs !== latest.bornWallMs) {
        return entry !== undefined && entry.bornWallMs < latest.bornWallMs;
    }
    const isRemovedSince = latest.isRemoved && eraOf(offset) > eraOf(latest.offset);
    return entry.sequence < latest.sequence || (isRemovedSince && entry.sequence === latest.sequence);
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
