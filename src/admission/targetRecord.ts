/** What a queue knows of one target: its free slots, and how fast it has been. */
import type { DataCentreId, TargetId } from "../model/names.js";

/** A target as the queue sees it. */
export interface QueueTarget {
    targetId: TargetId;
    dataCentreId: DataCentreId;
    slots: number;
    /** False while no new work may go there. */
    open: boolean;
    warmingUp: boolean;
}

/** How a request ended at its target. */
export type WorkEnd =
    /** Answered after so long. */
    | { kind: "answered"; tookMs: number }
    /** The target turned it away without running it. */
    | { kind: "turned-away"; pauseMs?: number }
    /** No connection could be opened. */
    | { kind: "unreachable" }
    /** Sent, and its answer broke off or never came. */
    | { kind: "lost" }
    /** Sent, and not answered after so long. */
    | { kind: "late"; afterMs: number }
    /** The client left, or the request was never sent. */
    | { kind: "dropped" };

/** A request at a target. Times are monotonic milliseconds of the queue's host. */
export interface Running {
    targetId: TargetId;
    /** Host that sent it. */
    sender: string;
    startedMs: number;
    giveUpMs: number;
    workMs: number;
}

/** A target with what was observed of it. */
export interface TargetRecord {
    target: QueueTarget;
    running: number;
    /** Time that work takes here over the time that it takes on average. */
    slowness: number;
    /** Ends that the slowness was learned from. */
    answers: number;
    observedMs: number;
    pausedUntilMs: number;
    /** Hosts that the target has back off, and until when; undefined while there are none. */
    closedUntilMs: Map<string, number> | undefined;
}

/** Weight of the newest observation of a target's speed. */
const speedWeight = 0.12;

/** Bounds of how much slower or faster than usual a target counts. */
const minSlowness = 0.25;
export const maxSlowness = 20;

/** Time for which a target that could not be reached, or turned work away, gets no more. */
const pauseAfterUnreachableMs = 300;
const pauseAfterTurnedAwayMs = 15;

/** A slow target that nothing was heard of for this long counts as less slow from then on: the excess falls to 37 % in a further period. */
const fadeAfterMs = 1_000;
const fadeMs = 2_000;

/** Slowness of a target in its first seconds. */
const warmUpSlowness = 2;

/**
 * Creates the record of a target that nothing was observed of.
 * @param target the target
 * @param running requests that it is at work on
 * @param nowMs now
 */
export function newTargetRecord(target: QueueTarget, running: number, nowMs: number): TargetRecord {
    const slowness = target.warmingUp ? warmUpSlowness : 1;
    return { target, running, slowness, answers: 0, observedMs: nowMs, pausedUntilMs: 0, closedUntilMs: undefined };
}

type Learn<Kind extends WorkEnd["kind"]> = (
    record: TargetRecord, ended: Running, end: Extract<WorkEnd, { kind: Kind }>, nowMs: number,
) => void;

const learnByEnd: { [Kind in WorkEnd["kind"]]: Learn<Kind> } = {
    "answered": (record, { workMs }, { tookMs }, nowMs) => {
        observe(record, tookMs / Math.max(1, workMs), nowMs);
    },
    "late": (record, { workMs }, { afterMs }, nowMs) => {
        observe(record, Math.max(record.slowness, afterMs / Math.max(1, workMs)), nowMs);
    },
    "turned-away": (record, { sender }, { pauseMs }, nowMs) => {
        record.pausedUntilMs = nowMs + pauseAfterTurnedAwayMs;
        if (pauseMs !== undefined) {
            record.closedUntilMs ??= new Map();
            record.closedUntilMs.set(sender, nowMs + pauseMs);
        }
    },
    "unreachable": (record, _ended, _end, nowMs) => {
        record.pausedUntilMs = nowMs + pauseAfterUnreachableMs;
    },
    "lost": () => undefined,
    "dropped": () => undefined,
};

function observe(record: TargetRecord, slowness: number, nowMs: number): void {
    record.answers += 1;
    record.observedMs = nowMs;
    const weight = Math.max(speedWeight, 1 / (record.answers + 1));
    record.slowness = clamp(record.slowness + weight * (slowness - record.slowness), minSlowness, maxSlowness);
}

/**
 * Forgets by and by how slow a target was that gets no work, so that it gets some once it may be well again.
 * @param record the target
 * @param elapsedMs time since this was called last
 * @param nowMs now
 */
export function fadeSlowness(record: TargetRecord, elapsedMs: number, nowMs: number): void {
    if (record.slowness > 1 && nowMs - record.observedMs > fadeAfterMs) {
        record.slowness = 1 + (record.slowness - 1) * Math.exp(-elapsedMs / fadeMs);
    }
}

/**
 * Learns from the end of a request.
 * @param record the target that had it
 * @param ended the request
 * @param end how it ended
 * @param nowMs now
 */
export function learnFromEnd(record: TargetRecord, ended: Running, end: WorkEnd, nowMs: number): void {
    (learnByEnd[end.kind] as Learn<WorkEnd["kind"]>)(record, ended, end, nowMs);
}

/** Tells whether a target can take one more request now. */
export function hasFreeSlot({ target, running, pausedUntilMs }: TargetRecord, nowMs: number): boolean {
    return target.open && running < target.slots && nowMs >= pausedUntilMs;
}

/** Time for which a host still has to back off from a target; 0 when it need not. */
export function closedForMs({ closedUntilMs }: TargetRecord, sender: string, nowMs: number): number {
    return Math.max(0, (closedUntilMs?.get(sender) ?? 0) - nowMs);
}

/** Finds the target that is expected to be done first. */
export function quickest(records: readonly TargetRecord[]): TargetRecord | undefined {
    const costOf = ({ target, slowness, running }: TargetRecord) => slowness * (1 + running / target.slots);
    return records.reduce<TargetRecord | undefined>(
        (best, record) => best === undefined || costOf(record) < costOf(best) ? record : best, undefined);
}

function clamp(value: number, least: number, most: number): number {
    return Math.min(most, Math.max(least, value));
}
