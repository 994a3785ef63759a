/**
 * Records which targets asked this host to back off, and until when.
 *
 * Load pattern: an overloaded target asks individual hosts to back off. A host that keeps sending adds to its load, and the host's
 * clients wait for responses that do not come.
 */
import type { TargetId } from "../model/names.js";
import type { TargetEntry } from "../model/target.js";

/** One process of a target. A request to back off does not apply to a later process of the same target. */
type TargetProcess = Pick<TargetEntry, "targetId" | "bornWallMs">;

/** Pauses in sending that targets asked this host for. */
export class TargetPauses {
    private readonly pauses = new Map<TargetId, { bornWallMs: number; untilMs: number }>();

    /**
     * Records that a target asked for a pause. A longer pause that is still running stays in force.
     * @param target the target's process
     * @param pauseMs duration of the pause
     * @param nowMs current monotonic time
     */
    pause({ targetId, bornWallMs }: TargetProcess, pauseMs: number, nowMs: number): void {
        this.deleteExpired(nowMs);
        const untilMs = Math.max(nowMs + pauseMs, nowMs + this.remainingMs({ targetId, bornWallMs }, nowMs));
        this.pauses.set(targetId, { bornWallMs, untilMs });
    }

    /** Returns the remaining time of a target's pause in milliseconds; 0 if there is none. */
    remainingMs({ targetId, bornWallMs }: TargetProcess, nowMs: number): number {
        const pause = this.pauses.get(targetId);
        return pause?.bornWallMs === bornWallMs ? Math.max(0, pause.untilMs - nowMs) : 0;
    }

    private deleteExpired(nowMs: number): void {
        for (const [targetId, { untilMs }] of this.pauses) {
            if (untilMs <= nowMs) {
                this.pauses.delete(targetId);
            }
        }
    }
}
