/**
 * Chooses the target for a request among those with a free slot.
 *
 * Load pattern: targets of one service in several data centres, some nearly full. Traffic between data centres is expensive, so a
 * request waits for a target in its own data centre as long as it can still meet its target latency there.
 */
import type { AdmissionRequest } from "./admissionRequest.js";
import type { TargetRecord } from "./targetRecord.js";
import { backOffLeftMs, fastestTarget, hasRateLimit } from "./targetRecord.js";

/**
 * A request stops waiting for a local target when its slack (time left until its soft deadline, minus its work time) is at most this
 * share of its target latency.
 */
const minSlackShare = 0.35;

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
    const localInTime = local.filter(({ slowness }) => nowMs + request.workMs * slowness <= request.softDeadlineMs);
    if (localInTime.length > 0) {
        return fastestTarget(localInTime);
    }
    const slackMs = request.softDeadlineMs - nowMs - request.workMs;
    const mayWait = slackMs > (request.softDeadlineMs - request.arrivedMs) * minSlackShare;
    const hasOpenLocal = all.some((record) =>
        record.target.isOpen && record.target.dataCentreId === request.near && !hasRateLimit(record));
    return local.length === 0 && mayWait && hasOpenLocal ? undefined : fastestTarget(usable);
}
