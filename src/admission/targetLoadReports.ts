/**
 * Speed of a target: what it reports of itself, and how it differs by kind of request from its usual slowness.
 *
 * Load pattern: a target becomes several times slower for fractions of a second. Its answers show that only when the slow requests end,
 * while a report shows it at the next response. A report may also be false, so its effect is bounded and depends on whether earlier ones
 * were right.
 */
import type { AgedTargetLoad } from "../model/targetLoad.js";
import type { RunningRequest } from "./targetRecord.js";

/** Weight of a report falls to 37 % (1/e) in this time, since targets change their speed many times a second. */
const reportTimeConstantMs = 100;

/** A report older than this has no effect. */
const maxReportAgeMs = 1_000;

/** Bounds of the reported ratio of work time to the usual one: a target that claims to be fast gains less than a factor of 2. */
const minLogRatio = Math.log(0.6);
const maxLogRatio = Math.log(4);

/** Reported ratios nearer to 1 than this show nothing about the reports, so they do not change the trust in them. */
const minTellingLogRatio = 0.25;

/** Weight of a new observation in the errors with and without the report, and the difference at which trust is lost completely. */
const errorWeight = 0.15;
const distrustedExcess = 0.3;

/** Requests that start or end while a report travels; a report may show this many more than the queue knows. */
const countTolerance = 1;

/** Weight of a new observation in the offset of a kind, and its bounds. */
const minOffsetWeight = 0.15;
const maxOffset = Math.log(8);

/**
 * An offset without observations for `decayAfterMs` decays to 37 % (1/e) in each further `offsetTimeConstantMs`, so that the target is
 * tried again.
 */
const decayAfterMs = 1_000;
const offsetTimeConstantMs = 4_000;

interface KindOffset {
    log: number;
    observations: number;
    observedMs: number;
}

/** Speed of one target. Times are monotonic milliseconds of the queue's host; ratios are natural logarithms. */
export class TargetSpeed {
    /** The requests of this queue that run there. */
    readonly running = new Set<RunningRequest>();
    private readonly offsets: (KindOffset | undefined)[] = [];
    private reportLog = 0;
    private reportedMs = Number.NEGATIVE_INFINITY;
    private errorWith = 0;
    private errorWithout = 0;
    private unknownRequests = 0;

    /** How far the target's reports are believed, from 0 to 1. */
    get trust(): number {
        return Math.min(1, Math.max(0, 1 - (this.errorWith - this.errorWithout) / distrustedExcess));
    }

    /**
     * Takes the newest report.
     * @param load the report; `ageMs` is bounded from below by 0
     * @param nowMs current time
     */
    report({ ageMs, percent, running, waiting }: AgedTargetLoad, nowMs: number): void {
        const atMs = nowMs - Math.max(0, ageMs);
        if (!(atMs >= this.reportedMs)) {
            return;
        }
        this.reportedMs = atMs;
        this.reportLog = percent === undefined || !(percent > 0) ? 0 : clamp(Math.log(percent / 100), minLogRatio, maxLogRatio);
        this.unknownRequests = Math.max(0, running + waiting - this.running.size - countTolerance);
    }

    /** Returns the logarithm of the factor by which the target is slower than usual now, as it reports. */
    reportedLog(nowMs: number): number {
        return this.reportLog === 0 ? 0 : this.trust * this.weightAt(nowMs) * this.reportLog;
    }

    /** Returns the number of requests at the target that another host has granted, at most `maxCount`. */
    requestsOfOthers(maxCount: number, nowMs: number): number {
        return this.unknownRequests === 0 ? 0 : Math.min(maxCount, this.unknownRequests) * this.weightAt(nowMs);
    }

    /** Returns the logarithm of the factor by which the target is slower for a kind of requests than for others. */
    offsetOf(kind: number, nowMs: number): number {
        const offset = this.offsets[kind];
        if (offset === undefined) {
            return 0;
        }
        const idleMs = nowMs - offset.observedMs - decayAfterMs;
        return idleMs > 0 ? offset.log * Math.exp(-idleMs / offsetTimeConstantMs) : offset.log;
    }

    /**
     * Records how long a request took, and judges the report by it.
     * @param kind kind of the request
     * @param tookLog logarithm of its duration over the usual one of its kind
     * @param usualLog logarithm of the target's usual slowness
     * @param startLog logarithm of the reported factor when the request was sent
     * @param nowMs current time
     * @returns the part of `tookLog` that neither the report nor the kind explains, which is the target's usual slowness
     */
    observe(kind: number, tookLog: number, usualLog: number, startLog: number, nowMs: number): number {
        const reportedLog = (startLog + this.reportedLog(nowMs)) / 2;
        const offsetLog = this.offsetOf(kind, nowMs);
        const rawLog = nowMs - this.reportedMs < maxReportAgeMs ? this.reportLog : 0;
        if (Math.abs(rawLog) >= minTellingLogRatio) {
            const without = tookLog - usualLog - offsetLog;
            this.errorWith += errorWeight * (Math.abs(without - rawLog) - this.errorWith);
            this.errorWithout += errorWeight * (Math.abs(without) - this.errorWithout);
        }
        const offset = this.offsets[kind] ?? { log: 0, observations: 0, observedMs: nowMs };
        this.offsets[kind] = offset;
        offset.observations += 1;
        const weight = Math.max(minOffsetWeight, 1 / (offset.observations + 4));
        const unexplained = tookLog - usualLog - reportedLog;
        offset.log = clamp(offsetLog + weight * (unexplained - offsetLog), -maxOffset, maxOffset);
        offset.observedMs = nowMs;
        return tookLog - reportedLog - offsetLog;
    }

    /** Weight of the newest report; none if a step of the clock puts it into the future. */
    private weightAt(nowMs: number): number {
        const ageMs = nowMs - this.reportedMs;
        return ageMs >= 0 && ageMs < maxReportAgeMs ? Math.exp(-ageMs / reportTimeConstantMs) : 0;
    }
}

function clamp(value: number, min: number, max: number): number {
    return Math.min(max, Math.max(min, value));
}
