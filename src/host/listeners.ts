/** Starts everything that a host listens on. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { Log } from "../observe/log.js";

/** Something that a host listens on. */
export interface Listener {
    /** Names the listener in logs. */
    purpose: "clients" | "ready" | "peers" | "admin";
    address: Address;
    start: (address: Address, retryForMs: number) => Promise<Result<unknown, Failure>>;
}

/**
 * Starts all listeners, and logs a line for each that cannot listen.
 * @param listeners the listeners
 * @param retryForMs how long an address that is in use is tried again
 * @param log gets the lines
 * @returns resolves to whether all of them listen, once each listens or has failed
 */
export async function startListeners(listeners: readonly Listener[], retryForMs: number, log: Log): Promise<boolean> {
    const outcomes = await Promise.all(listeners.map(async ({ purpose, address, start }) =>
        (await start(address, retryForMs)).mapErr(({ message }) => {
            log.error("cannot listen", { purpose, address, why: message });
        })));
    return outcomes.every((outcome) => outcome.isOk());
}
