/** Processes of targets that this host saw leave and that the coordinator has not made known to all hosts yet. */
import type { TargetId } from "../model/names.js";
import type { LeavingTarget } from "../model/target.js";

/** What is to be reported, until it is confirmed. */
export class LeavingReports {
    private readonly open = new Map<TargetId, number>();

    /** Notes what this host saw in an answer. */
    add({ targetId, bornWallMs }: LeavingTarget): void {
        this.open.set(targetId, bornWallMs);
    }

    /** Lists what is not confirmed. */
    unconfirmed(): LeavingTarget[] {
        return [...this.open].map(([targetId, bornWallMs]) => ({ targetId, bornWallMs }));
    }

    /** Takes in what the coordinator has made known. */
    confirm(known: readonly LeavingTarget[]): void {
        for (const { targetId, bornWallMs } of known) {
            if (this.open.get(targetId) === bornWallMs) {
                this.open.delete(targetId);
            }
        }
    }
}
