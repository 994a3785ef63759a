/** Records the load that targets reported in responses to this host, so that it reaches the hosts that keep their queues. */
import type { TargetId } from "../model/names.js";
import type { TargetEntry } from "../model/target.js";
import type { AgedTargetLoad, TargetLoad } from "../model/targetLoad.js";

/** A report older than this is not passed on, since it has no effect any more. */
const maxAgeMs = 1_000;

/** Number of targets beyond which old reports are removed. */
const maxTargets = 1_000;

type TargetProcess = Pick<TargetEntry, "targetId" | "bornWallMs">;

interface ReceivedLoad extends TargetLoad {
    bornWallMs: number;
    receivedMs: number;
}

/** Newest load report by target. Times are monotonic milliseconds. */
export class StatedLoads {
    private readonly loads = new Map<TargetId, ReceivedLoad>();

    /** Records a report that has just been received. */
    record({ targetId, bornWallMs }: TargetProcess, { running, waiting, slots, percent }: TargetLoad, nowMs: number): void {
        if (this.loads.size >= maxTargets && !this.loads.has(targetId)) {
            this.evictOld(nowMs);
        }
        if (this.loads.size < maxTargets || this.loads.has(targetId)) {
            this.loads.set(targetId, { bornWallMs, running, waiting, slots, percent, receivedMs: nowMs });
        }
    }

    /** Returns the newest report of a target's process with its age; undefined if there is none that is of use. */
    find({ targetId, bornWallMs }: TargetProcess, nowMs: number): AgedTargetLoad | undefined {
        const load = this.loads.size === 0 ? undefined : this.loads.get(targetId);
        const ageMs = load === undefined ? 0 : Math.max(0, Math.round(nowMs - load.receivedMs));
        if (load?.bornWallMs !== bornWallMs || ageMs > maxAgeMs) {
            return undefined;
        }
        const { running, waiting, slots, percent } = load;
        return percent === undefined ? { running, waiting, slots, ageMs } : { running, waiting, slots, percent, ageMs };
    }

    private evictOld(nowMs: number): void {
        for (const [targetId, { receivedMs }] of this.loads) {
            if (nowMs - receivedMs > maxAgeMs) {
                this.loads.delete(targetId);
            }
        }
    }
}
