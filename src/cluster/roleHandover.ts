/** Gives the coordinator's role to another host: when this host leaves, and when it is cut off from the targets that others reach. */
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import type { Member, Membership } from "./membership.js";
import type { SucceedReply } from "./messages.js";
import { callTimeoutMs, clusterMethods } from "./messages.js";
import type { PeerLinks } from "./peerLinks.js";
import type { TargetReach } from "./targetReach.js";

const retryDelayMs = 80;

/** Interval at which a coordinator that is cut off offers its role again. */
const offerIntervalMs = 500;

/** Dependencies of the handover. */
export interface RoleHandoverDependencies {
    self: Member;
    view: ClusterView;
    membership: Membership;
    links: PeerLinks;
    targetReach: TargetReach;
    clock: Clock;
    log: Log;
    /** Tells whether this host coordinates. */
    isCoordinating: () => boolean;
}

/** Offers the role to other hosts. */
export interface RoleHandover {
    /** Asks other hosts in turn to take over, until this host doesn't coordinate any more or all have been asked. */
    offer(): Promise<void>;
    /** Offers the role whenever this host is cut off from targets, until `signal` aborts. */
    whileCutOff(signal: AbortSignal): Promise<void>;
}

/** Creates the handover. */
export function createRoleHandover(
    { self, view, membership, links, targetReach, clock, log, isCoordinating }: RoleHandoverDependencies,
): RoleHandover {
    /** Other hosts: the one that is known to reach targets first, then those with a larger CPU share. */
    const successors = (): Member[] => {
        const helper = targetReach.lastHelper();
        const priorityOf = ({ hostId, cpuShare }: Member) => hostId === helper ? Number.POSITIVE_INFINITY : cpuShare;
        return membership.reachable(clock.now().monoMs).filter(({ hostId }) => hostId !== self.hostId)
            .sort((left, right) => priorityOf(right) - priorityOf(left));
    };

    const offer = async (): Promise<void> => {
        for (const successor of successors()) {
            if (!isCoordinating()) {
                return;
            }
            const reply = await links.call<SucceedReply | undefined>(
                successor.peerAddress, clusterMethods.succeed, { address: self.peerAddress }, callTimeoutMs);
            const isRefused = reply.isOk() && reply.value?.accepted === false;
            log.info("coordinator's role offered", { successor: successor.hostId, accepted: reply.isOk() && !isRefused });
            if (!isRefused) {
                await waitFor(clock, callTimeoutMs, [view.ledgerChanged]);
                await clock.sleep(retryDelayMs);
            }
        }
    };

    return {
        offer,
        whileCutOff: async (signal) => {
            while (!signal.aborted) {
                await waitFor(clock, offerIntervalMs, [targetReach.changed], signal);
                if (!signal.aborted && targetReach.isCutOff()) {
                    log.warn("coordinator cut off from targets", { term: view.ledger.term?.term });
                    await offer();
                }
            }
        },
    };
}
