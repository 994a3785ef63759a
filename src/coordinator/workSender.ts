/** Sends keyed work to a server under a grant, and finds out what an answer, or none, proves. */
import { v4 as newUuid } from "uuid";
import type { Result } from "neverthrow";
import type { Incarnation, TargetId } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import type { GuardsOut } from "../model/guards.js";
import type { Clock } from "../model/time.js";
import type { KeyedWork, Outcome, ServerWork } from "../model/work.js";
import { notRun, unknownOutcome } from "../model/work.js";
import type { Cell } from "../ownership/cell.js";
import type { ServerQueue } from "../admission/serverQueue.js";
import type { CancelAnswer, ServerAnswer, ServerPort } from "./serverPort.js";
import { checkAnswer } from "./serverPort.js";

const cancelReserveMs = 60;
const silenceCheckMs = 250;

/** What a sender works with. */
export interface WorkSenderParts {
    cell: Cell;
    servers: ServerPort;
    clock: Clock;
    guardsOut: GuardsOut;
}

/** Sends the work of one cell. The caller holds a slot of the queue, which the sender gives back. */
export class WorkSender {
    /** @param parts the cell and the ports */
    constructor(private readonly parts: WorkSenderParts) {}

    /**
     * Sends a read once.
     * @param work the read
     * @param server the owner of its key
     * @param queue queue whose slot is held
     * @param deadlineMs monotonic time at which the caller gives up
     * @returns its outcome; `unknown` when no answer of its own came
     */
    async sendRead(work: KeyedWork, server: TargetId, queue: ServerQueue, deadlineMs: number): Promise<Outcome> {
        const sentMs = this.nowMs();
        const serverWork = this.bind(work, server, deadlineMs, sentMs);
        const answer = await this.send(server, serverWork, deadlineMs - sentMs);
        const nowMs = this.nowMs();
        queue.leave(answer.isOk() ? nowMs - sentMs : undefined, nowMs);
        return answer.match(
            (whole) => this.outcomeOf(whole, server, queue),
            (failed) => unknownOutcome(failed.kind === "unreachable" ? "unreachable" : "lost", 0),
        );
    }

    /**
     * Sends an order once, and looks for proof when its answer does not come.
     * @param work the order
     * @param server the owner of its key
     * @param queue queue whose slot is held
     * @param deadlineMs monotonic time at which the caller gives up
     * @returns its outcome
     */
    async sendOrder(work: KeyedWork, server: TargetId, queue: ServerQueue, deadlineMs: number): Promise<Outcome> {
        const sentMs = this.nowMs();
        const serverWork = this.bind(work, server, deadlineMs, sentMs);
        const incarnation = this.parts.cell.authority.of(server)?.incarnation;
        const timeoutMs = Math.min(silenceCheckMs, Math.max(1, deadlineMs - sentMs - cancelReserveMs));
        const answer = await this.send(server, serverWork, timeoutMs);
        const outcome = answer.isOk()
            ? this.outcomeOf(answer.value, server, queue)
            : await this.resolveLost(answer.error, serverWork, server, incarnation, deadlineMs);
        const nowMs = this.nowMs();
        queue.leave(answer.isOk() ? nowMs - sentMs : undefined, nowMs);
        return outcome;
    }

    private async send(server: TargetId, work: ServerWork, timeoutMs: number): Promise<Result<ServerAnswer, Failure>> {
        const answer = await this.parts.servers.send(server, work, Math.max(1, timeoutMs));
        if (this.parts.guardsOut.answerMatch === true) {
            return answer;
        }
        return answer.andThen((whole) => checkAnswer(server, work, whole, (body) => this.parts.servers.digestOf(body)));
    }

    /** Looks for proof of what became of an order whose answer did not come or was not its own. */
    private async resolveLost(
        cause: Failure,
        work: ServerWork,
        server: TargetId,
        incarnation: Incarnation | undefined,
        deadlineMs: number,
    ): Promise<Outcome> {
        if (cause.kind === "unreachable") {
            return notRun("unreachable", 0);
        }
        this.parts.servers.dropIdle(server);
        for (;;) {
            const timeoutMs = Math.max(cancelReserveMs, Math.min(silenceCheckMs, deadlineMs - this.nowMs()));
            const cancelled = await this.parts.servers.cancel(server, work.requestId, timeoutMs);
            const proved = cancelled.isOk() ? this.proofOf(cancelled.value, work, server, incarnation) : undefined;
            if (proved !== undefined) {
                return proved;
            }
            if (this.nowMs() + cancelReserveMs >= deadlineMs) {
                return unknownOutcome("lost", 0);
            }
            await this.parts.clock.sleep(cancelReserveMs / 2);
        }
    }

    /** What a cancellation proves; undefined while the order runs. Another run of the server proves nothing. */
    private proofOf(
        answer: CancelAnswer,
        work: ServerWork,
        server: TargetId,
        incarnation: Incarnation | undefined,
    ): Outcome | undefined {
        if (answer.requestId !== work.requestId) {
            return undefined;
        }
        if (answer.incarnation !== incarnation && this.parts.guardsOut.cancelIncarnation !== true) {
            return unknownOutcome("lost", 0);
        }
        if (answer.state === "cancelled") {
            return notRun("cancelled", 0);
        }
        if (answer.state === "running" || answer.answer === undefined) {
            return undefined;
        }
        const whole = checkAnswer(server, work, answer.answer, (body) => this.parts.servers.digestOf(body));
        return whole.match((own) => this.outcomeOf(own, server), () => unknownOutcome("bad-answer", 0));
    }

    private outcomeOf(answer: ServerAnswer, server: TargetId, queue?: ServerQueue): Outcome {
        if (answer.state === "done") {
            return { outcome: "done", status: answer.status, body: answer.body, server };
        }
        const retryAfterMs = answer.retryAfterMs ?? 0;
        if (answer.reason === "shedding") {
            queue?.pause(retryAfterMs, this.nowMs());
        }
        return notRun(answer.reason ?? "shedding", retryAfterMs);
    }

    /** Binds the work to the grant: it may begin only inside the caller's deadline and this authority. */
    private bind(work: KeyedWork, server: TargetId, deadlineMs: number, nowMs: number): ServerWork {
        const { cell } = this.parts;
        const known = cell.authority.of(server);
        const latestMs = Math.min(deadlineMs, cell.authority.endMs());
        const readAtMs = known?.receivedMs ?? nowMs;
        return {
            requestId: newUuid(),
            kind: work.kind,
            cell: cell.plan.cell,
            key: work.key,
            shard: work.shard,
            fence: cell.plan.fence,
            orderId: work.orderId,
            // Counted from the server's last reading, so that a late arrival gains no time.
            notAfterServerMs: (known?.serverClockMs ?? 0) + latestMs - readAtMs,
            body: work.body,
        };
    }

    private nowMs(): number {
        return this.parts.clock.now().monoMs;
    }
}
