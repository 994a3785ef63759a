/** Work that is still to be done at each target of a queue. */
import type { TargetId } from "../model/names.js";
import { remainingMs } from "./runningRequests.js";
import type { TargetRecord } from "./targetRecord.js";
import { slownessNow } from "./targetRecord.js";

/** Backlog of a target, for operators. */
export interface TargetBacklog {
    targetId: TargetId;
    running: number;
    /** Time until the requests that run there are expected to be done. */
    backlogMs: number;
    /** Work time there now divided by the average. */
    slowness: number;
}

/**
 * Returns the expected remaining work of the requests at a target, divided by its slots and its speed; 0 without load management. Requests
 * that the target reports beyond those of this queue count as half done.
 * @param record the target's record
 * @param meanWorkMs mean work time of a request at a target of average speed
 * @param nowMs current monotonic time
 */
export function backlogMsOf(record: TargetRecord, meanWorkMs: number, nowMs: number): number {
    const { speed, target } = record;
    if (speed === undefined) {
        return 0;
    }
    const slowness = slownessNow(record, undefined, nowMs);
    let workMs = speed.requestsOfOthers(target.slots, nowMs) * meanWorkMs / 2;
    for (const request of speed.running) {
        workMs += remainingMs(request, slowness, nowMs);
    }
    return workMs / target.slots * slowness;
}

/** Lists the backlog of each target. */
export function describeBacklogs(records: readonly TargetRecord[], meanWorkMs: number, nowMs: number): TargetBacklog[] {
    return records.map((record) => ({
        targetId: record.target.targetId, running: record.running,
        backlogMs: Math.round(backlogMsOf(record, meanWorkMs, nowMs)),
        slowness: Math.round(slownessNow(record, undefined, nowMs) * 100) / 100,
    }));
}
