/** Chooses the hosts that are asked about targets, and through which requests pass while this host can't reach a target itself. */
import type { DataCentreId, HostId } from "../model/names.js";
import { rankCandidates } from "../model/rendezvous.js";
import type { Member, Membership } from "../cluster/membership.js";

/** A host that said that it is cut off itself, or that did not answer, is asked last for this long. */
const avoidedForMs = 3_000;

/** Orders the other hosts. */
export class Helpers {
    private readonly avoidedUntilMs = new Map<HostId, number>();

    /** @param membership the running hosts */
    constructor(private readonly membership: Membership) {}

    /** Records that a host can't help at present. */
    avoid({ hostId }: Member, nowMs: number): void {
        this.avoidedUntilMs.set(hostId, nowMs + avoidedForMs);
    }

    /**
     * Lists other hosts in the order in which they are asked: those in this host's data centre first, then those in the target's, since
     * bytes between data centres have a price. Hosts of equal distance are ranked by the subject, so that the load is spread over them.
     * @param subject name of what is asked for, such as a target's id
     * @param dataCentreId data centre of the target
     * @param nowMs current monotonic time
     */
    ranked(subject: string, dataCentreId: DataCentreId, nowMs: number): Member[] {
        const { self } = this.membership;
        const others = this.membership.reachable(nowMs).filter(({ hostId }) => hostId !== self.hostId);
        const distanceOf = (member: Member) => {
            const isAvoided = nowMs < (this.avoidedUntilMs.get(member.hostId) ?? 0);
            const distance = member.dataCentreId === self.dataCentreId ? 0 : member.dataCentreId === dataCentreId ? 1 : 2;
            return isAvoided ? distance + 3 : distance;
        };
        return rankCandidates(`${self.hostId}|${subject}`, others, ({ hostId }) => hostId)
            .sort((left, right) => distanceOf(left) - distanceOf(right));
    }
}
