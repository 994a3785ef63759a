/** Targets, requests and queues for the tests of the admission queue. */
import type { AdmissionRequest, AdmissionVerdict, Ticket } from "../../src/admission/admissionRequest.js";
import { AdmissionQueue } from "../../src/admission/admissionQueue.js";
import type { QueueTarget } from "../../src/admission/targetRecord.js";
import type { DataCentreId, TargetId } from "../../src/model/names.js";

export const here = "here" as DataCentreId;
export const there = "there" as DataCentreId;

/** A target with two slots. */
export function target(name: string, change: Partial<QueueTarget> = {}): QueueTarget {
    return {
        targetId: name as TargetId, dataCentreId: here, slots: 2, isOpen: true, warmingUp: false, warmUpRequestsPerSecond: undefined,
        bornWallMs: 1, ...change,
    };
}

/** A request with a target latency of 300 ms and a deadline after a second. */
export function request(name: string, change: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return {
        ticket: name as Ticket, sender: "host-1", priority: 2, workMs: 100, arrivedMs: 0, softDeadlineMs: 300, deadlineMs: 1_000,
        near: here, avoid: new Set(),
        ...change,
    };
}

/** A queue of targets, which draws the middle of each jitter. */
export function queueOf(...targets: QueueTarget[]): AdmissionQueue {
    const queue = new AdmissionQueue(() => 0.5);
    queue.setTargets(targets, 0);
    return queue;
}

/** Formats verdicts as short texts, such as `a to t1` or `b overloaded`. */
export function formatVerdicts(verdicts: readonly AdmissionVerdict[]): string[] {
    return verdicts.map((verdict) => `${verdict.ticket} ${verdict.kind === "granted" ? `to ${verdict.targetId}` : verdict.reason}`);
}
