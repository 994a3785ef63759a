/** Target processes that announced to this host that they are leaving, until the coordinator has told all hosts. */
import type { TargetId } from "../model/names.js";
import type { LeavingTarget } from "../model/target.js";

/** Reports that the coordinator has not confirmed yet. */
export class LeavingReports {
    private readonly pending = new Map<TargetId, number>();

    /** Adds a process that announced in an answer to this host that it is leaving. */
    add({ targetId, bornWallMs }: LeavingTarget): void {
        this.pending.set(targetId, bornWallMs);
    }

    /** Lists the processes that are not confirmed yet. */
    unconfirmed(): LeavingTarget[] {
        return [...this.pending].map(([targetId, bornWallMs]) => ({ targetId, bornWallMs }));
    }

    /** Removes the processes that the coordinator has broadcast. */
    confirm(known: readonly LeavingTarget[]): void {
        for (const { targetId, bornWallMs } of known) {
            if (this.pending.get(targetId) === bornWallMs) {
                this.pending.delete(targetId);
            }
        }
    }
}
