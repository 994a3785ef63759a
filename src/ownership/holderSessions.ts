/** Connections to one target: the one on which its leases are renewed, and one that is kept for the next move. */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address, TargetId } from "../model/names.js";
import type { LeasePort, LeaseSession } from "./leasePort.js";

/** Keeps the connections. */
export class HolderSessions {
    private renewing: LeaseSession | undefined;
    private spare: LeaseSession | undefined;
    private openingSpare = false;

    /**
     * @param targetId the target
     * @param address where it listens
     * @param port opens connections
     * @param onClosed told when the connection for renewals has ended
     */
    constructor(
        private readonly targetId: TargetId, private address: Address,
        private readonly port: LeasePort, private readonly onClosed: () => void,
    ) {}

    /** True while the connection for renewals is open. */
    get isOpen(): boolean {
        return this.renewing?.isOpen === true;
    }

    /**
     * Notes the target's address.
     * @returns whether it is a new one
     */
    moveTo(address: Address): boolean {
        if (address === this.address) {
            return false;
        }
        this.address = address;
        this.renewing?.reset();
        return true;
    }

    /** Gives the connection for renewals, and opens it if need be. */
    async forRenewals(): Promise<Result<LeaseSession, Failure>> {
        if (this.renewing?.isOpen === true) {
            return ok(this.renewing);
        }
        const opened = await this.port.open(this.targetId, this.address);
        const session = opened.unwrapOr(undefined);
        this.renewing = session;
        void session?.closed.then(() => {
            if (this.renewing === session) {
                this.onClosed();
            }
        });
        return opened;
    }

    /** Ends the connection for renewals, so that nothing that is still on its way is delivered later. */
    resetRenewals(): void {
        this.renewing?.reset();
        this.renewing = undefined;
    }

    /** A full target takes its time over new connections; moves must not wait for that, so one is kept for them. */
    async prepareMove(): Promise<void> {
        if (this.openingSpare || this.spare?.isOpen === true) {
            return;
        }
        this.openingSpare = true;
        this.spare = (await this.port.open(this.targetId, this.address)).unwrapOr(undefined);
        this.openingSpare = false;
    }

    /** Gives a connection of its own to a move. */
    async forMove(): Promise<Result<LeaseSession, Failure>> {
        const { spare } = this;
        this.spare = undefined;
        return spare?.isOpen === true ? ok(spare) : this.port.open(this.targetId, this.address);
    }

    /** Ends all connections. */
    close(): void {
        this.renewing?.reset();
        this.spare?.reset();
    }
}
