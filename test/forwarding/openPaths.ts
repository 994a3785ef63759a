/** Paths to targets that are all open, for tests of hosts that are not cut off. */
import { connectToTarget } from "../../src/forwarding/targetConnection.js";
import type { TargetConnector } from "../../src/forwarding/targetConnector.js";

/** Connects directly. */
export const directConnector: TargetConnector = {
    connect: (address, timeoutMs = 400) => connectToTarget(address, timeoutMs),
    mayReuse: () => true,
};
