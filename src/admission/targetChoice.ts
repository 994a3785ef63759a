/**
 * Chooses the target for a request among those with a free slot.
 *
 * Load pattern: targets of one service in several data centres, some nearly full. Traffic between data centres is expensive, so a
 * request waits for a target in its own data centre as long as it can still meet its target latency there. With load management (the
 * request has a distribution of work times) the target with the lowest expected time to the complete response is chosen.
 */
import type { AdmissionRequest } from "./admissionRequest.js";
import { backlogMsOf } from "./targetBacklogs.js";
import type { TargetRecord } from "./targetRecord.js";
import { backOffLeftMs, fastestTarget, hasRateLimit, slownessNow } from "./targetRecord.js";
import type { WorkDistribution } from "./workEstimates.js";

/**
 * A request stops waiting for a local target when its slack (time left until its soft deadline, minus its work time) is at most this
 * share of its target latency.
 */
const minSlackShare = 0.35;

/**
 * With load management, a local target is in time if it completes the request within its target latency with a probability of at least
 * one half, so the median of the kind's work time is used.
 */
const inTimeWorkMs = ({ work, workMs }: AdmissionRequest) => work === undefined ? workMs : work.medianMs;

/**
 * Chooses a target.
 * @param request the request
 * @param withFreeSlot targets with a free slot
 * @param all all targets of the queue
 * @param nowMs current monotonic time
 * @returns the target, or undefined if the request should wait
 */
export function chooseTarget(
    request: AdmissionRequest, withFreeSlot: readonly TargetRecord[], all: readonly TargetRecord[], nowMs: number,
): TargetRecord | undefined {
    const available = withFreeSlot.filter((record) => backOffLeftMs(record, request.sender, nowMs) === 0);
    const untried = available.filter(({ target }) => !request.avoid.has(target.targetId));
    const usable = untried.length > 0 ? untried : available;
    const local = usable.filter(({ target }) => target.dataCentreId === request.near);
    const { work } = request;
    const best = (records: readonly TargetRecord[]) => work === undefined ? fastestTarget(records) : soonestTarget(records, work, nowMs);
    const localInTime = local.filter((record) =>
        nowMs + inTimeWorkMs(request) * slownessNow(record, work, nowMs) <= request.softDeadlineMs);
    if (localInTime.length > 0) {
        return best(localInTime);
    }
    const slackMs = request.softDeadlineMs - nowMs - request.workMs;
    const mayWait = slackMs > (request.softDeadlineMs - request.arrivedMs) * minSlackShare;
    const hasOpenLocal = all.some((record) =>
        record.target.isOpen && record.target.dataCentreId === request.near && !hasRateLimit(record));
    return local.length === 0 && mayWait && hasOpenLocal ? undefined : best(usable);
}

/** Returns the target with the lowest expected time to the complete response: the backlog there, and the work of the request itself. */
function soonestTarget(records: readonly TargetRecord[], work: WorkDistribution, nowMs: number): TargetRecord | undefined {
    if (records.length === 1) {
        return records[0];
    }
    let best: TargetRecord | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const record of records) {
        const expectedMs = backlogMsOf(record, work.meanMs, nowMs) + work.assumedMs * slownessNow(record, work, nowMs);
        if (best === undefined || expectedMs < bestMs) {
            best = record;
            bestMs = expectedMs;
        }
    }
    return best;
}
