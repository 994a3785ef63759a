/** Takes note of what targets say of themselves in the heads of their responses. */
import type { Clock } from "../model/time.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { ClusterView } from "../store/clusterView.js";
import type { AttemptDependencies } from "./attemptRequest.js";
import type { StatedRateLimits } from "./statedRateLimits.js";
import type { StatedLoads } from "./statedLoads.js";
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
    /** Load that targets reported to this host. */
    statedLoads: StatedLoads;
    /** Tells whether the load reports of targets are used. */
    isLoadManaged: () => boolean;
}

/** Creates the callbacks of attempts for the heads of responses. */
export function createTargetNotices(
    { view, clock, requestLog, pauses, rateLimits, statedLoads, isLoadManaged }: TargetNoticesDependencies,
): Pick<AttemptDependencies, "onNotice" | "onUnproven" | "onSkipped"> {
    return {
        onNotice: ({ targetId, bornWallMs }, { isLeaving, pauseMs, rateLimit, load }, sentMs) => {
            const nowMs = clock.now().monoMs;
            if (isLeaving && view.recordLeaving({ targetId, bornWallMs }, nowMs)) {
                requestLog.targetLeaving(targetId);
            }
            if (pauseMs !== undefined) {
                pauses.pause({ targetId, bornWallMs }, pauseMs, nowMs);
                requestLog.targetPauseRequested(targetId, pauseMs);
            }
            if (load !== undefined && isLoadManaged()) {
                if (load.kind === "stated") {
                    statedLoads.record({ targetId, bornWallMs }, load, nowMs);
                }
                else {
                    requestLog.targetLoadUnreadable?.(targetId);
                }
            }
            const change = rateLimits.record({ targetId, bornWallMs }, rateLimit, sentMs, nowMs);
            if (change !== undefined) {
                requestLog.targetRateLimitChanged(targetId, change);
            }
        },
        onUnproven: ({ targetId }, call, status) => {
            requestLog.responseUnproven(call, targetId, status);
        },
        onSkipped: ({ targetId }, call, count) => {
            requestLog.responsesSkipped(call, targetId, count);
        },
    };
}
