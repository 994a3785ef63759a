/** Lease managers of all targets that own keys or may receive some. */
import type { KeyRange, ServiceId, TargetId } from "../model/names.js";
import { linkAborts } from "../model/signal.js";
import type { TargetEntry } from "../model/target.js";
import type { ClusterView } from "../store/clusterView.js";
import type { HandedOver, HolderParts } from "./holder.js";
import { Holder } from "./holder.js";
import { isSameRange, withoutRange } from "./ranges.js";

/** Lease managers by target. */
export interface HolderSet {
    get(targetId: TargetId): Holder | undefined;
    all(): Holder[];
    /**
     * Starts a manager for every target of some services and every target with keys, and stops those that are not needed any more.
     * A manager is started before its target receives keys, so that the target is known to answer.
     * @param services the sharded services
     * @param signal stops all managers
     */
    syncTargets(services: readonly ServiceId[], signal: AbortSignal): void;
    /**
     * Sets the ranges of each manager to those that the ledger assigns to its target, without moving ranges.
     * @param movingRangesOf returns the ranges of a service that are being moved
     * @param handedOver handover tokens of ranges that were released
     */
    syncRanges(movingRangesOf: (serviceId: ServiceId) => readonly KeyRange[], handedOver: readonly HandedOver[]): void;
}

/**
 * Creates the set.
 * @param view targets and ledger
 * @param deps dependencies of each manager
 * @param onChange called when a target falls silent or answers again
 */
export function createHolderSet(view: ClusterView, deps: HolderParts, onChange: () => void): HolderSet {
    const holders = new Map<TargetId, { holder: Holder; stop: AbortController }>();

    const startOrUpdate = (target: Pick<TargetEntry, "targetId" | "address"> & Partial<TargetEntry>, signal: AbortSignal) => {
        const { targetId, address } = target;
        const existing = holders.get(targetId);
        if (existing !== undefined) {
            existing.holder.moveTo(target);
            return;
        }
        const holder = new Holder(targetId, address, deps);
        holder.moveTo(target);
        const stop = new AbortController();
        holders.set(targetId, { holder, stop });
        const linked = linkAborts(signal, stop.signal);
        void holder.run(linked.signal).then(linked.release);
        holder.changed.listen(onChange);
    };

    return {
        get: (targetId) => holders.get(targetId)?.holder,
        all: () => [...holders.values()].map(({ holder }) => holder),
        syncTargets: (services, signal) => {
            const registered = services.flatMap((serviceId) => view.targets.ofService(serviceId));
            const unregistered = view.ledger.ownerships().filter(({ targetId }) => view.targets.get(targetId) === undefined);
            const needed = [...registered, ...unregistered];
            needed.forEach((target) => {
                startOrUpdate(target, signal);
            });
            const ids = new Set(needed.map(({ targetId }) => targetId));
            for (const [targetId, { holder, stop }] of holders) {
                if (!ids.has(targetId) && holder.ranges.length === 0) {
                    stop.abort();
                    holders.delete(targetId);
                }
            }
        },
        syncRanges: (movingRangesOf, handedOver) => {
            const records = new Map(view.ledger.ownerships().map((record) => [record.targetId, record]));
            for (const [targetId, { holder }] of holders) {
                const record = records.get(targetId);
                const moving = record === undefined ? [] : movingRangesOf(record.serviceId);
                const ranges = moving.reduce<readonly KeyRange[]>(withoutRange, record?.ranges ?? []);
                if (!isSameSet(ranges, holder.ranges)) {
                    holder.setRanges(ranges, handedOver);
                }
            }
        },
    };
}

function isSameSet(left: readonly KeyRange[], right: readonly KeyRange[]): boolean {
    return left.length === right.length && left.every((range) => right.some((other) => isSameRange(range, other)));
}
