/** Applies the newest version of the project's own configuration document, again whenever one of its exceptions expires. */
import { compileDocument } from "../config/compile.js";
import { nextExpiryWallMs } from "../config/document.js";
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";

/** Longest time between two checks for expired exceptions. */
const maxCheckIntervalMs = 60_000;

/**
 * Applies each new version of the document to the view until `signal` aborts.
 * @param view holds the ledger with the documents, and gets the compiled configuration
 * @param clock clocks of this process
 * @param log gets a line for each version that is applied
 * @param signal stops the function
 */
export async function watchDocument(view: ClusterView, clock: Clock, log: Log, signal: AbortSignal): Promise<void> {
    let appliedVersion: number | undefined;
    let expiresWallMs: number | undefined;
    while (!signal.aborted) {
        const newest = view.ledger.documents()[0];
        const { wallMs } = clock.now();
        if (newest !== undefined && (newest.version !== appliedVersion || wallMs >= (expiresWallMs ?? Number.POSITIVE_INFINITY))) {
            view.applyDocumentConfig(compileDocument(newest.document, newest.version, wallMs));
            log.info("document in force", { version: newest.version, author: newest.author, reason: newest.reason });
            appliedVersion = newest.version;
            expiresWallMs = nextExpiryWallMs(newest.document, wallMs);
        }
        const pauseMs = Math.min(maxCheckIntervalMs, (expiresWallMs ?? Number.POSITIVE_INFINITY) - wallMs);
        await waitFor(clock, pauseMs, [view.ledgerChanged], signal);
    }
}
