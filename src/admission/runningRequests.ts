/** The requests that hold a slot of an admission queue's targets, and when their slots expire. */
import type { TargetId } from "../model/names.js";
import type { AdmissionRequest, Ticket } from "./admissionRequest.js";
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
     */
    start(request: AdmissionRequest, targetId: TargetId, nowMs: number): void {
        this.byTicket.set(request.ticket, {
            targetId, sender: request.sender, workMs: request.workMs,
            startedMs: nowMs, slotExpiryMs: request.deadlineMs + unreportedGraceMs, suspect: request.suspect,
        });
    }

    /** Tells whether a request holds a slot. */
    has(ticket: Ticket): boolean {
        return this.byTicket.has(ticket);
    }

    /** Removes a request and returns it; returns undefined if it holds no slot. */
    remove(ticket: Ticket): RunningRequest | undefined {
        const request = this.byTicket.get(ticket);
        this.byTicket.delete(ticket);
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

    /** Returns the expected remaining work of all requests. */
    remainingWorkMs(nowMs: number): number {
        let sumMs = 0;
        for (const { workMs, startedMs } of this.byTicket.values()) {
            sumMs += Math.max(0, workMs - (nowMs - startedMs));
        }
        return sumMs;
    }
}
