/** The holders of all targets that own keys or may get some. */
import type { KeyRange, ServiceId, TargetId } from "../model/names.js";
import { linkAborts } from "../model/signal.js";
import type { TargetEntry } from "../model/target.js";
import type { ClusterView } from "../store/clusterView.js";
import type { HandedOver, HolderParts } from "./holder.js";
import { Holder } from "./holder.js";
import { isSameRange, withoutRange } from "./ranges.js";

/** Holders by target. */
export interface HolderSet {
    get(targetId: TargetId): Holder | undefined;
    all(): Holder[];
    /**
     * Starts a holder for every target of some services and every target with keys, and ends those that have no task left.
     * Each target has one before it gets keys, so that it is known to answer.
     * @param services services whose keys have owners
     * @param signal ends the holders
     */
    syncTargets(services: readonly ServiceId[], signal: AbortSignal): void;
    /**
     * Has each target granted what the ledger says, but for what is on the move.
     * @param movingOf ranges of a service that are on the move
     * @param handedOver what the last holders gave
     */
    syncRanges(movingOf: (serviceId: ServiceId) => readonly KeyRange[], handedOver: readonly HandedOver[]): void;
}

/**
 * Creates the set.
 * @param view where targets and owners are known from
 * @param parts what each holder works with
 * @param onChange told when a target falls silent or answers again
 */
export function createHolderSet(view: ClusterView, parts: HolderParts, onChange: () => void): HolderSet {
    const holders = new Map<TargetId, { holder: Holder; stop: AbortController }>();

    const start = (target: Pick<TargetEntry, "targetId" | "address"> & Partial<TargetEntry>, signal: AbortSignal) => {
        const { targetId, address } = target;
        const known = holders.get(targetId);
        if (known !== undefined) {
            known.holder.moveTo(target);
            return;
        }
        const holder = new Holder(targetId, address, parts);
        holder.moveTo(target);
        const stop = new AbortController();
        holders.set(targetId, { holder, stop });
        const until = linkAborts(signal, stop.signal);
        void holder.run(until.signal).then(until.release);
        holder.changed.listen(onChange);
    };

    return {
        get: (targetId) => holders.get(targetId)?.holder,
        all: () => [...holders.values()].map(({ holder }) => holder),
        syncTargets: (services, signal) => {
            const registered = services.flatMap((serviceId) => view.targets.ofService(serviceId));
            const unregistered = view.ledger.ownerships().filter(({ targetId }) => view.targets.get(targetId) === undefined);
            const wanted = [...registered, ...unregistered];
            wanted.forEach((target) => {
                start(target, signal);
            });
            const ids = new Set(wanted.map(({ targetId }) => targetId));
            for (const [targetId, { holder, stop }] of holders) {
                if (!ids.has(targetId) && holder.ranges.length === 0) {
                    stop.abort();
                    holders.delete(targetId);
                }
            }
        },
        syncRanges: (movingOf, handedOver) => {
            const owned = new Map(view.ledger.ownerships().map((record) => [record.targetId, record]));
            for (const [targetId, { holder }] of holders) {
                const record = owned.get(targetId);
                const away = record === undefined ? [] : movingOf(record.serviceId);
                const ranges = away.reduce<readonly KeyRange[]>(withoutRange, record?.ranges ?? []);
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
