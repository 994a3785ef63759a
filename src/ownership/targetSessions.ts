/** Connections to one target: one for lease renewals, and a spare one for the next move. */
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address, TargetId } from "../model/names.js";
import type { LeasePort, LeaseSession } from "./leasePort.js";

/** Opens, keeps and resets the connections. */
export class TargetSessions {
    private renewing: LeaseSession | undefined;
    private spare: LeaseSession | undefined;
    private openingSpare = false;

    /** @param onClosed called when the connection for renewals has closed */
    constructor(
        private readonly targetId: TargetId, private address: Address,
        private readonly port: LeasePort, private readonly onClosed: () => void,
    ) {}

    /** True while the connection for renewals is open. */
    get isRenewalSessionOpen(): boolean {
        return this.renewing?.isOpen === true;
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
        this.renewing?.reset();
        return true;
    }

    /** Returns the connection for renewals, opening it if necessary. */
    async renewalSession(): Promise<Result<LeaseSession, Failure>> {
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

    /** Resets the connection for renewals, so that nothing still in transit is delivered later. */
    resetRenewalSession(): void {
        this.renewing?.reset();
        this.renewing = undefined;
    }

    /** Opens the spare connection. An overloaded target is slow to accept connections, and a move must not wait for that. */
    async openSpareSession(): Promise<void> {
        if (this.openingSpare || this.spare?.isOpen === true) {
            return;
        }
        this.openingSpare = true;
        this.spare = (await this.port.open(this.targetId, this.address)).unwrapOr(undefined);
        this.openingSpare = false;
    }

    /** Returns a connection for a single move: the spare one, or a new one. */
    async moveSession(): Promise<Result<LeaseSession, Failure>> {
        const { spare } = this;
        this.spare = undefined;
        return spare?.isOpen === true ? ok(spare) : this.port.open(this.targetId, this.address);
    }

    /** Resets all connections. */
    close(): void {
        this.renewing?.reset();
        this.spare?.reset();
    }
}
