/** Paths to targets that are all open, for tests of hosts that are not cut off. */
import type { TargetPaths } from "../../src/forwarding/pathWatch.js";
import { connectToTarget } from "../../src/forwarding/targetConnection.js";
import type { TargetConnector } from "../../src/forwarding/targetConnector.js";

/** Connects directly. */
export const directConnector: TargetConnector = {
    connect: (address, timeoutMs = 400) => connectToTarget(address, timeoutMs),
    mayReuse: () => true,
};

/** Finds every path open. */
export const openPaths: TargetPaths = {
    pathTo: () => "open", isQuiet: () => false, recordHeard: () => undefined, check: () => Promise.resolve(),
};
