/** Port to the record of what happened to requests: log lines, counters and histograms. */
import type { ClientCall, Refusal } from "../entry/clientCall.js";
import type { AttemptEnd } from "../forwarding/attempt.js";
import type { TargetId } from "../model/names.js";
import type { Route } from "../model/routing.js";

/** Records each decision on a request. */
export interface RequestLog {
    answered(call: ClientCall, route: Route, tried: ReadonlySet<TargetId>, status: number, tookMs: number): void;
    refused(call: ClientCall, refusal: Refusal, route: Route | undefined, tried: ReadonlySet<TargetId> | undefined): void;
    retried(call: ClientCall, route: Route, targetId: TargetId, end: AttemptEnd): void;
    left(call: ClientCall, route: Route, tried: ReadonlySet<TargetId>): void;
    /** A target said in an answer that it leaves. */
    targetLeaves(targetId: TargetId): void;
    /** A target asked this host to send nothing for a while. */
    targetPauses(targetId: TargetId, pauseMs: number): void;
}
