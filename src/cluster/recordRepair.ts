/**
 * Writes the coordinator's own records anew after another program has overwritten them with something that can't be decoded. Hosts that
 * knew them go on, but one that starts would know neither the term nor who owns these keys.
 */
import { describeFailure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { LedgerWriter } from "../ownership/ledgerWriter.js";
import type { ClusterView } from "../store/clusterView.js";

/** Period of the check; appends are expensive, so that a program that goes on overwriting records causes few of them. */
const checkPeriodMs = 500;

/** Dependencies of `repairRecords`. */
export interface RecordRepairDependencies {
    view: ClusterView;
    writer: Pick<LedgerWriter, "record">;
    clock: Clock;
    log: Log;
}

/** Repairs records until `signal` aborts; called at the coordinator. */
export async function repairRecords({ view, writer, clock, log }: RecordRepairDependencies, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        const overwritten = view.ledger.overwritten();
        if (overwritten.length > 0) {
            const result = await writer.record(overwritten);
            log.warn("records written anew that another program had overwritten", {
                keys: overwritten.map(({ key }) => key), outcome: result.isOk() ? "recorded" : describeFailure(result.error),
            });
        }
        await clock.sleep(checkPeriodMs, signal);
    }
}
