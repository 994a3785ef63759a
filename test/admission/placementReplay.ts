/** Replays of requests at simulated targets, without a network, for the comparison of methods to choose a target. */
import type { AdmissionVerdict, Ticket } from "../../src/admission/admissionRequest.js";
import { AdmissionQueue } from "../../src/admission/admissionQueue.js";
import { WorkEstimates } from "../../src/admission/workEstimates.js";
import { WorkTimes } from "../../src/forwarding/workTimes.js";
import type { AgedTargetLoad } from "../../src/model/targetLoad.js";
import { SeededRandom } from "../support/seededRandom.js";
import { request, target } from "./queueFixtures.js";

/** How a target is chosen. */
export type Method =
    /** The admission queue without load management. */
    | "today"
    /** Each target has a queue of its own; a request joins the one with the fewest requests. */
    | "shortest queue"
    /** As before, with the shorter queue of two that are drawn at random. */
    | "two choices"
    /** The admission queue with load management; targets send no reports. */
    | "cost, no reports"
    /** The admission queue with load management and reports. */
    | "cost";

/** What is replayed. */
export interface Replay {
    method: Method;
    /** Offered work divided by what the targets can do. */
    load: number;
    work: "uniform" | "heavy tail";
    /** True if targets are three times slower for 0.4 s in every 2 s. */
    hasSlowPhases?: boolean;
    targetCount?: number;
    seconds?: number;
    seed?: number;
}

/** What is measured; refused requests and those past their deadline are not in time. */
export interface ReplayResult {
    inTimeShare: number;
    /** Response time that 99 % of the answered requests do not exceed. */
    p99Ms: number;
    answeredShare: number;
    /** Mean response time of the answered requests. */
    meanMs: number;
    /** Longest time that any target needs for the work it holds, at any moment. */
    worstBacklogMs: number;
}

const meanWorkMs = 210;
const targetLatencyMs = 1_034;
const deadlineAfterMs = 2_581;
const slots = 4;
const tickMs = 25;
const phase = { lengthMs: 400, everyMs: 2_000, factor: 3 };
const bounds = { slowest: 1.6, fastest: 0.55 };
const senderCount = 20;

interface SimulatedTarget {
    slowness: number;
    phaseStartMs: number;
    /** Times at which the running requests end. */
    ends: Map<number, number>;
    /** Requests in the target's own queue, and their work. */
    own: { id: number; workMs: number }[];
}

/** Events in order of time, in a binary heap. */
class Events {
    private readonly heap: { atMs: number; order: number; run: (atMs: number) => void }[] = [];
    private count = 0;

    schedule(atMs: number, run: (atMs: number) => void): void {
        const { heap } = this;
        let index = heap.push({ atMs, order: this.count++, run }) - 1;
        while (index > 0 && this.isBefore(index, (index - 1) >> 1)) {
            this.swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    run(untilMs: number): void {
        const { heap } = this;
        for (let next = heap[0]; next !== undefined && next.atMs < untilMs; next = heap[0]) {
            const last = heap.pop();
            if (heap.length > 0) {
                heap[0] = last as typeof next;
                this.sink();
            }
            next.run(next.atMs);
        }
    }

    private sink(): void {
        for (let index = 0; ;) {
            const left = 2 * index + 1;
            const least = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
            if (least >= this.heap.length || !this.isBefore(least, index)) {
                return;
            }
            this.swap(index, least);
            index = least;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const one = this.heap[left] as { atMs: number; order: number };
        const other = this.heap[right] as { atMs: number; order: number };
        return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
    }

    private swap(left: number, right: number): void {
        const kept = this.heap[left] as (typeof this.heap)[0];
        this.heap[left] = this.heap[right] as typeof kept;
        this.heap[right] = kept;
    }
}

/** Draws a work time of mean 210 ms: uniform, or log-normal with spread 0.65 and three in a hundred that take seven times as long. */
function drawWorkMs(random: SeededRandom, work: Replay["work"]): number {
    if (work === "uniform") {
        return meanWorkMs * (0.5 + random.uniform());
    }
    const spread = 0.65;
    const normal = Math.sqrt(-2 * Math.log(1 - random.uniform())) * Math.cos(2 * Math.PI * random.uniform());
    const tail = { share: 0.03, factor: 7 };
    const scale = meanWorkMs / (1 + tail.share * (tail.factor - 1));
    return scale * Math.exp(spread * normal - spread * spread / 2) * (random.chance(tail.share) ? tail.factor : 1);
}

/** Runs a replay. Equal replays give equal results, and all methods get the same requests. */
export function replay(options: Replay): ReplayResult {
    const { method, load, work, hasSlowPhases = true, targetCount = 20, seconds = 30, seed = 5 } = options;
    const random = new SeededRandom(seed);
    const choices = new SeededRandom(seed + 1_000);
    const events = new Events();
    const targets = Array.from({ length: targetCount }, (_, index): SimulatedTarget => ({
        slowness: targetCount === 1 ? 1 : bounds.fastest + (bounds.slowest - bounds.fastest) * index / (targetCount - 1),
        phaseStartMs: random.uniform() * phase.everyMs, ends: new Map(), own: [],
    }));
    const isSlow = ({ phaseStartMs }: SimulatedTarget, atMs: number) =>
        hasSlowPhases && (atMs + phase.everyMs - phaseStartMs) % phase.everyMs < phase.lengthMs;
    const endOf = (one: SimulatedTarget, startMs: number, workMs: number): number => {
        let leftMs = workMs * one.slowness;
        const stepMs = 5;
        let atMs = startMs;
        for (; leftMs > 0; atMs += stepMs) {
            leftMs -= stepMs / (isSlow(one, atMs) ? phase.factor : 1);
        }
        return atMs;
    };
    const speedShare = hasSlowPhases ? 1 - phase.lengthMs / phase.everyMs * (1 - 1 / phase.factor) : 1;
    const perSecond = load * targets.reduce((sum, { slowness }) => sum + slots / slowness, 0) * speedShare / meanWorkMs * 1_000;

    const tookAllMs: number[] = [];
    let offered = 0;
    let inTime = 0;
    let worstBacklogMs = 0;
    const requests: { arrivedMs: number; workMs: number }[] = [];
    const answer = (id: number, atMs: number) => {
        const tookMs = atMs - (requests[id] as { arrivedMs: number }).arrivedMs;
        if (tookMs <= deadlineAfterMs) {
            tookAllMs.push(tookMs);
        }
        inTime += tookMs <= targetLatencyMs ? 1 : 0;
    };
    const noteBacklog = (one: SimulatedTarget, nowMs: number) => {
        let leftMs = 0;
        one.ends.forEach((endMs) => {
            leftMs += Math.max(0, endMs - nowMs);
        });
        one.own.forEach(({ workMs }) => {
            leftMs += workMs * one.slowness;
        });
        worstBacklogMs = Math.max(worstBacklogMs, leftMs / slots);
    };

    const isQueue = method === "today" || method === "cost" || method === "cost, no reports";
    const queue = new AdmissionQueue(() => choices.uniform(), false, false, method === "today" ? undefined : new WorkEstimates());
    queue.setTargets(targets.map((_, index) => target(`t${String(index)}`, { slots })), 0);
    const workTimes = new WorkTimes();
    const typicalMs = targetLatencyMs * 0.35;

    const loadOf = (one: SimulatedTarget, nowMs: number): AgedTargetLoad =>
        ({ running: one.ends.size, waiting: 0, slots, percent: isSlow(one, nowMs) ? 100 * phase.factor : 100, ageMs: 1 });

    const handleVerdicts = (verdicts: readonly AdmissionVerdict[], nowMs: number) => {
        for (const verdict of verdicts) {
            if (verdict.kind === "granted") {
                const id = Number(verdict.ticket);
                const one = targets[Number(verdict.targetId.slice(1))] as SimulatedTarget;
                const endMs = endOf(one, nowMs, (requests[id] as { workMs: number }).workMs);
                one.ends.set(id, endMs);
                noteBacklog(one, nowMs);
                events.schedule(endMs, (atMs) => {
                    const reported = method === "cost" ? loadOf(one, atMs) : undefined;
                    one.ends.delete(id);
                    answer(id, atMs);
                    workTimes.observe("kind", atMs - nowMs, typicalMs);
                    handleVerdicts(queue.finish(verdict.ticket, { kind: "answered", tookMs: atMs - nowMs }, atMs, undefined, reported), atMs);
                });
            }
        }
    };
    const offerToQueue = (id: number, nowMs: number) => {
        handleVerdicts(queue.offer(request(String(id) as Ticket, {
            sender: `host-${String(id % senderCount)}`, workMs: workTimes.meanMs("kind", typicalMs), kind: "kind",
            arrivedMs: nowMs, softDeadlineMs: nowMs + targetLatencyMs, deadlineMs: nowMs + deadlineAfterMs,
        }), nowMs), nowMs);
    };

    const startOwn = (one: SimulatedTarget, nowMs: number) => {
        while (one.ends.size < slots && one.own.length > 0) {
            const { id, workMs } = one.own.shift() as { id: number; workMs: number };
            if (nowMs - (requests[id] as { arrivedMs: number }).arrivedMs > deadlineAfterMs) {
                continue;
            }
            const endMs = endOf(one, nowMs, workMs);
            one.ends.set(id, endMs);
            events.schedule(endMs, (atMs) => {
                one.ends.delete(id);
                answer(id, atMs);
                startOwn(one, atMs);
            });
        }
    };
    const lengthOf = ({ ends, own }: SimulatedTarget) => ends.size + own.length;
    const offerToTarget = (id: number, nowMs: number) => {
        const candidates = method === "two choices" ? [choices.pick(targets), choices.pick(targets)] : targets;
        const start = choices.integerUpTo(candidates.length - 1);
        let best = candidates[start] as SimulatedTarget;
        for (const one of candidates) {
            best = lengthOf(one) < lengthOf(best) ? one : best;
        }
        best.own.push({ id, workMs: (requests[id] as { workMs: number }).workMs });
        startOwn(best, nowMs);
        noteBacklog(best, nowMs);
    };

    const warmUpMs = 3_000;
    const arrive = (nowMs: number) => {
        if (nowMs >= seconds * 1_000) {
            return;
        }
        const id = requests.push({ arrivedMs: nowMs, workMs: drawWorkMs(random, work) }) - 1;
        offered += 1;
        (isQueue ? offerToQueue : offerToTarget)(id, nowMs);
        events.schedule(nowMs - Math.log(1 - random.uniform()) / perSecond * 1_000, arrive);
    };
    events.schedule(0, arrive);
    for (let atMs = tickMs; isQueue && atMs < seconds * 1_000 + deadlineAfterMs; atMs += tickMs) {
        events.schedule(atMs, (nowMs) => {
            handleVerdicts(queue.tick(nowMs), nowMs);
        });
    }
    events.schedule(warmUpMs, () => {
        worstBacklogMs = 0;
    });
    events.run(seconds * 1_000 + 10 * deadlineAfterMs);
    tookAllMs.sort((left, right) => left - right);
    return {
        inTimeShare: inTime / offered, answeredShare: tookAllMs.length / offered, worstBacklogMs,
        meanMs: tookAllMs.reduce((sum, tookMs) => sum + tookMs, 0) / Math.max(1, tookAllMs.length),
        p99Ms: tookAllMs[Math.floor(tookAllMs.length * 0.99)] ?? 0,
    };
}
