/** Takes keyed work to the coordinator of its cell, wherever that is now. */
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { CellId, HostId, RunId } from "../model/ids.js";
import { hostOfRun } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { CoordinatorAnswer, KeyedWork, Outcome, RefusalReason } from "../model/work.js";
import { notRun, unknownOutcome } from "../model/work.js";
import type { CoordinatorView } from "./coordinatorView.js";
import type { LogFollower } from "../platform/logFollower.js";

const movedCheckMs = 50;
const pauseMs = 15;
const answerGraceMs = 30;
const comeBackMs = 500;

/** After this time without a coordinator, requests for its cell are refused after one try instead of held. */
const hopelessAfterMs = 1_500;

/** What a router works with. */
export interface KeyedRouterParts {
    follower: LogFollower;
    coordinators: CoordinatorView;
    clock: Clock;
}

/** Asks coordinators for the outcome of keyed work. */
export class KeyedRouter {
    private readonly hintByCell = new Map<CellId, RunId>();
    private readonly lostSinceMs = new Map<CellId, number>();

    /** @param parts the agreed state, the coordinators and the clocks */
    constructor(private readonly parts: KeyedRouterParts) {}

    /**
     * Serves one request. The same order may be asked for again at any coordinator: each one either remembers its
     * id or knows that it is too old to send.
     * @param cell cell of the key's shard
     * @param work the request
     * @param deadlineMs monotonic time at which the caller gives up
     * @returns its outcome
     */
    async serve(cell: CellId, work: KeyedWork, deadlineMs: number): Promise<Outcome> {
        let lastReason: RefusalReason = "not-ready";
        for (let attempt = 0; ; attempt += 1) {
            const leftMs = deadlineMs - this.nowMs();
            if (attempt > 0 && (leftMs <= 0 || this.isHopeless(cell))) {
                return this.giveUp(work, lastReason);
            }
            const run = this.choose(cell, attempt);
            const answer = run === undefined
                ? undefined
                : await this.ask(cell, run, { ...work, budgetMs: Math.max(0, leftMs), relay: attempt > 0 });
            if (answer?.isOk() === true && answer.value.outcome !== "redirect") {
                this.lostSinceMs.delete(cell);
                return answer.value;
            }
            this.lostSinceMs.set(cell, this.lostSinceMs.get(cell) ?? this.nowMs());
            lastReason = this.learn(cell, answer);
            await this.parts.clock.sleep(pauseMs);
        }
    }

    /** An order that no coordinator could judge may have run through another entry host. */
    private giveUp(work: KeyedWork, reason: RefusalReason): Outcome {
        return work.kind === "order" ? unknownOutcome(reason, comeBackMs) : notRun(reason, comeBackMs);
    }

    private isHopeless(cell: CellId): boolean {
        return this.nowMs() - (this.lostSinceMs.get(cell) ?? this.nowMs()) > hopelessAfterMs;
    }

    private learn(cell: CellId, answer: Result<CoordinatorAnswer, Failure> | undefined): RefusalReason {
        this.hintByCell.delete(cell);
        if (answer === undefined) {
            return "not-ready";
        }
        if (answer.isErr()) {
            return answer.error.kind === "unreachable" ? "unreachable" : "lost";
        }
        if (answer.value.outcome !== "redirect") {
            return "not-ready";
        }
        if (answer.value.coordinator !== undefined) {
            this.hintByCell.set(cell, answer.value.coordinator);
        }
        return answer.value.reason;
    }

    /** Whoever was heard to act goes before a hint, and a hint before the term's ranks. */
    private choose(cell: CellId, attempt: number): RunId | undefined {
        const acting = this.parts.coordinators.actingRun(cell, this.nowMs());
        const ranked = this.parts.follower.state.terms[cell]?.term.coordinators ?? [];
        const nowMs = this.nowMs();
        const live = ranked.filter((run) => this.parts.coordinators.isLive(run, nowMs));
        const candidates = [acting, this.hintByCell.get(cell), ...live].filter((run) => run !== undefined);
        return candidates.length === 0 ? ranked[attempt % Math.max(1, ranked.length)] : candidates[attempt % candidates.length];
    }

    /** Asks one coordinator, and stops waiting for it when another one acts for the cell. */
    private async ask(cell: CellId, run: RunId, work: KeyedWork): Promise<Result<CoordinatorAnswer, Failure>> {
        const host: HostId = hostOfRun(run);
        const call = this.parts.coordinators.callHost<CoordinatorAnswer>(host, "work", work, work.budgetMs + answerGraceMs);
        const ended = { done: false };
        const answered = call.finally(() => {
            ended.done = true;
        });
        return Promise.race([answered, this.movedAway(cell, run, ended)]);
    }

    private async movedAway(cell: CellId, run: RunId, ended: { done: boolean }): Promise<Result<CoordinatorAnswer, Failure>> {
        for (;;) {
            await this.parts.clock.sleep(movedCheckMs);
            const acting = this.parts.coordinators.actingRun(cell, this.nowMs());
            if (!ended.done && acting !== undefined && acting !== run) {
                return err(failure("lost", "peer-call", run, "another coordinator acts for the cell now"));
            }
            if (ended.done) {
                return new Promise(() => undefined);
            }
        }
    }

    private nowMs(): number {
        return this.parts.clock.now().monoMs;
    }
}
