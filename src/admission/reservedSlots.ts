/**
 * Keeps slots free for more urgent kinds of requests; a kind is all requests of one priority.
 *
 * Load pattern: a burst of work of 1,000 ms at a target that also gets urgent work of 180 ms with a target latency of 511 ms. If the long
 * work takes every slot, urgent requests wait for the next slot to become free and are late whatever their rank.
 *
 * The slots of all targets of a queue count as one pool, since a request may run at any of them.
 */
import type { AdmissionRequest, Ticket } from "./admissionRequest.js";
import type { QueueTargets } from "./queueTargets.js";
import type { TargetRecord } from "./targetRecord.js";

/** Time constant of the decay of counts: long enough for some requests of a kind with two a second, short enough to free slots soon. */
const decayMs = 1_500;

/** Counts are taken to cover at least this time, so that the first request of a kind does not look like a high rate. */
const minCoveredMs = 500;

/** Accepted probability that more urgent requests arrive than the reserved slots hold. */
const maxExcessProbability = 0.1;

/** Largest share of the slots that is kept free, and share that a kind gets whatever the rank of others. */
const maxFreeShare = 0.25;
const minimumShare = 0.25;

/** A kind is below its minimum if its served share is below this share of that of all requests; the requirement is 0.25. */
const minServedRatio = 0.3;

/** Planned work time of an urgent request divided by the expected one; the initial ratio of `WorkTimeQuantile`. */
const plannedWorkRatio = 1.5;

/** Lower bound of the expected remaining time of running work, as a share of its expected work time: long work often exceeds its mean. */
const minRemainingShare = 0.4;

/** Weight of a new request in the means of its kind. */
const meanWeight = 0.1;

/** Upper bounds that keep an absurd message from reserving slots for long, and memory bounded. */
const maxCountedWorkMs = 60_000;
const maxKinds = 16;

/** A kind whose count is below this has not been requested for several seconds. */
const negligibleCount = 0.02;

interface Kind {
    priority: number;
    firstMs: number;
    updatedMs: number;
    /** Decayed numbers of requests and of grants. */
    offered: number;
    granted: number;
    /** Mean work time at a target of average speed, and mean time until the soft deadline. */
    workMs: number;
    latencyMs: number;
    running: number;
}

interface RunningWork {
    kind: Kind;
    startedMs: number;
    workMs: number;
}

/** What a dump shows of a kind. */
export interface KindDescription {
    priority: number;
    offeredSlots: number;
    servedShare: number;
    running: number;
}

/** Decides which free slots are reserved. Times are monotonic milliseconds. */
export class ReservedSlots {
    private readonly kinds = new Map<number, Kind>();
    private readonly running = new Map<Ticket, RunningWork>();
    /** Changes whenever a cached value may have changed. */
    private version = 0;
    /** Cached results of `reservedFrom`. */
    private readonly reservedByPriority = new Map<number, { version: number; nowMs: number; slots: number }>();

    constructor(private readonly targets: QueueTargets) {}

    /** Counts a request that asks for a slot. */
    countOffer({ priority, workMs, softDeadlineMs, arrivedMs }: AdmissionRequest, nowMs: number): void {
        const kind = this.kindOf(priority, nowMs);
        const latencyMs = softDeadlineMs - arrivedMs;
        if (kind === undefined || !(workMs >= 0) || !Number.isFinite(latencyMs)) {
            return;
        }
        const countedMs = Math.min(workMs, maxCountedWorkMs);
        const weight = kind.offered === 0 ? 1 : meanWeight;
        decay(kind, nowMs);
        kind.offered += 1;
        kind.workMs += weight * (countedMs - kind.workMs);
        // The soft deadline of a client that was refused before has mostly passed, which says nothing of its kind.
        kind.latencyMs += latencyMs > kind.latencyMs / 2 ? weight * (latencyMs - kind.latencyMs) : 0;
        this.version += 1;
    }

    /** Records that a request got a slot. */
    start({ ticket, priority, workMs }: AdmissionRequest, nowMs: number): void {
        const kind = this.kindOf(priority, nowMs);
        if (kind !== undefined) {
            decay(kind, nowMs);
            kind.granted += 1;
            kind.running += 1;
            this.running.set(ticket, { kind, startedMs: nowMs, workMs: Math.min(workMs, maxCountedWorkMs) });
            this.version += 1;
        }
    }

    /** Records that a request no longer has its slot. */
    end(ticket: Ticket): void {
        const work = this.running.get(ticket);
        if (work !== undefined) {
            work.kind.running -= 1;
            this.running.delete(ticket);
            this.version += 1;
        }
    }

    /**
     * Lists the targets at which a request may run beside the slots that are reserved for more urgent ones.
     * @param request the request
     * @param withFreeSlot all targets with a free slot
     * @param nowMs current time
     */
    permittedTargets({ priority }: AdmissionRequest, withFreeSlot: readonly TargetRecord[], nowMs: number): readonly TargetRecord[] {
        const reserved = this.reservedFrom(priority, nowMs);
        return reserved === 0 || freeSlotsOf(withFreeSlot) > reserved
            || (this.kinds.get(priority)?.running ?? 0) < this.minimumSlots(this.openSlots())
            ? withFreeSlot
            : [];
    }

    /** Returns the number of free slots that requests of a priority must leave to more urgent ones. */
    reservedFrom(priority: number, nowMs: number): number {
        // While the rate of requests is limited, it is not slots that are scarce.
        if (this.kinds.size < 2 || this.targets.isEveryRateLimited) {
            return 0;
        }
        const cached = this.reservedByPriority.get(priority);
        if (cached !== undefined && cached.version === this.version && cached.nowMs === nowMs) {
            return cached.slots;
        }
        const slots = this.computeReserved(priority, nowMs);
        if (this.kinds.has(priority)) {
            this.reservedByPriority.set(priority, { version: this.version, nowMs, slots });
        }
        return slots;
    }

    /**
     * Returns the slots that are left for requests of a priority, after the load of more urgent ones and the slots that are kept free
     * for them; at least the minimum of a kind.
     * @param priority the priority
     * @param effectiveSlots all slots, in slots of targets of average speed
     * @param nowMs current time
     */
    slotsLeftFor(priority: number, effectiveSlots: number, nowMs: number): number {
        if (this.kinds.size < 2) {
            return effectiveSlots;
        }
        const reserved = this.reservedFrom(priority, nowMs) * effectiveSlots / Math.max(1, this.openSlots());
        return Math.max(effectiveSlots * minimumShare, effectiveSlots - reserved - this.urgentLoad(priority, nowMs));
    }

    /**
     * Returns the slots kept free for requests of a priority and more urgent ones, less the load of these requests, in slots of targets of
     * average speed; 0 for the least urgent kind.
     */
    spareReserved(priority: number, effectiveSlots: number, nowMs: number): number {
        const slots = this.openSlots();
        let isLeastUrgent = true;
        for (const kind of this.kinds.values()) {
            isLeastUrgent &&= kind.priority <= priority;
        }
        if (isLeastUrgent || slots === 0) {
            return 0;
        }
        const load = this.urgentLoad(priority + 1, nowMs);
        const reserved = Math.min(Math.ceil(slots * maxFreeShare), poissonQuantile(load * this.meanSlowness(slots), slots));
        return reserved * effectiveSlots / slots - load;
    }

    /** Returns the mean remaining work of the running requests, at a target of average speed. */
    meanRemainingWorkMs(nowMs: number): number {
        const slowness = this.meanSlowness(this.openSlots());
        let sumMs = 0;
        for (const { startedMs, workMs } of this.running.values()) {
            sumMs += remainingMs(workMs, Math.max(0, nowMs - startedMs) / slowness);
        }
        return sumMs / Math.max(1, this.running.size);
    }

    /**
     * Returns the priority of a kind with waiting requests that is below its minimum and may have the next slot before more urgent ones;
     * undefined if there is none. Such a kind goes first only while it holds less than `minimumShare` of the slots.
     * @param isWaiting tells whether a request of a priority waits
     * @param nowMs current time
     */
    starvedPriority(isWaiting: (priority: number) => boolean, nowMs: number): number | undefined {
        if (this.kinds.size < 2) {
            return undefined;
        }
        let offered = 0;
        let granted = 0;
        for (const kind of this.kinds.values()) {
            decay(kind, nowMs);
            offered += kind.offered;
            granted += kind.granted;
        }
        const minimumSlots = this.minimumSlots(this.openSlots());
        for (const kind of this.kinds.values()) {
            if (kind.offered > 0 && kind.running < minimumSlots
                && kind.granted / kind.offered < minServedRatio * granted / offered && isWaiting(kind.priority)) {
                return kind.priority;
            }
        }
        return undefined;
    }

    /** Forgets kinds that are no longer requested. */
    removeUnused(nowMs: number): void {
        for (const kind of this.kinds.values()) {
            decay(kind, nowMs);
            if (kind.offered < negligibleCount && kind.running === 0) {
                this.kinds.delete(kind.priority);
                this.reservedByPriority.delete(kind.priority);
                this.version += 1;
            }
        }
    }

    /**
     * Returns the free slots that the least urgent kind must leave, and the further ones that more urgent kinds are expected to need but
     * that it may use now.
     */
    totals(nowMs: number): { reserved: number; lent: number } {
        const leastUrgent = Math.max(...this.kinds.keys());
        if (this.kinds.size < 2) {
            return { reserved: 0, lent: 0 };
        }
        const reserved = this.reservedFrom(leastUrgent, nowMs);
        return { reserved, lent: Math.max(0, this.neededSlots(leastUrgent, this.openSlots(), nowMs) - reserved) };
    }

    /** Lists the load of each kind. */
    describe(nowMs: number): KindDescription[] {
        return [...this.kinds.values()].sort((left, right) => left.priority - right.priority).map((kind) => {
            const offeredSlots = loadOf(kind, nowMs);
            const servedShare = kind.offered > 0 ? Math.min(1, kind.granted / kind.offered) : 1;
            return { priority: kind.priority, offeredSlots, servedShare, running: kind.running };
        });
    }

    private computeReserved(priority: number, nowMs: number): number {
        const slots = this.openSlots();
        const needed = Math.min(this.neededSlots(priority, slots, nowMs), Math.ceil(slots * maxFreeShare));
        return needed <= 0 ? 0 : Math.max(0, needed - this.slotsFreeInTime(priority, slots, nowMs));
    }

    /** Returns the slots that more urgent kinds need beyond those that they hold. */
    private neededSlots(priority: number, slots: number, nowMs: number): number {
        const load = this.urgentLoad(priority, nowMs) * this.meanSlowness(slots);
        let running = 0;
        for (const kind of this.kinds.values()) {
            running += kind.priority < priority ? kind.running : 0;
        }
        return Math.max(0, poissonQuantile(load, slots) - running);
    }

    /** Returns the number of slots that almost certainly become free while a more urgent request can still wait for one. */
    private slotsFreeInTime(priority: number, slots: number, nowMs: number): number {
        const slowness = this.meanSlowness(slots);
        let slackMs = Number.POSITIVE_INFINITY;
        for (const kind of this.kinds.values()) {
            slackMs = kind.priority < priority && kind.offered > negligibleCount
                ? Math.min(slackMs, kind.latencyMs - kind.workMs * slowness * plannedWorkRatio)
                : slackMs;
        }
        if (!(slackMs > 0) || slackMs === Number.POSITIVE_INFINITY) {
            return 0;
        }
        let mean = 0;
        for (const { startedMs, workMs } of this.running.values()) {
            mean += 1 - Math.exp(-slackMs / Math.max(1, remainingMs(workMs * slowness, Math.max(0, nowMs - startedMs))));
        }
        return Math.floor(Math.max(0, mean - Math.sqrt(mean)));
    }

    /** Returns the load of the kinds that are more urgent than a priority, in slots of targets of average speed. */
    private urgentLoad(priority: number, nowMs: number): number {
        let slots = 0;
        for (const kind of this.kinds.values()) {
            slots += kind.priority < priority ? loadOf(kind, nowMs) : 0;
        }
        return slots;
    }

    private minimumSlots(slots: number): number {
        return Math.max(1, Math.floor(slots * minimumShare));
    }

    private meanSlowness(slots: number): number {
        return Math.max(1, slots) / this.targets.totalEffectiveSlots(1);
    }

    private openSlots(): number {
        let slots = 0;
        for (const { target } of this.targets.all()) {
            slots += target.isOpen ? target.slots : 0;
        }
        return slots;
    }

    private kindOf(priority: number, nowMs: number): Kind | undefined {
        const known = this.kinds.get(priority);
        if (known !== undefined || this.kinds.size >= maxKinds || !Number.isFinite(priority)) {
            return known;
        }
        const kind = { priority, firstMs: nowMs, updatedMs: nowMs, offered: 0, granted: 0, workMs: 0, latencyMs: 0, running: 0 };
        this.kinds.set(priority, kind);
        return kind;
    }
}

function remainingMs(expectedMs: number, elapsedMs: number): number {
    return Math.max(expectedMs * minRemainingShare, expectedMs - elapsedMs);
}

function freeSlotsOf(records: readonly TargetRecord[]): number {
    return records.reduce((sum, { target, running }) => sum + target.slots - running, 0);
}

/** Decays the counts of a kind; a clock that steps back changes nothing. */
function decay(kind: Kind, nowMs: number): void {
    const elapsedMs = nowMs - kind.updatedMs;
    if (elapsedMs > 0) {
        const factor = Math.exp(-elapsedMs / decayMs);
        kind.offered *= factor;
        kind.granted *= factor;
        kind.updatedMs = nowMs;
    }
}

/** Returns the load that a kind offers, in slots of targets of average speed. */
function loadOf(kind: Kind, nowMs: number): number {
    decay(kind, nowMs);
    const coveredMs = decayMs * (1 - Math.exp(-Math.max(minCoveredMs, nowMs - kind.firstMs) / decayMs));
    return kind.offered * kind.workMs / coveredMs;
}

/** Returns the least number that a Poisson variable exceeds with at most `maxExcessProbability`; at most `limit`. */
function poissonQuantile(mean: number, limit: number): number {
    let term = Math.exp(-mean);
    let below = term;
    let count = 0;
    while (1 - below > maxExcessProbability && count < limit) {
        count += 1;
        term *= mean / count;
        below += term;
    }
    return count;
}
