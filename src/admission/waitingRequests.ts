/** The requests that wait for a slot, and the order in which they are sent. */
import { iterateSorted } from "../model/iterateSorted.js";
import type { AdmissionRequest, Ticket } from "./admissionRequest.js";
import type { QueueTargets } from "./queueTargets.js";
import type { WorkTimePlan } from "./workTimePlan.js";

/** Requests that wait for a slot. */
export class WaitingRequests {
    private requests: AdmissionRequest[] = [];

    constructor(private readonly targets: QueueTargets, private readonly workTimePlan: WorkTimePlan) {}

    /** Number of requests that wait. */
    get count(): number {
        return this.requests.length;
    }

    /** Tells whether a request of a priority waits. */
    hasPriority(priority: number): boolean {
        return this.requests.some((request) => request.priority === priority);
    }

    /** Adds a request. */
    add(request: AdmissionRequest): void {
        this.requests.push(request);
    }

    /** Removes a request that has been granted a slot. */
    remove(request: AdmissionRequest): void {
        this.requests.splice(this.requests.indexOf(request), 1);
    }

    /** Removes the request with a ticket and returns it; returns undefined if it does not wait. */
    removeTicket(ticket: Ticket): AdmissionRequest | undefined {
        const removed = this.requests.find((request) => request.ticket === ticket);
        this.requests = this.requests.filter((request) => request.ticket !== ticket);
        return removed;
    }

    /** Yields the requests in the order in which they are sent. */
    inOrder(nowMs: number): Iterable<AdmissionRequest> {
        return iterateSorted(this.requests, (left, right) => this.compareRank(left, right, nowMs));
    }

    /** Lists the requests that are sent before another one. */
    sentBefore(request: AdmissionRequest, nowMs: number): AdmissionRequest[] {
        return this.requests.filter((other) => this.compareRank(other, request, nowMs) <= 0);
    }

    /**
     * Keeps the requests for which a test returns true. The test is called for each request in the order in which they are sent.
     * @param shouldKeep the test
     * @param nowMs current monotonic time
     */
    retain(shouldKeep: (request: AdmissionRequest) => boolean, nowMs: number): void {
        this.requests = this.requests.sort((left, right) => this.compareRank(left, right, nowMs)).filter(shouldKeep);
    }

    /**
     * Compares two waiting requests by the order in which they are sent. While the rate to every target is limited, they keep their order
     * of arrival: when requests are sent far apart, one that is overtaken because it has become a little late would wait in vain until
     * its deadline.
     */
    private compareRank(left: AdmissionRequest, right: AdmissionRequest, nowMs: number): number {
        if (this.targets.isEveryRateLimited) {
            return left.priority - right.priority || left.arrivedMs - right.arrivedMs;
        }
        const isLeftLate = this.workTimePlan.isProbablyLate(left, nowMs);
        const isRightLate = this.workTimePlan.isProbablyLate(right, nowMs);
        if (isLeftLate !== isRightLate) {
            return isLeftLate ? 1 : -1;
        }
        return left.priority - right.priority || (left.callerRank ?? 0) - (right.callerRank ?? 0)
            || left.softDeadlineMs - right.softDeadlineMs;
    }
}
