/** Lease managers of all targets that own keys or may receive some. */
import type { KeyRange, ServiceId, TargetId } from "../model/names.js";
import { linkAborts } from "../model/signal.js";
import type { TargetEntry } from "../model/target.js";
import { runRestartedTasks } from "../observe/tasks.js";
import type { ClusterView } from "../store/clusterView.js";
import type { LeaseManagerDependencies } from "./leaseManager.js";
import type { RangeHandover } from "./leaseTable.js";
import { LeaseManager } from "./leaseManager.js";
import { isSameRange, withoutRanges } from "./ranges.js";

/** Lease managers by target. */
export interface LeaseManagerSet {
    get(targetId: TargetId): LeaseManager | undefined;
    all(): LeaseManager[];
    /**
     * Starts a manager for every target of the given services and every target with keys, and stops those that are not needed any more.
     * A manager is started before its target receives keys, so that the target is known to answer.
     * @param services the sharded services
     * @param signal stops all managers
     */
    syncTargets(services: readonly ServiceId[], signal: AbortSignal): void;
    /**
     * Sets the ranges of each manager to those that the ledger assigns to its target, except those that are being moved.
     * @param movingRangesOf returns the ranges of a service that are being moved
     * @param handedOver handover tokens of ranges that were released
     */
    syncRanges(movingRangesOf: (serviceId: ServiceId) => readonly KeyRange[], handedOver: readonly RangeHandover[]): void;
}

/**
 * Creates the set.
 * @param view targets and ledger
 * @param dependencies dependencies of each manager
 * @param onChange called when a target falls silent or answers again
 */
export function createLeaseManagerSet(view: ClusterView, dependencies: LeaseManagerDependencies, onChange: () => void): LeaseManagerSet {
    const managers = new Map<TargetId, { manager: LeaseManager; stop: AbortController }>();

    const startOrUpdate = (target: Pick<TargetEntry, "targetId" | "address"> & Partial<TargetEntry>, signal: AbortSignal) => {
        const { targetId, address } = target;
        const existing = managers.get(targetId);
        if (existing !== undefined) {
            existing.manager.updateRegistration(target);
            return;
        }
        const manager = new LeaseManager(targetId, address, dependencies);
        manager.updateRegistration(target);
        const stop = new AbortController();
        managers.set(targetId, { manager, stop });
        const linked = linkAborts(signal, stop.signal);
        void runRestartedTasks(
            { [`leases of ${targetId}`]: (stopped) => manager.run(stopped) }, dependencies.clock, dependencies.log, linked.signal,
        ).then(linked.release);
        manager.changed.listen(onChange);
    };

    return {
        get: (targetId) => managers.get(targetId)?.manager,
        all: () => [...managers.values()].map(({ manager }) => manager),
        syncTargets: (services, signal) => {
            const registered = services.flatMap((serviceId) => view.targets.ofService(serviceId));
            const unregistered = view.ledger.ownerships().filter(({ targetId }) => view.targets.get(targetId) === undefined);
            const needed = [...registered, ...unregistered];
            needed.forEach((target) => {
                startOrUpdate(target, signal);
            });
            const ids = new Set(needed.map(({ targetId }) => targetId));
            for (const [targetId, { manager, stop }] of managers) {
                if (!ids.has(targetId) && manager.ranges.length === 0) {
                    stop.abort();
                    managers.delete(targetId);
                }
            }
        },
        syncRanges: (movingRangesOf, handedOver) => {
            const movingByService = new Map<ServiceId, readonly KeyRange[]>();
            const movingOf = (serviceId: ServiceId): readonly KeyRange[] => {
                const moving = movingByService.get(serviceId) ?? movingRangesOf(serviceId);
                movingByService.set(serviceId, moving);
                return moving;
            };
            for (const [targetId, { manager }] of managers) {
                const record = view.ledger.ownershipOf(targetId);
                const ranges = record === undefined ? [] : withoutRanges(record.ranges, movingOf(record.serviceId));
                if (!isSameSet(ranges, manager.ranges)) {
                    manager.setRanges(ranges, handedOver);
                }
            }
        },
    };
}

function isSameSet(left: readonly KeyRange[], right: readonly KeyRange[]): boolean {
    return left.length === right.length && left.every((range) => right.some((other) => isSameRange(range, other)));
}
