/** Takes note of what targets say of themselves in the heads of their responses. */
import type { Clock } from "../model/time.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AttemptDependencies } from "./attempt.js";
import type { StatedRateLimits } from "./statedRateLimits.js";
import type { TargetPauses } from "./targetPauses.js";

/** Dependencies of the notices. */
export interface TargetNoticesDependencies {
    view: ClusterView;
    clock: Clock;
    requestLog: RequestLog;
    /** Targets that have asked this host to back off, and for how long. */
    pauses: TargetPauses;
    /** Rate limits that targets stated to this host. */
    rateLimits: StatedRateLimits;
}

/** Creates the callbacks of attempts for the heads of responses. */
export function createTargetNotices(
    { view, clock, requestLog, pauses, rateLimits }: TargetNoticesDependencies,
): Pick<AttemptDependencies, "onNotice" | "onUnproven"> {
    return {
        onNotice: ({ targetId, bornWallMs }, { isLeaving, pauseMs, rateLimit }, sentMs) => {
            const nowMs = clock.now().monoMs;
            if (isLeaving && view.recordLeaving({ targetId, bornWallMs }, nowMs)) {
                requestLog.targetLeaving(targetId);
            }
            if (pauseMs !== undefined) {
                pauses.pause({ targetId, bornWallMs }, pauseMs, nowMs);
                requestLog.targetPauseRequested(targetId, pauseMs);
            }
            const change = rateLimits.record({ targetId, bornWallMs }, rateLimit, sentMs, nowMs);
            if (change !== undefined) {
                requestLog.targetRateLimitChanged(targetId, change);
            }
        },
        onUnproven: ({ targetId }, call, status) => {
            requestLog.responseUnproven(call, targetId, status);
        },
    };
}
