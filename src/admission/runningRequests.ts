/** The requests that hold a slot of an admission queue's targets, and when their slots expire. */
import type { TargetId } from "../model/names.js";
import type { AdmissionRequest, Ticket } from "./admissionRequest.js";
import type { TargetSpeed } from "./targetLoadReports.js";
import type { RunningRequest } from "./targetRecord.js";

/** Time after a request's deadline at which its slot is freed if its end has not been reported. */
const unreportedGraceMs = 1_000;

/** Requests that hold a slot, by ticket. */
export class RunningRequests {
    private readonly byTicket = new Map<Ticket, RunningRequest>();

    /** Number of requests that hold a slot. */
    get count(): number {
        return this.byTicket.size;
    }

    /**
     * Adds a request that has been granted a slot.
     * @param request the request
     * @param targetId the slot's target
     * @param nowMs current monotonic time
     * @param speed speed of the target; undefined without load management
     */
    start(request: AdmissionRequest, targetId: TargetId, nowMs: number, speed?: TargetSpeed): void {
        const running: RunningRequest = {
            targetId, sender: request.sender, workMs: request.workMs,
            startedMs: nowMs, slotExpiryMs: request.deadlineMs + unreportedGraceMs, suspect: request.suspect,
            work: request.work, speed, reportedLog: speed?.reportedLog(nowMs),
        };
        speed?.running.add(running);
        this.byTicket.set(request.ticket, running);
    }

    /** Tells whether a request holds a slot. */
    has(ticket: Ticket): boolean {
        return this.byTicket.has(ticket);
    }

    /** Removes a request and returns it; returns undefined if it holds no slot. */
    remove(ticket: Ticket): RunningRequest | undefined {
        const request = this.byTicket.get(ticket);
        this.byTicket.delete(ticket);
        request?.speed?.running.delete(request);
        return request;
    }

    /** Lists the requests whose slots have expired. */
    expired(nowMs: number): Ticket[] {
        return [...this.byTicket].filter(([, { slotExpiryMs }]) => nowMs > slotExpiryMs).map(([ticket]) => ticket);
    }

    /** Counts the requests that hold a slot of a target. */
    countAt(targetId: TargetId): number {
        return [...this.byTicket.values()].filter((request) => request.targetId === targetId).length;
    }

    /** Lists the requests that are suspected of crashing targets. */
    suspected(): RunningRequest[] {
        return [...this.byTicket.values()].filter(({ suspect }) => suspect !== undefined);
    }

    /** Returns the expected remaining work of all requests; with load management only what is done in the near future. */
    remainingWorkMs(nowMs: number): number {
        let sumMs = 0;
        for (const request of this.byTicket.values()) {
            sumMs += request.work === undefined
                ? remainingMs(request, 1, nowMs)
                : request.work.nearResidualMs(nowMs - request.startedMs);
        }
        return sumMs;
    }

}

/** Returns the expected remaining work of a request at a target of a given slowness, in milliseconds of a target of average speed. */
export function remainingMs({ workMs, startedMs, work }: RunningRequest, slowness: number, nowMs: number): number {
    const elapsedMs = nowMs - startedMs;
    return work === undefined ? Math.max(0, workMs - elapsedMs) : work.residualMs(elapsedMs / slowness);
}
