/**
 * Plans how long the work of a request takes, and whether its answer will be in time.
 *
 * Work times vary between requests, so the queue plans with more than the average work time. If it sent requests at the last
 * moment at which one of average length is still in time, half of the work would be late under sustained overload.
 */
import type { AdmissionRequest } from "./admissionRequest.js";
import type { QueueTargets } from "./queueTargets.js";
import type { RunningRequest, TargetRecord } from "./targetRecord.js";
import { WorkTimeQuantile } from "./workTimeQuantile.js";

/**
 * Upper bound of the planned work time, as a share of the target latency; it does not apply if the expected work time itself is
 * longer. Otherwise a request can always spend the remaining share waiting before it counts as probably late.
 */
const maxPlannedWorkShare = 0.75;

/** Plans the work times of a queue's requests. */
export class WorkTimePlan {
    private readonly workTimeQuantile = new WorkTimeQuantile();

    constructor(private readonly targets: QueueTargets) {}

    /**
     * Learns from a request that was answered.
     * @param record its target, before the request counts as an observation there
     * @param request the request
     * @param tookMs time that the target took
     */
    observe({ slowness }: TargetRecord, { workMs }: RunningRequest, tookMs: number): void {
        this.workTimeQuantile.observe(tookMs / Math.max(1, workMs * slowness));
    }

    /** Returns the expected work time of a request at the fastest open target. */
    fastestWorkMs({ workMs }: AdmissionRequest): number {
        return workMs * this.targets.minOpenSlowness;
    }

    /** Returns whether a request will probably exceed its target latency even if it is sent now. */
    isProbablyLate(request: AdmissionRequest, nowMs: number): boolean {
        const fastestMs = this.fastestWorkMs(request);
        const maxPlannedMs = Math.max(fastestMs, (request.softDeadlineMs - request.arrivedMs) * maxPlannedWorkShare);
        return nowMs + Math.min(maxPlannedMs, fastestMs * this.workTimeQuantile.ratio) > request.softDeadlineMs;
    }
}
