/**
 * Records that a term is settled: that no lease is in force any more which a coordinator granted on records that the store has lost. Until
 * then each successor has to wait for that in full.
 */
import { describeFailure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { termKey } from "../ownership/ledgerRecords.js";
import type { LedgerWriter } from "../ownership/ledgerWriter.js";
import type { Predecessor } from "../ownership/predecessor.js";
import type { ClusterView } from "../store/clusterView.js";

/** Pause after an attempt that failed. */
const retryMs = 500;

/** Dependencies of `settleTerm`. */
export interface TermSettlingDependencies {
    view: ClusterView;
    writer: Pick<LedgerWriter, "record">;
    clock: Clock;
    log: Log;
    predecessor: Predecessor;
}

/** Records the term as settled as soon as it is, until `signal` aborts; called at the coordinator. */
export async function settleTerm({ view, writer, clock, log, predecessor }: TermSettlingDependencies, signal: AbortSignal): Promise<void> {
    const fromMs = predecessor.grantsFromMs ?? Number.NEGATIVE_INFINITY;
    while (!signal.aborted && view.ledger.term?.unsettled === true) {
        const nowMs = clock.now().monoMs;
        if (nowMs >= fromMs) {
            const settled = { ...view.ledger.term };
            delete settled.unsettled;
            const result = await writer.record([{ key: termKey, record: settled }]);
            log.info("term settled", { term: settled.term, outcome: result.isOk() ? "recorded" : describeFailure(result.error) });
        }
        await clock.sleep(Math.max(fromMs - nowMs, retryMs), signal);
    }
}
