/** Composes what a host reports to its coordinator. */
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { Clock } from "../model/time.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { ClusterView } from "../store/clusterView.js";
import type { Membership } from "./membership.js";
import type { Report } from "./messages.js";

/** Period of the reports. */
export const reportPeriodMs = 300;

/** Dependencies of the reports. */
export interface HostReportsDependencies {
    view: ClusterView;
    membership: Membership;
    loads: LoadMeter;
    admissionServer: { pressures(): Report["pressures"] };
    crashObserver: Pick<CrashObserver, "takeUnreported">;
    clock: Clock;
}

/** Returns the monotonic time to state in a message, in whole milliseconds. */
export function sentAtMsOf(clock: Clock): number {
    return Math.floor(clock.now().monoMs);
}

/** Composes a report of what this host has observed since the previous one. */
export function createReport({ view, membership, loads, admissionServer, crashObserver, clock }: HostReportsDependencies): Report {
    const leavingTargets = view.leavingReports.unconfirmed();
    const observations = crashObserver.takeUnreported();
    return {
        loads: loads.takeReport(), pressures: admissionServer.pressures(), leaving: membership.isLeaving, sentAtMs: sentAtMsOf(clock),
        ...leavingTargets.length > 0 ? { leavingTargets } : {},
        ...observations === undefined ? {} : { crashEvidence: observations },
    };
}
