/** Looks up the owners of keys, from the ledger and from the coordinator's notices about moving ranges and silent targets. */
import type { Key, KeyRange, ServiceId, TargetId } from "../model/names.js";
import { Signal } from "../model/signal.js";
import { mayReceive } from "../model/target.js";
import type { ClusterView } from "../store/clusterView.js";
import { OwnerMap } from "./ownerMap.js";

/** A range that is being moved to another target; its owner accepts no new work for it. */
export interface MovingRange extends KeyRange {
    serviceId: ServiceId;
    /** Minimum time until the range has an owner again, when a move takes longer than usual; undefined for a move that goes as planned. */
    freeInMs?: number;
}

/** A target that does not answer; its keys are free once its leases have certainly expired. */
export interface SilentTarget {
    targetId: TargetId;
    /** Time from the sending of the notice until its keys can be assigned to other targets. */
    freeInMs: number;
}

/** State of owners that the coordinator sends in addition to the ledger. */
export interface OwnershipNotice {
    moving: readonly MovingRange[];
    silent: readonly SilentTarget[];
}

/** Owner of a key, or why it has none that can be called. */
export type OwnerStatus =
    | { kind: "owned"; targetId: TargetId }
    /** For a short time no target can be called: the key is moving to another one, or its owner is leaving and receives nothing new. */
    | { kind: "moving"; freeInMs: number | undefined }
    /** The owner does not answer. */
    | { kind: "silent"; targetId: TargetId; freeInMs: number }
    /** This host knows of no target that the key was assigned to. */
    | { kind: "unowned" };

/** A notice is ignored when the coordinator has not renewed it within this time. */
const noticeValidMs = 1_500;

/** Looks up owners of keys. */
export class OwnerLookup {
    /** Fires when any key's status may have changed. */
    readonly changed = new Signal();
    /** Undefined from a change of the ledger until the next look-up: while many keys move, most versions are never used. */
    private map: OwnerMap | undefined;
    private notice: OwnershipNotice = { moving: [], silent: [] };
    private noticedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param view ledger and targets
     * @param drainMs time after which a leaving target receives no new requests
     */
    constructor(private readonly view: ClusterView, private readonly drainMs: number) {}

    /** Must be called whenever the ledger has changed. */
    refresh(): void {
        this.map = undefined;
        this.changed.fire();
    }

    /**
     * Replaces the coordinator's notice.
     * @param notice the new notice
     * @param nowMs monotonic time of its arrival
     */
    setNotice(notice: OwnershipNotice, nowMs: number): void {
        this.notice = notice;
        this.noticedMs = nowMs;
        this.changed.fire();
    }

    /** Returns the newest notice, or an empty one when it has expired. */
    noticeAt(nowMs: number): OwnershipNotice {
        return nowMs - this.noticedMs <= noticeValidMs ? this.notice : { moving: [], silent: [] };
    }

    /** Tells whether the coordinator has reported that a target does not answer. */
    isSilent(targetId: TargetId, nowMs: number): boolean {
        return this.noticeAt(nowMs).silent.some((silent) => silent.targetId === targetId);
    }

    /** Owners according to the ledger. */
    get owners(): OwnerMap {
        this.map ??= new OwnerMap(this.view.ledger.ownerships());
        return this.map;
    }

    /**
     * Looks up the owner of a key.
     * @param serviceId service of the key
     * @param key the key
     * @param nowMs current monotonic time
     */
    find(serviceId: ServiceId, key: Key, nowMs: number): OwnerStatus {
        const targetId = this.owners.ownerOf(serviceId, key);
        if (targetId === undefined) {
            return { kind: "unowned" };
        }
        const { moving, silent } = this.noticeAt(nowMs);
        const move = moving.find((range) => range.serviceId === serviceId && key >= range.from && key <= range.to);
        if (move !== undefined) {
            return { kind: "moving", freeInMs: move.freeInMs === undefined ? undefined : Math.max(0, move.freeInMs - (nowMs - this.noticedMs)) };
        }
        const target = this.view.targets.get(targetId);
        if (target !== undefined && !mayReceive(target, this.drainMs, nowMs)) {
            return { kind: "moving", freeInMs: undefined };
        }
        const silentOwner = silent.find((one) => one.targetId === targetId);
        return silentOwner === undefined
            ? { kind: "owned", targetId }
            : { kind: "silent", targetId, freeInMs: Math.max(0, silentOwner.freeInMs - (nowMs - this.noticedMs)) };
    }
}
