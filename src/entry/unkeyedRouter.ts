/**
 * Routes work that any target of a pool can do: the less loaded of two by this host's own counts, slow start for
 * cold targets, ejection that never empties a pool, and retries only of what changes nothing or did not begin.
 */
import { v4 as newUuid } from "uuid";
import type { Result } from "neverthrow";
import type { PoolId, TargetId } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { NotRunOutcome, UnknownOutcome } from "../model/work.js";
import { notRun, unknownOutcome } from "../model/work.js";
import type { TargetConfig } from "../config/document.js";
import { RetryBudget } from "../admission/retryBudget.js";
import type { AdmissionPolicy, QueueLimits } from "../admission/serverQueue.js";
import { ServerQueue } from "../admission/serverQueue.js";
import type { TargetAnswer, TargetPort } from "./targetPort.js";

const latencySmoothing = 0.2;
const initialLatencyMs = 5;
const firstEjectionMs = 500;
const longestEjectionMs = 8_000;
const drainingMs = 30_000;
const retryRatio = 0.1;
const retryBurst = 20;

/** One request to an unkeyed pool. */
export interface UnkeyedWork {
    pool: PoolId;
    kind: "bulk" | "write";
    path: string;
    body: string;
    priority: number;
    /** Monotonic time at which the caller gives up. */
    deadlineMs: number;
    maxAnswerBytes: number;
}

/** A whole answer, or why there is none. */
export type UnkeyedOutcome = { outcome: "done"; answer: TargetAnswer; target: TargetId } | NotRunOutcome | UnknownOutcome;

interface TargetState {
    latencyMs: number;
    ejectedUntilMs: number;
    failuresInRow: number;
    queue: ServerQueue;
}

/** Keeps this host's own view of every unkeyed target. */
export class UnkeyedRouter {
    private readonly states = new Map<TargetId, TargetState>();
    private readonly retries = new RetryBudget(retryRatio, () => retryBurst);

    /**
     * @param port port to the targets
     * @param clock clocks of this process
     * @param random uniform in [0, 1)
     */
    constructor(
        private readonly port: TargetPort,
        private readonly clock: Clock,
        private readonly random: () => number,
    ) {}

    /**
     * Serves one request.
     * @param work the request
     * @param targets targets of the pool
     * @param limits queue bounds of the pool
     * @returns its outcome, at the latest at the deadline
     */
    async serve(work: UnkeyedWork, targets: readonly TargetConfig[], limits: () => QueueLimits): Promise<UnkeyedOutcome> {
        this.retries.onFirstAttempt();
        const tried = new Set<TargetId>();
        for (;;) {
            const target = this.choose(targets, tried, limits);
            if (target === undefined) {
                return notRun("draining", drainingMs);
            }
            tried.add(target.id as TargetId);
            const outcome = await this.attempt(work, target, limits);
            const left = targets.some((one) => !tried.has(one.id as TargetId));
            if (outcome.outcome === "done" || !left || !this.mayRetry(work, outcome)) {
                return outcome;
            }
        }
    }

    /** Describes the targets for a dump. */
    describe(nowMs: number): object[] {
        return [...this.states].map(([target, state]) => ({
            target,
            inFlight: state.queue.inFlightCount,
            waiting: state.queue.waitingCount,
            latencyMs: Math.round(state.latencyMs * 10) / 10,
            ejectedForMs: Math.max(0, Math.round(state.ejectedUntilMs - nowMs)),
        }));
    }

    private mayRetry(work: UnkeyedWork, outcome: NotRunOutcome | UnknownOutcome): boolean {
        const harmless = work.kind === "bulk" || outcome.outcome === "not-run";
        return harmless && this.clock.now().monoMs < work.deadlineMs && this.retries.tryRetry();
    }

    private async attempt(work: UnkeyedWork, target: TargetConfig, limits: () => QueueLimits): Promise<UnkeyedOutcome> {
        const state = this.stateOf(target.id as TargetId, limits);
        const permit = await state.queue.enter(work, this.clock.now().monoMs);
        if (!permit.granted) {
            return permit.refusal;
        }
        const sentMs = this.clock.now().monoMs;
        const answer = await this.port.call(target.id as TargetId, target.address, {
            requestId: newUuid(),
            method: work.kind === "write" ? "POST" : "GET",
            path: work.path,
            body: work.body,
            timeoutMs: work.deadlineMs - sentMs,
            maxAnswerBytes: work.maxAnswerBytes,
        });
        const nowMs = this.clock.now().monoMs;
        state.queue.leave(answer.isOk() ? nowMs - sentMs : undefined, nowMs);
        return this.toOutcome(target.id as TargetId, state, answer, nowMs - sentMs, nowMs);
    }

    private toOutcome(
        target: TargetId,
        state: TargetState,
        answer: Result<TargetAnswer, Failure>,
        tookMs: number,
        nowMs: number,
    ): UnkeyedOutcome {
        if (answer.isErr()) {
            this.eject(state, nowMs);
            return answer.error.kind === "unreachable" ? notRun("unreachable", firstEjectionMs) : unknownOutcome("lost", firstEjectionMs);
        }
        state.failuresInRow = 0;
        const { refused, retryAfterMs } = answer.value;
        if (refused !== undefined) {
            const restMs = refused === "draining" ? drainingMs : retryAfterMs ?? 0;
            state.queue.pause(retryAfterMs ?? 0, nowMs);
            state.ejectedUntilMs = Math.max(state.ejectedUntilMs, nowMs + restMs);
            return notRun(refused, retryAfterMs);
        }
        state.latencyMs += latencySmoothing * (tookMs - state.latencyMs);
        return { outcome: "done", answer: answer.value, target };
    }

    private eject(state: TargetState, nowMs: number): void {
        state.failuresInRow += 1;
        const restMs = Math.min(longestEjectionMs, firstEjectionMs * 2 ** (state.failuresInRow - 1));
        state.ejectedUntilMs = nowMs + restMs;
        state.queue.startCold();
    }

    private choose(
        targets: readonly TargetConfig[],
        tried: ReadonlySet<TargetId>,
        limits: () => QueueLimits,
    ): TargetConfig | undefined {
        return chooseByPolicy[limits().policy](() => this.chooseLessLoaded(targets, tried, limits), () => this.pick(targets));
    }

    /** The less loaded of two random targets; ejected ones only when no other is left. */
    private chooseLessLoaded(
        targets: readonly TargetConfig[],
        tried: ReadonlySet<TargetId>,
        limits: () => QueueLimits,
    ): TargetConfig | undefined {
        const nowMs = this.clock.now().monoMs;
        const open = targets.filter((target) => target.drain !== true && !tried.has(target.id as TargetId));
        const well = open.filter((target) => this.stateOf(target.id as TargetId, limits).ejectedUntilMs <= nowMs);
        const candidates = well.length > 0 ? well : open;
        const first = this.pick(candidates);
        const second = this.pick(candidates.filter((target) => target !== first));
        if (first === undefined || second === undefined) {
            return first;
        }
        return this.loadOf(first, limits) <= this.loadOf(second, limits) ? first : second;
    }

    private pick(targets: readonly TargetConfig[]): TargetConfig | undefined {
        return targets[Math.floor(this.random() * targets.length)];
    }

    private loadOf(target: TargetConfig, limits: () => QueueLimits): number {
        const state = this.stateOf(target.id as TargetId, limits);
        return (state.queue.inFlightCount + state.queue.waitingCount + 1) * state.latencyMs;
    }

    private stateOf(target: TargetId, limits: () => QueueLimits): TargetState {
        const known = this.states.get(target);
        if (known !== undefined) {
            return known;
        }
        const state: TargetState = {
            latencyMs: initialLatencyMs,
            ejectedUntilMs: Number.NEGATIVE_INFINITY,
            failuresInRow: 0,
            queue: new ServerQueue(limits, this.random),
        };
        this.states.set(target, state);
        return state;
    }
}

type Choice = () => TargetConfig | undefined;

const chooseByPolicy: Record<AdmissionPolicy, (lessLoaded: Choice, random: Choice) => TargetConfig | undefined> = {
    queue: (lessLoaded) => lessLoaded(),
    plain: (_lessLoaded, random) => random(),
};
