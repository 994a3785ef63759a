/** Makes servers listen, also where the address is still in use by a process that is about to end. */
import { once } from "node:events";
import type net from "node:net";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";

/** Delay before an address that is in use is tried again. */
const retryDelayMs = 100;

const addressInUseCode = "EADDRINUSE";

/**
 * Makes a server listen at an address; an address that is in use is tried again.
 * @param server the server
 * @param address IP address and port
 * @param clock clock of this process
 * @param retryForMs how long to try again
 * @returns resolves when the server listens, or to the failure of the last try
 */
export async function listen(server: net.Server, address: string, clock: Clock, retryForMs: number): Promise<Result<undefined, Failure>> {
    const deadlineMs = clock.now().monoMs + retryForMs;
    const [host, port] = address.split(":");
    for (;;) {
        try {
            const listening = once(server, "listening");
            server.listen(Number(port), host);
            await listening;
            return ok(undefined);
        }
        catch (error) {
            const isInUse = (error as NodeJS.ErrnoException).code === addressInUseCode;
            if (!isInUse || clock.now().monoMs >= deadlineMs) {
                return err(failure("refused", "listen", address, error instanceof Error ? error.message : String(error)));
            }
        }
        await clock.sleep(retryDelayMs);
    }
}
