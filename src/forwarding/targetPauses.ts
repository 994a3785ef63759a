/**
 * Remembers which targets asked this host to back off, and until when.
 *
 * Load pattern: a target that sheds load tells single hosts to keep away. A host that asks on loads it further, and its clients
 * wait for answers that it will not get.
 */
import type { TargetId } from "../model/names.js";
import type { TargetEntry } from "../model/target.js";

/** A target's process; a later one of the same target has asked for nothing. */
type TargetProcess = Pick<TargetEntry, "targetId" | "bornWallMs">;

/** Pauses that targets asked this host for. */
export class TargetPauses {
    private readonly pauses = new Map<TargetId, { bornWallMs: number; untilMs: number }>();

    /**
     * Notes that a target asked for a pause.
     * @param target the target
     * @param pauseMs how long
     * @param nowMs now
     */
    pause({ targetId, bornWallMs }: TargetProcess, pauseMs: number, nowMs: number): void {
        this.forgetEnded(nowMs);
        const untilMs = Math.max(nowMs + pauseMs, nowMs + this.leftMs({ targetId, bornWallMs }, nowMs));
        this.pauses.set(targetId, { bornWallMs, untilMs });
    }

    /** Time left of the pause of a target; 0 when there is none. */
    leftMs({ targetId, bornWallMs }: TargetProcess, nowMs: number): number {
        const pause = this.pauses.get(targetId);
        return pause?.bornWallMs === bornWallMs ? Math.max(0, pause.untilMs - nowMs) : 0;
    }

    private forgetEnded(nowMs: number): void {
        for (const [targetId, { untilMs }] of this.pauses) {
            if (untilMs <= nowMs) {
                this.pauses.delete(targetId);
            }
        }
    }
}
