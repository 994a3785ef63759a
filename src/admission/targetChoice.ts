/**
 * Chooses the target for a request among those with a free slot.
 *
 * Load pattern: targets of one service in several data centres, some nearly full. Traffic between data centres is expensive, so a
 * request waits for a target in its own data centre as long as it can still meet its target latency there.
 */
import type { AdmissionRequest } from "./admissionRequest.js";
import type { TargetRecord } from "./targetRecord.js";
import { closedForMs, quickest } from "./targetRecord.js";

/** A request stops waiting for a local target when its slack (time left minus work time) is below this share of its target latency. */
const nearPatienceShare = 0.35;

/**
 * Chooses a target.
 * @param request the request
 * @param withSlot targets with a free slot
 * @param all all targets of the queue
 * @param nowMs current monotonic time
 * @returns the target, or undefined if the request should wait
 */
export function chooseTarget(
    request: AdmissionRequest, withSlot: readonly TargetRecord[], all: readonly TargetRecord[], nowMs: number,
): TargetRecord | undefined {
    const free = withSlot.filter((record) => closedForMs(record, request.sender, nowMs) === 0);
    const untried = free.filter(({ target }) => !request.avoid.has(target.targetId));
    const usable = untried.length > 0 ? untried : free;
    const near = usable.filter(({ target }) => target.dataCentreId === request.near);
    const nearInTime = near.filter(({ slowness }) => nowMs + request.workMs * slowness <= request.targetMs);
    if (nearInTime.length > 0) {
        return quickest(nearInTime);
    }
    const leftMs = request.targetMs - nowMs - request.workMs;
    const mayWait = leftMs > (request.targetMs - request.arrivedMs) * nearPatienceShare;
    const hasOpenNear = all.some(({ target }) => target.open && target.dataCentreId === request.near);
    return near.length === 0 && mayWait && hasOpenNear ? undefined : quickest(usable);
}
