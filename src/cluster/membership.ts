/** The running hosts that this host knows. */
import type { Address, DataCentreId, HostId, RunId } from "../model/names.js";
import { Signal } from "../model/signal.js";

/** A running host. */
export interface Member {
    hostId: HostId;
    runId: RunId;
    peerAddress: Address;
    dataCentreId: DataCentreId;
    cpuShare: number;
    /** True if the host can keep the queue of a service in one data centre; absent for hosts of earlier versions. */
    keepsDataCentreQueues?: true;
}

/** The list of running hosts; this host is in it until it leaves. */
export class Membership {
    /** Fires when the list changes. */
    readonly changed = new Signal();
    private others: readonly Member[] = [];
    private readonly suspectedUntilMs = new Map<Address, number>();
    private leaving = false;

    /** Result of the last `members()`, until the list changes. */
    private cachedMembers: readonly Member[] | undefined;
    private listVersion = 0;

    /** @param self this host */
    constructor(readonly self: Member) {}

    /** True once this host has begun to leave. */
    get isLeaving(): boolean {
        return this.leaving;
    }

    /** Takes this host out of the list, unless it is the only one. */
    leave(): void {
        this.leaving = true;
        this.notifyChanged();
    }

    /** Every running host, sorted by id. */
    members(): readonly Member[] {
        this.cachedMembers ??= this.buildMembers();
        return this.cachedMembers;
    }

    /** Grows whenever the list changes. */
    get version(): number {
        return this.listVersion;
    }

    /** Every running host that is not suspected at the given time. */
    reachable(nowMs: number): Member[] {
        return this.members().filter((member) => this.isReachable(member, nowMs));
    }

    /** Tells whether a host is not suspected at the given time. */
    isReachable({ peerAddress }: Member, nowMs: number): boolean {
        return nowMs >= (this.suspectedUntilMs.get(peerAddress) ?? 0);
    }

    /**
     * Replaces the list.
     * @param members running hosts, with or without this one
     */
    update(members: readonly Member[]): void {
        this.others = members.filter(({ hostId }) => hostId !== this.self.hostId);
        this.notifyChanged();
    }

    private buildMembers(): Member[] {
        const own = this.leaving && this.others.length > 0 ? [] : [this.self];
        return [...own, ...this.others].sort((left, right) => left.hostId < right.hostId ? -1 : 1);
    }

    private notifyChanged(): void {
        this.cachedMembers = undefined;
        this.listVersion += 1;
        this.changed.fire();
    }

    /**
     * Suspects a host that could not be reached.
     * @param address its peer address
     * @param untilMs monotonic time until which it is left out of `reachable`
     */
    suspect(address: Address, untilMs: number): void {
        if (address !== this.self.peerAddress) {
            this.suspectedUntilMs.set(address, untilMs);
        }
    }

    /** Ends the suspicion of a host that answered. */
    clearSuspicion(address: Address): void {
        this.suspectedUntilMs.delete(address);
    }
}
