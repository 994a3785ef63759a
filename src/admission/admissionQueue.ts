/**
 * Decides which requests of a group of targets are sent, wait, or are turned away. One host keeps the queue of a group
 * for all hosts, so that the slots of its targets are counted exactly.
 *
 * Load pattern: more work than slots for some seconds (hot keys, a burst, slow targets). Sending everything would make
 * every answer late and overfill targets that then never answer. So a target gets no more than it has slots; what will most
 * likely be answered in its target latency goes before what will not, more urgent before less urgent, and what cannot be
 * answered before its deadline is turned away at once. Work differs in length from request to request: if requests were sent
 * as late as an average one still ends in time, under lasting overload half of the slots' work would be late.
 */
import { inOrder } from "../model/inOrder.js";
import type { TargetId } from "../model/names.js";
import type { AdmissionRequest, AdmissionVerdict, RefusalOfQueue, Ticket } from "./admissionRequest.js";
import { chooseTarget } from "./targetChoice.js";
import type { QueueTarget, Running, TargetRecord, WorkEnd } from "./targetRecord.js";
import { closedForMs, fadeSlowness, hasFreeSlot, learnFromEnd, maxSlowness, newTargetRecord } from "./targetRecord.js";
import { WorkSpread } from "./workSpread.js";

const minRetryAfterMs = 50;

/** Time after which an arrival counts only by a third. */
const offeredMemoryMs = 1_000;

/** Bounds that keep the expected wait finite. */
const minSlots = 0.05;
const minSpareShare = 0.05;

/** A slot counts as free again this long after the deadline of a request whose end was never reported. */
const unreportedGraceMs = 1_000;

/** Of its target latency a request may always spend the rest of this share waiting before it counts as probably late. */
const mostWorkShare = 0.75;

/** Queue in front of a group of targets. */
export class AdmissionQueue {
    private readonly targets = new Map<TargetId, TargetRecord>();
    private readonly running = new Map<Ticket, Running>();
    private waiting: AdmissionRequest[] = [];
    private offered = 0;
    private offeredMs = 0;
    private tickedMs = 0;
    private readonly spread = new WorkSpread();
    /** Slowness of the quickest open target. */
    private leastSlowness = 1;

    /** @param random uniform in [0, 1), spreads the times to come back */
    constructor(private readonly random: () => number) {}

    /** Requests that wait. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Requests at the targets. */
    get runningCount(): number {
        return this.running.size;
    }

    /** Describes each target for reports and dumps. */
    describeTargets(): { targetId: TargetId; running: number; slowness: number; answers: number }[] {
        return [...this.targets.values()].map(({ target, running, slowness, answers }) =>
            ({ targetId: target.targetId, running, slowness, answers }));
    }

    /**
     * Replaces the targets.
     * @param targets all targets of the group
     * @param nowMs now
     * @returns verdicts on requests that waited
     */
    setTargets(targets: readonly QueueTarget[], nowMs: number): AdmissionVerdict[] {
        const ids = new Set(targets.map(({ targetId }) => targetId));
        for (const id of [...this.targets.keys()].filter((known) => !ids.has(known))) {
            this.targets.delete(id);
        }
        for (const target of targets) {
            const known = this.targets.get(target.targetId);
            this.targets.set(target.targetId, known === undefined
                ? newTargetRecord(target, this.countRunning(target.targetId), nowMs)
                : { ...known, target });
        }
        this.noteSlowness();
        return this.dispatch(nowMs);
    }

    /**
     * Asks for a slot.
     * @param request the request
     * @param nowMs now
     * @returns verdicts, on this request and on others that waited; none on this one while it waits
     */
    offer(request: AdmissionRequest, nowMs: number): AdmissionVerdict[] {
        this.noteOffered(request, nowMs);
        const open = [...this.targets.values()].filter((record) => record.target.open);
        if (open.length === 0) {
            return [this.refuse(request, "no-target", request.workMs)];
        }
        const closedMs = Math.min(...open.map((record) => closedForMs(record, request.sender, nowMs)));
        if (closedMs > 0) {
            return [this.refuse(request, "paused", closedMs)];
        }
        const waitMs = open.some((record) => hasFreeSlot(record, nowMs)) ? 0 : this.expectedWaitMs(request, nowMs);
        if (nowMs + waitMs + this.shortestWorkMs(request) > request.deadlineMs) {
            return [this.refuse(request, "overloaded", waitMs)];
        }
        this.waiting.push(request);
        return this.dispatch(nowMs);
    }

    /**
     * Takes a request that waits out of the queue.
     * @param ticket names the request
     * @param nowMs now
     * @returns verdicts on others
     */
    withdraw(ticket: Ticket, nowMs: number): AdmissionVerdict[] {
        this.waiting = this.waiting.filter((request) => request.ticket !== ticket);
        return this.running.has(ticket) ? this.finish(ticket, { kind: "dropped" }, nowMs) : [];
    }

    /**
     * Gives a slot back.
     * @param ticket names the request that had it
     * @param end how it ended
     * @param nowMs now
     * @returns verdicts on requests that waited
     */
    finish(ticket: Ticket, end: WorkEnd, nowMs: number): AdmissionVerdict[] {
        const ended = this.running.get(ticket);
        if (ended === undefined) {
            return [];
        }
        this.running.delete(ticket);
        const record = this.targets.get(ended.targetId);
        if (record !== undefined) {
            record.running -= 1;
            if (end.kind === "answered") {
                this.spread.learn(end.tookMs / Math.max(1, ended.workMs * record.slowness));
            }
            learnFromEnd(record, ended, end, nowMs);
            this.noteSlowness();
        }
        return this.dispatch(nowMs);
    }

    /**
     * Turns away what has become too late, forgets how slow unused targets were, and frees slots whose end was never reported.
     * @param nowMs now
     * @returns verdicts
     */
    tick(nowMs: number): AdmissionVerdict[] {
        for (const record of this.targets.values()) {
            fadeSlowness(record, nowMs - this.tickedMs, nowMs);
        }
        this.tickedMs = nowMs;
        const unreported = [...this.running].filter(([, { giveUpMs }]) => nowMs > giveUpMs);
        const verdicts = unreported.flatMap(([ticket]) => this.finish(ticket, { kind: "lost" }, nowMs));
        this.noteSlowness();
        verdicts.push(...this.dispatch(nowMs));
        return [...verdicts, ...this.refuseHopeless(nowMs)];
    }

    /** Turns away what will not be answered before its deadline, by what goes before it. */
    private refuseHopeless(nowMs: number): AdmissionVerdict[] {
        const slots = this.openSlots();
        const spareShare = this.spareShare(slots, nowMs);
        const refused: AdmissionVerdict[] = [];
        const kept: AdmissionRequest[] = [];
        let workBeforeMs = this.runningWorkMs(nowMs);
        for (const request of this.waiting.sort((left, right) => this.compare(left, right, nowMs))) {
            const waitMs = this.isPastTarget(request, nowMs) ? workBeforeMs / slots / spareShare : 0;
            if (nowMs + waitMs + this.shortestWorkMs(request) > request.deadlineMs) {
                refused.push(this.refuse(request, "overloaded", Math.max(request.workMs, waitMs)));
                continue;
            }
            kept.push(request);
            workBeforeMs += request.workMs;
        }
        this.waiting = kept;
        return refused;
    }

    private dispatch(nowMs: number): AdmissionVerdict[] {
        const verdicts: AdmissionVerdict[] = [];
        while (this.waiting.length > 0) {
            const next = this.chooseNext(nowMs);
            if (next === undefined) {
                break;
            }
            this.waiting.splice(this.waiting.indexOf(next.request), 1);
            verdicts.push(this.grant(next.request, next.record, nowMs));
        }
        return verdicts;
    }

    private grant(request: AdmissionRequest, record: TargetRecord, nowMs: number): AdmissionVerdict {
        record.running += 1;
        this.running.set(request.ticket, {
            targetId: record.target.targetId, sender: request.sender, workMs: request.workMs,
            startedMs: nowMs, giveUpMs: request.deadlineMs + unreportedGraceMs,
        });
        return {
            kind: "granted", ticket: request.ticket, targetId: record.target.targetId, expectedMs: request.workMs * record.slowness,
        };
    }

    /** Finds the request to send next and the target for it. */
    private chooseNext(nowMs: number): { request: AdmissionRequest; record: TargetRecord } | undefined {
        const free = [...this.targets.values()].filter((record) => hasFreeSlot(record, nowMs));
        if (free.length === 0) {
            return undefined;
        }
        for (const request of inOrder(this.waiting, (left, right) => this.compare(left, right, nowMs))) {
            const record = chooseTarget(request, free, [...this.targets.values()], nowMs);
            if (record !== undefined) {
                return { request, record };
            }
        }
        return undefined;
    }

    private compare(left: AdmissionRequest, right: AdmissionRequest, nowMs: number): number {
        const lateLeft = this.isPastTarget(left, nowMs);
        const lateRight = this.isPastTarget(right, nowMs);
        if (lateLeft !== lateRight) {
            return lateLeft ? 1 : -1;
        }
        return left.priority - right.priority || left.targetMs - right.targetMs;
    }

    /** Tells whether a request will probably not be answered in its target latency, even if it is sent now. */
    private isPastTarget(request: AdmissionRequest, nowMs: number): boolean {
        const shortestMs = this.shortestWorkMs(request);
        const mostMs = Math.max(shortestMs, (request.targetMs - request.arrivedMs) * mostWorkShare);
        return nowMs + Math.min(mostMs, shortestMs * this.spread.ratio) > request.targetMs;
    }

    /**
     * Time until a slot is free for a request. What waits before it goes first; if it will be late all the same, so does
     * what arrives meanwhile and can still be in time.
     */
    private expectedWaitMs(request: AdmissionRequest, nowMs: number): number {
        const slots = this.openSlots();
        const before = this.waiting.filter((other) => this.compare(other, request, nowMs) <= 0);
        const waitMs = (workOf(before) + this.runningWorkMs(nowMs)) / slots;
        if (!this.isPastTarget(request, nowMs + waitMs)) {
            return waitMs;
        }
        return waitMs / this.spareShare(slots, nowMs);
    }

    /** Share of the slots that what arrives and can be in time leaves to what cannot. */
    private spareShare(slots: number, nowMs: number): number {
        return Math.max(minSpareShare, 1 - this.offeredSlots(nowMs) / slots);
    }

    /** Requests that the open targets are at at once, as average targets. */
    private openSlots(): number {
        let slots = 0;
        for (const { target, slowness } of this.targets.values()) {
            slots += target.open ? target.slots / slowness : 0;
        }
        return Math.max(minSlots, slots);
    }

    /** Work that is left of what the targets are at. */
    private runningWorkMs(nowMs: number): number {
        let leftMs = 0;
        for (const { workMs, startedMs } of this.running.values()) {
            leftMs += Math.max(0, workMs - (nowMs - startedMs));
        }
        return leftMs;
    }

    /** Slots of an average target that all recent requests need which could be in time, those too that were turned away. */
    private offeredSlots(nowMs: number): number {
        return this.offered * Math.exp(-(nowMs - this.offeredMs) / offeredMemoryMs);
    }

    private noteOffered(request: AdmissionRequest, nowMs: number): void {
        this.offered = this.offeredSlots(nowMs) + (this.isPastTarget(request, nowMs) ? 0 : request.workMs / offeredMemoryMs);
        this.offeredMs = nowMs;
    }

    private shortestWorkMs(request: AdmissionRequest): number {
        return request.workMs * this.leastSlowness;
    }

    private noteSlowness(): void {
        this.leastSlowness = maxSlowness;
        for (const { target, slowness } of this.targets.values()) {
            this.leastSlowness = target.open ? Math.min(this.leastSlowness, slowness) : this.leastSlowness;
        }
    }

    private countRunning(targetId: TargetId): number {
        return [...this.running.values()].filter((running) => running.targetId === targetId).length;
    }

    private refuse({ ticket }: AdmissionRequest, reason: RefusalOfQueue, waitMs: number): AdmissionVerdict {
        return { kind: "refused", ticket, reason, retryAfterMs: Math.max(minRetryAfterMs, waitMs) * (0.75 + this.random() / 2) };
    }
}

function workOf(requests: readonly AdmissionRequest[]): number {
    return requests.reduce((sum, { workMs }) => sum + workMs, 0);
}
