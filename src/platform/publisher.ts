/** Appends a record that names its base, and finds out what became of it, also when the answer is lost. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { LogFollower } from "./logFollower.js";
import type { LogPort } from "./logPort.js";
import type { ConfigRecord, TermRecord } from "./records.js";
import type { Verdict } from "./fold.js";
import { verdictOf } from "./fold.js";

const pollMs = 50;

/**
 * Appends a record and waits until the log's order has decided on it. When the answer of the append is lost, the
 * log is read for the record's id; it is never appended a second time.
 * @param record the record
 * @param log port to the log
 * @param follower reads the log of this process
 * @param clock clocks of this process
 * @param timeoutMs how long to look for the verdict
 * @returns the verdict, or a `lost` failure when the log did not show the record in time
 */
export async function publish(
    record: ConfigRecord | TermRecord,
    log: LogPort,
    follower: LogFollower,
    clock: Clock,
    timeoutMs: number,
): Promise<Result<Verdict, Failure>> {
    const untilMs = clock.now().monoMs + timeoutMs;
    const appended = await log.append(record);
    if (appended.isErr() && appended.error.kind !== "lost") {
        return err(appended.error);
    }
    for (;;) {
        const verdict = verdictOf(follower.state, record.recordId);
        if (verdict !== undefined) {
            return ok(verdict);
        }
        if (clock.now().monoMs >= untilMs) {
            return err(failure("lost", "publish", "log", `record ${record.recordId} has not shown up on the log yet`));
        }
        await Promise.race([follower.changed.next(), clock.sleep(pollMs)]);
    }
}
