/** The hosts that are at work, as far as this host knows. */
import type { Address, DataCentreId, HostId, RunId } from "../model/names.js";
import { Signal } from "../model/signal.js";

/** A host at work. */
export interface Member {
    hostId: HostId;
    runId: RunId;
    peerAddress: Address;
    dataCentreId: DataCentreId;
    cpuShare: number;
}

/** The list of hosts at work; this host is in it until it leaves. */
export class Membership {
    readonly changed = new Signal();
    private others: readonly Member[] = [];
    private readonly suspects = new Map<Address, number>();
    private leaving = false;

    private listed: readonly Member[] | undefined;
    private changes = 0;

    /** @param self this host */
    constructor(readonly self: Member) {}

    /** True once this host has begun to leave. */
    get isLeaving(): boolean {
        return this.leaving;
    }

    /** Takes this host out of the list, as long as there are others. */
    leave(): void {
        this.leaving = true;
        this.noteChange();
    }

    /** Every host at work, in the order of their names. */
    members(): readonly Member[] {
        this.listed ??= this.list();
        return this.listed;
    }

    /** Grows whenever the list of hosts at work changes. */
    get version(): number {
        return this.changes;
    }

    /** Every host but those that could not be reached lately. */
    reachable(nowMs: number): Member[] {
        return this.members().filter((member) => this.isReachable(member, nowMs));
    }

    /** Tells whether a host was not found unreachable lately. */
    isReachable({ peerAddress }: Member, nowMs: number): boolean {
        return nowMs >= (this.suspects.get(peerAddress) ?? 0);
    }

    /**
     * Replaces the list.
     * @param members hosts at work, with or without this one
     */
    update(members: readonly Member[]): void {
        this.others = members.filter(({ hostId }) => hostId !== this.self.hostId);
        this.noteChange();
    }

    private list(): Member[] {
        const own = this.leaving && this.others.length > 0 ? [] : [this.self];
        return [...own, ...this.others].sort((left, right) => left.hostId < right.hostId ? -1 : 1);
    }

    private noteChange(): void {
        this.listed = undefined;
        this.changes += 1;
        this.changed.fire();
    }

    /**
     * Notes that a host could not be reached.
     * @param address where it listens for hosts
     * @param untilMs it is passed over until then
     */
    suspect(address: Address, untilMs: number): void {
        if (address !== this.self.peerAddress) {
            this.suspects.set(address, untilMs);
        }
    }

    /** Notes that a host answered. */
    trust(address: Address): void {
        this.suspects.delete(address);
    }
}
