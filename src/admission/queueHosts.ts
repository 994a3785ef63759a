/** Determines which hosts may keep an admission queue. */
import type { Member, Membership } from "../cluster/membership.js";
import type { DataCentreId } from "../model/names.js";
import { rankCandidates } from "../model/rendezvous.js";
import type { ClusterView } from "../store/clusterView.js";
import type { Group } from "./messages.js";
import { groupName } from "./messages.js";

/** Share of a rate limit that a host may use, by its place in the order of hosts for the queue; `shareOfOthers` for all further ones. */
const shareByRank: readonly number[] = [1, 0.2];
const shareOfOthers = 0.1;

/** Ranks the hosts for each queue; all hosts that know the same members and targets get the same order. */
export class QueueHosts {
    private readonly rankedByQueue = new Map<string, readonly Member[]>();
    private rankedVersion: number;
    private checkedVersion: number | undefined;
    private allCanKeep = false;

    constructor(private readonly membership: Membership, private readonly view: ClusterView) {
        this.rankedVersion = membership.version;
    }

    /**
     * Lists the hosts that may keep a queue, in order of preference: first those in the data centre of the targets, if the group is in one.
     * The order is cached until the members change: with hundreds of hosts, ranking takes longer than the rest of a request for
     * a slot.
     */
    ranked(group: Group): readonly Member[] {
        if (this.rankedVersion !== this.membership.version) {
            this.rankedByQueue.clear();
            this.rankedVersion = this.membership.version;
        }
        const dataCentreId = group.kind === "target" ? this.view.targets.get(group.targetId)?.dataCentreId : group.dataCentreId;
        const cacheKey = `${groupName(group)}/${dataCentreId ?? ""}`;
        const ranked = this.rankedByQueue.get(cacheKey) ?? this.rank(group, dataCentreId);
        this.rankedByQueue.set(cacheKey, ranked);
        return ranked;
    }

    /**
     * Returns whether every host can keep the queue of a service in one data centre. As long as one can't, all hosts use the queue of the
     * whole service, so that the slots of a target are counted in one place.
     */
    canAllKeepDataCentreQueues(): boolean {
        if (this.checkedVersion !== this.membership.version) {
            this.checkedVersion = this.membership.version;
            this.allCanKeep = this.membership.members().every(({ keepsDataCentreQueues }) => keepsDataCentreQueues === true);
        }
        return this.allCanKeep;
    }

    /**
     * Returns the share of the targets' rate limits that this host may use when it is asked to keep a queue. Hosts that cannot reach the
     * preferred host ask the next one, while the others go on asking the first; so several hosts may keep one queue at a time, and
     * their shares together stay within what targets tolerate beyond their limits.
     */
    rateLimitShare(group: Group): number {
        const rank = this.ranked(group).findIndex(({ hostId }) => hostId === this.membership.self.hostId);
        return shareByRank[rank] ?? shareOfOthers;
    }

    /**
     * Many hosts ask the queue of a service without keys for every request, which is more than a small host can answer, so for these
     * queues hosts with a larger CPU share come first.
     */
    private rank(group: Group, preferredDataCentreId: DataCentreId | undefined): readonly Member[] {
        const ranked = rankCandidates(groupName(group), this.membership.members(), ({ hostId }) => hostId);
        if (group.kind === "service") {
            ranked.sort((left, right) => right.cpuShare - left.cpuShare);
        }
        return [
            ...ranked.filter(({ dataCentreId }) => dataCentreId === preferredDataCentreId),
            ...ranked.filter(({ dataCentreId }) => dataCentreId !== preferredDataCentreId),
        ];
    }
}
