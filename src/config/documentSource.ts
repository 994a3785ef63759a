/** Keeps the project's own document in force: its newest version, and its exceptions as long as they last. */
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import { compileDocument } from "./compile.js";
import { nextExpiryWallMs } from "./document.js";

/** Longest pause before the exceptions are looked at again. */
const longestPauseMs = 60_000;

/**
 * Follows the document until stopped.
 * @param view where the ledger is
 * @param clock clocks of this process
 * @param log tells of each version that comes into force
 * @param signal stops it
 */
export async function followDocument(view: ClusterView, clock: Clock, log: Log, signal: AbortSignal): Promise<void> {
    let inForce: number | undefined;
    let expiresWallMs: number | undefined;
    while (!signal.aborted) {
        const newest = view.ledger.documents()[0];
        const { wallMs } = clock.now();
        if (newest !== undefined && (newest.version !== inForce || wallMs >= (expiresWallMs ?? Number.POSITIVE_INFINITY))) {
            view.applyOwnConfig(compileDocument(newest.document, newest.version, wallMs));
            log.info("document in force", { version: newest.version, author: newest.author, reason: newest.reason });
            inForce = newest.version;
            expiresWallMs = nextExpiryWallMs(newest.document, wallMs);
        }
        const pauseMs = Math.min(longestPauseMs, (expiresWallMs ?? Number.POSITIVE_INFINITY) - wallMs);
        await waitFor(clock, pauseMs, [view.ledgerChanged], signal);
    }
}
