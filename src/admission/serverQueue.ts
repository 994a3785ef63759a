/**
 * Queue in front of one server. It fills the server's slots, orders waiting work by priority and deadline, and
 * refuses at once what cannot be served in time.
 */
import type { NotRunOutcome } from "../model/work.js";
import { notRun } from "../model/work.js";

const initialServiceMs = 3;
const serviceSmoothing = 0.1;

/** Share of a caller's time that it may spend waiting here; the rest covers what the estimate misses. */
const maxWaitShare = 0.9;

/** `queue` admits by slots, priority and deadline; `plain` sends everything at once. */
export type AdmissionPolicy = "queue" | "plain";

/** Bounds of one queue. */
export interface QueueLimits {
    /** Requests that the server works on at once. */
    slots: number;
    /** Requests sent ahead of a free slot, to hide the network's delay. */
    lookahead: number;
    maxWaiting: number;
    /** How long a server counts as cold after its first use; it starts with one slot. */
    warmUpMs: number;
    policy: AdmissionPolicy;
}

/** What the queue needs to know of a request. */
export interface QueueRequest {
    /** Smaller is more urgent. */
    priority: number;
    /** Monotonic time at which the caller gives up. */
    deadlineMs: number;
}

/** Either the permission to send now, or a final refusal. */
export type Permit = { granted: true } | { granted: false; refusal: NotRunOutcome };

interface Waiting extends QueueRequest {
    decide: (permit: Permit) => void;
}

/** Admission to one server. All times are monotonic milliseconds. */
export class ServerQueue {
    private inFlight = 0;
    private waiting: Waiting[] = [];
    private serviceMs = initialServiceMs;
    private pausedUntilMs = Number.NEGATIVE_INFINITY;
    private firstUsedMs: number | undefined;

    /**
     * @param limits bounds in force
     * @param random uniform in [0, 1), spreads the times to come back
     */
    constructor(private readonly limits: () => QueueLimits, private readonly random: () => number) {}

    /** Requests sent and not answered. */
    get inFlightCount(): number {
        return this.inFlight;
    }

    /** Time that the server takes for a request, smoothed. */
    get meanServiceMs(): number {
        return this.serviceMs;
    }

    /** Requests that wait for a slot. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /**
     * Asks for a slot.
     * @param request priority and deadline
     * @param nowMs now
     * @returns resolves when the request may be sent, or at once with a refusal
     */
    enter(request: QueueRequest, nowMs: number): Promise<Permit> {
        if (nowMs >= request.deadlineMs) {
            return Promise.resolve({ granted: false, refusal: notRun("deadline") });
        }
        this.firstUsedMs ??= nowMs;
        if (this.hasFreeSlot(nowMs) && this.waiting.length === 0) {
            this.inFlight += 1;
            return Promise.resolve({ granted: true });
        }
        const waitMs = this.expectedWaitMs(request, nowMs);
        if (waitMs + this.serviceMs > (request.deadlineMs - nowMs) * maxWaitShare) {
            return Promise.resolve({ granted: false, refusal: this.refusal(waitMs) });
        }
        if (this.waiting.length >= this.limits().maxWaiting && !this.displaces(request)) {
            return Promise.resolve({ granted: false, refusal: this.refusal(waitMs) });
        }
        return new Promise((decide) => {
            this.insert({ ...request, decide });
            this.startNext(nowMs);
        });
    }

    /**
     * Returns a slot and lets the next request go.
     * @param serviceMs how long the server took, or undefined when the answer tells nothing about it
     * @param nowMs now
     */
    leave(serviceMs: number | undefined, nowMs: number): void {
        this.inFlight -= 1;
        if (serviceMs !== undefined) {
            this.serviceMs += serviceSmoothing * (serviceMs - this.serviceMs);
        }
        this.startNext(nowMs);
    }

    /**
     * Sends nothing for a while because the server sheds load.
     * @param durationMs how long
     * @param nowMs now
     */
    pause(durationMs: number, nowMs: number): void {
        if (this.limits().policy === "plain") {
            return;
        }
        this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + durationMs);
    }

    /** Treats the server as cold from its next use on: it was lost and may have restarted. */
    startCold(): void {
        this.firstUsedMs = undefined;
    }

    /**
     * Lets waiting requests go after a pause or a warm-up, and refuses those that have become too late.
     * @param nowMs now
     */
    startNext(nowMs: number): void {
        while (this.waiting.length > 0) {
            const next = this.waiting[0] as Waiting;
            if (nowMs + this.serviceMs > next.deadlineMs) {
                this.waiting.shift();
                next.decide({ granted: false, refusal: this.refusal(this.serviceMs) });
                continue;
            }
            if (!this.hasFreeSlot(nowMs)) {
                return;
            }
            this.waiting.shift();
            this.inFlight += 1;
            next.decide({ granted: true });
        }
    }

    /** Refuses everything that waits; its server no longer owns the keys. */
    refuseAll(refusal: NotRunOutcome): void {
        const waiting = this.waiting;
        this.waiting = [];
        for (const request of waiting) {
            request.decide({ granted: false, refusal });
        }
    }

    private hasFreeSlot(nowMs: number): boolean {
        return nowMs >= this.pausedUntilMs && this.inFlight < openSlotsByPolicy[this.limits().policy](this.limits(), this.ageMs(nowMs));
    }

    private ageMs(nowMs: number): number {
        return nowMs - (this.firstUsedMs ?? nowMs);
    }

    private expectedWaitMs(request: QueueRequest, nowMs: number): number {
        const ahead = this.waiting.filter((other) => !isBefore(request, other)).length;
        const queuedMs = (ahead + this.inFlight) / this.limits().slots * this.serviceMs;
        return Math.max(0, this.pausedUntilMs - nowMs) + queuedMs;
    }

    private refusal(waitMs: number): NotRunOutcome {
        return notRun("queue-full", Math.ceil(waitMs * (1 + this.random()) + 1));
    }

    /** Makes room by refusing the least urgent request, if the new one is more urgent. */
    private displaces(request: QueueRequest): boolean {
        const last = this.waiting.at(-1);
        if (last === undefined || request.priority >= last.priority) {
            return false;
        }
        this.waiting.pop();
        last.decide({ granted: false, refusal: this.refusal(this.serviceMs * this.waiting.length) });
        return true;
    }

    private insert(request: Waiting): void {
        const index = this.waiting.findIndex((other) => isBefore(request, other));
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
    }
}

const openSlotsByPolicy: Record<AdmissionPolicy, (limits: QueueLimits, ageMs: number) => number> = {
    queue: (limits, ageMs) => ageMs >= limits.warmUpMs ? limits.slots + limits.lookahead : 1,
    plain: () => Number.POSITIVE_INFINITY,
};

function isBefore(left: QueueRequest, right: QueueRequest): boolean {
    return left.priority < right.priority || (left.priority === right.priority && left.deadlineMs < right.deadlineMs);
}
