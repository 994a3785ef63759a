/** Finds out whether a process listens at a target's address. */
import type { ProbeResult } from "../crashes/crashObserver.js";
import type { Address } from "../model/names.js";
import type { ConnectionPool } from "./connectionPool.js";
import type { TargetConnector } from "./targetConnector.js";

/** Time within which a process accepts a connection even if it is busy, since the kernel does that for it. */
const probeTimeoutMs = 150;

/**
 * Opens a connection to a target and keeps it in the pool for a later request.
 * @param pool pool of connections to targets
 * @param connector opens the connection, through another host if this one is cut off
 * @param address the target's address
 */
export async function probeTarget(
    pool: ConnectionPool, connector: Pick<TargetConnector, "connect">, address: Address,
): Promise<ProbeResult> {
    const opened = await connector.connect(address, probeTimeoutMs);
    return opened.match(
        (connection): ProbeResult => {
            pool.release(address, connection);
            return "listening";
        },
        ({ refused }): ProbeResult => refused === true ? "not-listening" : "no-answer",
    );
}
