/** Connections to one target: one for lease renewals, and a spare one for the next move. */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address, TargetId } from "../model/names.js";
import type { LeasePort, LeaseSession } from "./leasePort.js";

/** Opens, keeps and resets the connections. */
export class TargetSessions {
    private currentRenewalSession: LeaseSession | undefined;
    private spareSession: LeaseSession | undefined;
    private isOpeningSpare = false;

    /** @param onClosed called when the connection for renewals has closed */
    constructor(
        private readonly targetId: TargetId, private address: Address,
        private readonly port: LeasePort, private readonly onClosed: () => void,
    ) {}

    /** True while the connection for renewals is open. */
    get isRenewalSessionOpen(): boolean {
        return this.currentRenewalSession?.isOpen === true;
    }

    /**
     * Sets the target's address; a change resets the connection for renewals.
     * @returns whether the address has changed
     */
    setAddress(address: Address): boolean {
        if (address === this.address) {
            return false;
        }
        this.address = address;
        this.currentRenewalSession?.reset();
        return true;
    }

    /** Returns the connection for renewals, opening it if necessary. */
    async renewalSession(): Promise<Result<LeaseSession, Failure>> {
        if (this.currentRenewalSession?.isOpen === true) {
            return ok(this.currentRenewalSession);
        }
        const opened = await this.port.open(this.targetId, this.address);
        const session = opened.unwrapOr(undefined);
        this.currentRenewalSession = session;
        void session?.closed.then(() => {
            if (this.currentRenewalSession === session) {
                this.onClosed();
            }
        });
        return opened;
    }

    /** Resets the connection for renewals, so that nothing still in transit is delivered later. */
    resetRenewalSession(): void {
        this.currentRenewalSession?.reset();
        this.currentRenewalSession = undefined;
    }

    /** Opens the spare connection. An overloaded target is slow to accept connections, and a move must not wait for that. */
    async openSpareSession(): Promise<void> {
        if (this.isOpeningSpare || this.spareSession?.isOpen === true) {
            return;
        }
        this.isOpeningSpare = true;
        try {
            this.spareSession = (await this.port.open(this.targetId, this.address)).unwrapOr(undefined);
        }
        finally {
            this.isOpeningSpare = false;
        }
    }

    /** Returns a connection for a single move: the spare one, or a new one. */
    async moveSession(): Promise<Result<LeaseSession, Failure>> {
        const { spareSession } = this;
        this.spareSession = undefined;
        return spareSession?.isOpen === true ? ok(spareSession) : this.port.open(this.targetId, this.address);
    }

    /** Resets all connections. */
    close(): void {
        this.currentRenewalSession?.reset();
        this.spareSession?.reset();
    }
}
