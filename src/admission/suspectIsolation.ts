/**
 * Keeps requests that are suspected of crashing targets apart.
 *
 * Load pattern: several requests are suspected at a time, and one of them crashes each target that runs it. A target runs at most one
 * suspected request at a time, and of those with the same content only one runs at all, so that the next crash shows which one it was.
 */
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { AdmissionRequest } from "./admissionRequest.js";
import type { RunningRequests } from "./runningRequests.js";
import type { RunningRequest, TargetRecord } from "./targetRecord.js";
import type { WorkEnd } from "./workEnd.js";

/** Time within which all hosts learn whether a target crashed with a suspected request. */
const suspectHoldMs = 1_000;

/** Decides which targets may run a suspected request. */
export class SuspectIsolation {
    /** Suspected requests whose last attempt was lost, and until when others with the same content have to wait. */
    private readonly heldUntilMs = new Map<Fingerprint, number>();

    constructor(private readonly running: RunningRequests) {}

    /** Holds back requests with the same content as a suspected one whose answer was lost. */
    recordEnd({ suspect }: RunningRequest, end: WorkEnd, nowMs: number): void {
        if (suspect !== undefined && end.kind === "lost") {
            this.heldUntilMs.set(suspect, nowMs + suspectHoldMs);
        }
    }

    /** Forgets the holds that are over. */
    removeExpired(nowMs: number): void {
        for (const [suspect, untilMs] of this.heldUntilMs) {
            if (untilMs <= nowMs) {
                this.heldUntilMs.delete(suspect);
            }
        }
    }

    /**
     * Lists the targets at which a request may run beside the requests that are there.
     * @param request the request
     * @param withFreeSlot targets with a free slot
     * @param nowMs current monotonic time
     */
    permittedTargets(
        { suspect }: AdmissionRequest, withFreeSlot: readonly TargetRecord[], nowMs: number,
    ): readonly TargetRecord[] {
        if (suspect === undefined) {
            return withFreeSlot;
        }
        if (nowMs < (this.heldUntilMs.get(suspect) ?? 0)) {
            return [];
        }
        const running = this.running.suspected();
        return running.some((other) => other.suspect === suspect)
            ? []
            : withFreeSlot.filter(({ target }) => running.every(({ targetId }) => targetId !== target.targetId));
    }
}
