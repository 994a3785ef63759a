/** Open-loop load: requests start at their intended times, however slow the answers are. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Clock } from "../model/time.js";
import type { Caller, CallerAnswer } from "./caller.js";
import { newOrderId } from "./caller.js";

const microsPerMs = 1_000;
const million = 1_000_000;

/** What kind of request a plan sends. */
export type LoadKind = "read" | "order" | "list" | "meter-reads";

/** One stream of requests. */
export interface LoadPlan {
    kind: LoadKind;
    /** Such as `hladvarmi/status`. */
    pool: string;
    perSecond: number;
    /** Prefix and number of the keys; a share of the requests goes to the hot ones. */
    keys: { prefix: string; count: number; hotCount: number; hotShare: number };
    /** Time that each caller allows. */
    deadlineMs: number;
    /** When the stream starts and ends, from the start of the run. */
    fromMs: number;
    untilMs: number;
}

/** One request and its answer. */
export interface LoadSample {
    kind: LoadKind;
    key: string;
    orderId?: string;
    intendedMs: number;
    tookMs: number;
    answer: CallerAnswer;
    inTime: boolean;
}

/** Figures of one kind of request. */
export interface KindFigures {
    asked: number;
    rightInTime: number;
    rightInTimeShare: number;
    p50Ms: number;
    p99Ms: number;
    p999Ms: number;
    maxMs: number;
    notRun: number;
    unknown: number;
    lost: number;
}

/** Uniform integers that a seed fixes. */
export class SeededRandom {
    private readonly generator;

    /** @param seed fixes the stream */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** @returns uniform in [0, 1) */
    unit(): number {
        return uniformInt(this.generator, 0, million - 1) / million;
    }
}

/**
 * Sends every plan's requests at their intended times and waits for all answers.
 * @param plans the streams
 * @param entryUrls entry hosts that the balancer would use now, taken in turn
 * @param caller sends the requests
 * @param clock clocks of this process
 * @param seed fixes times and keys
 * @returns every request with its answer
 */
export async function sendLoad(
    plans: readonly LoadPlan[],
    entryUrls: () => readonly string[],
    caller: Caller,
    clock: Clock,
    seed: number,
): Promise<LoadSample[]> {
    const startMs = clock.now().monoMs;
    const streams = await Promise.all(plans.map((plan, index) =>
        sendStream(plan, entryUrls, caller, clock, startMs, new SeededRandom(seed * 1_000 + index))));
    return streams.flat();
}

async function sendStream(
    plan: LoadPlan,
    entryUrls: () => readonly string[],
    caller: Caller,
    clock: Clock,
    startMs: number,
    random: SeededRandom,
): Promise<LoadSample[]> {
    const samples: Promise<LoadSample>[] = [];
    let intendedMs = plan.fromMs;
    let turn = Math.floor(random.unit() * 100);
    while (intendedMs < plan.untilMs) {
        const waitMs = startMs + intendedMs - clock.now().monoMs;
        if (waitMs > 0) {
            await clock.sleep(waitMs);
        }
        const key = chooseKey(plan, random);
        const urls = entryUrls();
        samples.push(sendOne(plan, key, urls[turn % urls.length] as string, caller, clock, startMs, intendedMs));
        turn += 1;
        // Exponential gaps: callers know nothing of one another.
        intendedMs += -Math.log(1 - random.unit()) * 1_000 / plan.perSecond;
    }
    return Promise.all(samples);
}

function chooseKey(plan: LoadPlan, random: SeededRandom): string {
    const { prefix, count, hotCount, hotShare } = plan.keys;
    const hot = hotCount > 0 && random.unit() < hotShare;
    const number = hot ? Math.floor(random.unit() * hotCount) : Math.floor(random.unit() * count);
    return `${prefix}${String(number)}`;
}

type SendOne = (
    caller: Caller, url: string, plan: LoadPlan, key: string, deadlineWallMs: number, orderId: string,
) => Promise<CallerAnswer>;

const sendByKind: Record<LoadKind, SendOne> = {
    "read": (caller, url, plan, key, deadlineWallMs) => caller.read(url, plan.pool, key, deadlineWallMs),
    "order": (caller, url, plan, key, deadlineWallMs, id) => caller.order(url, plan.pool, key, id, "order", deadlineWallMs),
    "list": (caller, url, plan, key) => caller.list(url, plan.pool, key),
    "meter-reads": (caller, url, plan, key) => caller.meterReads(url, plan.pool, JSON.stringify({ meter: key })),
};

async function sendOne(
    plan: LoadPlan,
    key: string,
    url: string,
    caller: Caller,
    clock: Clock,
    startMs: number,
    intendedMs: number,
): Promise<LoadSample> {
    const orderId = newOrderId();
    const now = clock.now();
    const deadlineWallMs = now.wallMs + plan.deadlineMs - (now.monoMs - startMs - intendedMs);
    const answer = await sendByKind[plan.kind](caller, url, plan, key, deadlineWallMs, orderId);
    const tookMs = clock.now().monoMs - startMs - intendedMs;
    return {
        kind: plan.kind, key, intendedMs, tookMs, answer,
        orderId: plan.kind === "order" ? orderId : undefined,
        inTime: answer.outcome === "done" && tookMs <= plan.deadlineMs,
    };
}

/**
 * Sums up requests.
 * @param samples requests of one kind
 * @returns counts, and percentiles of the right answers counted from the intended times
 */
export function figuresOf(samples: readonly LoadSample[]): KindFigures {
    const histogram: Histogram = build({ highestTrackableValue: 120 * million, numberOfSignificantValueDigits: 3 });
    for (const sample of samples) {
        if (sample.answer.outcome === "done") {
            histogram.recordValue(Math.max(1, Math.round(sample.tookMs * microsPerMs)));
        }
    }
    const countOf = (outcome: string) => samples.filter((sample) => sample.answer.outcome === outcome).length;
    const rightInTime = samples.filter((sample) => sample.inTime).length;
    const atMs = (percentile: number) => round(histogram.getValueAtPercentile(percentile) / microsPerMs);
    return {
        asked: samples.length,
        rightInTime,
        rightInTimeShare: round(rightInTime / Math.max(1, samples.length), 4),
        p50Ms: atMs(50), p99Ms: atMs(99), p999Ms: atMs(99.9), maxMs: round(histogram.maxValue / microsPerMs),
        notRun: countOf("not-run"), unknown: countOf("unknown"), lost: countOf("lost"),
    };
}

/**
 * Rounds for output.
 * @param value the value
 * @param digits digits after the point
 * @returns the rounded value
 */
export function round(value: number, digits = 2): number {
    return Number(value.toFixed(digits));
}
