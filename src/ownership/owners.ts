/** What this host knows of owners of keys: the ledger, and what the coordinator says of ranges that are on the move. */
import type { Key, KeyRange, ServiceId, TargetId } from "../model/names.js";
import { Signal } from "../model/signal.js";
import { mayReceive } from "../model/target.js";
import type { ClusterView } from "../store/clusterView.js";
import { OwnerMap } from "./ownerMap.js";

/** A range whose owner stops taking work for it, since another target gets it. */
export interface MovingRange extends KeyRange {
    serviceId: ServiceId;
    /** Least time until it has an owner again, where more than a usual move's; undefined for a move that goes as planned. */
    freeInMs?: number;
}

/** A target that does not answer; its keys are free once its lease has certainly ended. */
export interface SilentTarget {
    targetId: TargetId;
    /** Time until its keys can go to others, in milliseconds from when this was said. */
    freeInMs: number;
}

/** What the coordinator says beside the ledger. */
export interface OwnershipNotice {
    moving: readonly MovingRange[];
    silent: readonly SilentTarget[];
}

/** Where a key stands. */
export type OwnerStatus =
    | { kind: "owned"; targetId: TargetId }
    /** No target has it for a moment. */
    | { kind: "moving"; freeInMs: number | undefined }
    /** Its owner does not answer. */
    | { kind: "silent"; targetId: TargetId; freeInMs: number }
    /** No target was ever given it, as far as this host knows. */
    | { kind: "unowned" };

/** A coordinator that does not renew its notice within this time is not believed any more. */
const noticeLastsMs = 1_500;

/** Finds owners. */
export class Owners {
    /** Fires when any key's status may have changed. */
    readonly changed = new Signal();
    /** Undefined from a change of the ledger until an owner is looked for: in a rush of moves most changes are never looked at. */
    private map: OwnerMap | undefined;
    private notice: OwnershipNotice = { moving: [], silent: [] };
    private noticedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param view where the ledger and the targets are
     * @param drainMs time after which a leaving target gets nothing new
     */
    constructor(private readonly view: ClusterView, private readonly drainMs: number) {}

    /** Takes the ledger over; called whenever it has changed. */
    refresh(): void {
        this.map = undefined;
        this.changed.fire();
    }

    /**
     * Takes a notice of the coordinator.
     * @param notice replaces the one before
     * @param nowMs now
     */
    setNotice(notice: OwnershipNotice, nowMs: number): void {
        this.notice = notice;
        this.noticedMs = nowMs;
        this.changed.fire();
    }

    /** The newest notice, if it still counts. */
    noticeAt(nowMs: number): OwnershipNotice {
        return nowMs - this.noticedMs <= noticeLastsMs ? this.notice : { moving: [], silent: [] };
    }

    /** Tells whether the coordinator says that a target does not answer. */
    isSilent(targetId: TargetId, nowMs: number): boolean {
        return this.noticeAt(nowMs).silent.some((silent) => silent.targetId === targetId);
    }

    /** Owners according to the ledger. */
    get owners(): OwnerMap {
        this.map ??= new OwnerMap(this.view.ledger.ownerships());
        return this.map;
    }

    /**
     * Tells where a key stands.
     * @param serviceId its service
     * @param key the key
     * @param nowMs now
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
        const quiet = silent.find((one) => one.targetId === targetId);
        return quiet === undefined
            ? { kind: "owned", targetId }
            : { kind: "silent", targetId, freeInMs: Math.max(0, quiet.freeInMs - (nowMs - this.noticedMs)) };
    }
}
