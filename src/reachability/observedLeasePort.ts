/** Reports to the reachability monitor how calls on leases end, since a coordinator without clients has no other evidence. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { TargetId } from "../model/names.js";
import type { LeasePort, LeaseSession } from "../ownership/leasePort.js";
import type { ClusterView } from "../store/clusterView.js";
import type { ReachabilityMonitor } from "./reachabilityMonitor.js";

/**
 * Wraps a port to leases.
 * @param leases the port
 * @param reachability gets a check for each target that doesn't answer
 */
export function observeLeasePort(
    leases: LeasePort, reachability: Pick<ReachabilityMonitor, "check" | "recordHeard">, view: ClusterView,
): LeasePort {
    const observe = <T>(targetId: TargetId, outcome: Result<T, Failure>): Result<T, Failure> => {
        const target = view.targets.get(targetId);
        if (outcome.isErr() && target !== undefined) {
            void reachability.check(target);
        }
        return outcome;
    };

    const observeSession = (targetId: TargetId, session: LeaseSession): LeaseSession => ({
        get isOpen() {
            return session.isOpen;
        },
        get isLeaving() {
            return session.isLeaving;
        },
        get requestsPerSecond() {
            return session.requestsPerSecond;
        },
        closed: session.closed,
        grant: async (grant, timeoutMs) => {
            const reply = observe(targetId, await session.grant(grant, timeoutMs));
            if (reply.isOk()) {
                reachability.recordHeard(targetId);
            }
            return reply;
        },
        release: (range, fence, timeoutMs) => session.release(range, fence, timeoutMs),
        reset: () => {
            session.reset();
        },
    });

    return {
        open: async (targetId, address) =>
            observe(targetId, await leases.open(targetId, address)).map((session) => observeSession(targetId, session)),
    };
}
