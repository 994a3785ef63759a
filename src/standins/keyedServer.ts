/** Stand-in for a server that owns keys: grants, slots, drain, shedding, cancellation, deadlines, its own record. */
import { createHash } from "node:crypto";
import { appendFileSync } from "node:fs";
import { v4 as newUuid } from "uuid";
import { z } from "zod";
import type { Incarnation } from "../model/ids.js";
import type { GuardsOut } from "../model/guards.js";
import { noGuardsOut } from "../model/guards.js";
import type { Clock } from "../model/time.js";
import type { ServerWork } from "../model/work.js";
import type { CancelAnswer, ServerAnswer } from "../coordinator/serverPort.js";
import { LeaseHolder } from "../ownership/leaseHolder.js";
import type { HeartbeatRequest } from "../ownership/messages.js";
import type { StandIn } from "./platform.js";
import { addressOf, serverOn } from "./platform.js";

const rememberedRequests = 20_000;

/** Behaviour that a test may change while the server runs. */
export const serverFaultSchema = z.object({
    draining: z.boolean().default(false),
    shedding: z.boolean().default(false),
    /** Added to every piece of work. */
    slowMs: z.number().default(0),
    /** Work answers that carry another request's id. */
    crossAnswers: z.number().default(0),
    /** Work answers whose body is cut short. */
    truncateAnswers: z.number().default(0),
    /** Work that takes effect while its answer never comes. */
    loseAnswers: z.number().default(0),
});

/** Settings of a keyed server. */
export interface KeyedServerOptions {
    address: string;
    slots: number;
    serviceMs: number;
    /** False for servers that do not check who orders. */
    fenceChecked: boolean;
    /** Work that may wait for a slot before the server sheds. */
    maxQueued: number;
    /** How much slower the first pieces of work are. */
    coldFactor: number;
    coldRequests: number;
    /** File that every beginning order is appended to, so that the record outlives the process; none when empty. */
    recordFile?: string;
    clock: Clock;
}

/** The server's own record, which proofs read. */
export interface ServerRecord {
    incarnation: string;
    /** Times that each order id began. */
    runsByOrderId: Record<string, number>;
    /** Orders that began though this server did not own their shard. */
    runsWithoutOwnership: number;
    reads: number;
}

interface Job {
    work: ServerWork;
    cancelled: boolean;
    state: "queued" | "running" | "done";
    answer?: ServerAnswer;
    /** The answer to every copy of the request; absent when it was cancelled before it arrived. */
    settled?: Promise<ServerAnswer>;
}

/** The server apart from HTTP, so that a test can hold it in its own process. */
export class KeyedServer {
    readonly lease: LeaseHolder;
    readonly record: ServerRecord;
    fault = serverFaultSchema.parse({});
    private readonly jobs = new Map<string, Job>();
    private readonly queue: (() => void)[] = [];
    private running = 0;
    private served = 0;

    /**
     * @param options its settings
     * @param guardsOut guards left out by a proof
     */
    constructor(private readonly options: Omit<KeyedServerOptions, "address">, guardsOut: GuardsOut = noGuardsOut) {
        this.lease = new LeaseHolder(newUuid() as Incarnation, options.clock.now().monoMs, guardsOut);
        this.record = { incarnation: this.lease.incarnation, runsByOrderId: {}, runsWithoutOwnership: 0, reads: 0 };
    }

    /** Answers a heartbeat. */
    heartbeat(request: HeartbeatRequest) {
        return this.lease.onHeartbeat(request, this.nowMs(), this.fault.draining, this.running + this.queue.length);
    }

    /** Does a piece of work when a slot is free, if it still may begin then. */
    async work(work: ServerWork): Promise<ServerAnswer> {
        const known = this.jobs.get(work.requestId);
        if (known !== undefined) {
            return known.settled ?? this.refuse(work, "cancelled");
        }
        if (this.fault.shedding || this.queue.length >= this.options.maxQueued) {
            return this.refuse(work, "shedding", this.options.serviceMs * 10);
        }
        const job: Job = { work, cancelled: false, state: "queued" };
        this.remember(job);
        job.settled = this.runInSlot(job);
        return job.settled;
    }

    /** Stops work that has not begun; also work that has not arrived, until it would be too late to begin. */
    cancel(requestId: string): CancelAnswer {
        const job = this.jobs.get(requestId);
        const incarnation = this.lease.incarnation;
        if (job === undefined) {
            this.jobs.set(requestId, { work: {} as ServerWork, cancelled: true, state: "queued" });
            return { requestId, incarnation, state: "cancelled" };
        }
        if (job.state === "queued") {
            job.cancelled = true;
            return { requestId, incarnation, state: "cancelled" };
        }
        return { requestId, incarnation, state: job.state, answer: job.answer };
    }

    private async runInSlot(job: Job): Promise<ServerAnswer> {
        await this.slot();
        const answer = await this.run(job);
        this.release();
        return answer;
    }

    private async run(job: Job): Promise<ServerAnswer> {
        const { work } = job;
        if (job.cancelled) {
            return this.refuse(work, "cancelled");
        }
        const refusal = this.refusalOf(work);
        if (refusal !== undefined) {
            this.jobs.delete(work.requestId);
            return this.refuse(work, refusal);
        }
        job.state = "running";
        this.count(work);
        const serviceMs = this.serviceMs();
        if (serviceMs > 0) {
            await this.options.clock.sleep(serviceMs);
        }
        this.served += 1;
        job.answer = this.done(work);
        job.state = "done";
        return job.answer;
    }

    private refusalOf(work: ServerWork) {
        const nowMs = this.nowMs();
        if (this.options.fenceChecked) {
            return this.lease.refuseWork(work, nowMs);
        }
        return nowMs > work.notAfterServerMs ? "too-late" as const : undefined;
    }

    private count(work: ServerWork): void {
        if (work.orderId === undefined) {
            this.record.reads += 1;
            return;
        }
        if (this.options.recordFile !== undefined && this.options.recordFile !== "") {
            appendFileSync(this.options.recordFile, `${work.orderId}\n`);
        }
        this.record.runsWithoutOwnership += this.lease.owns(work.shard, this.nowMs()) ? 0 : 1;
        this.record.runsByOrderId[work.orderId] = (this.record.runsByOrderId[work.orderId] ?? 0) + 1;
    }

    private serviceMs(): number {
        const cold = this.served < this.options.coldRequests;
        return this.options.serviceMs * (cold ? this.options.coldFactor : 1) + this.fault.slowMs;
    }

    private done(work: ServerWork): ServerAnswer {
        const body = JSON.stringify({ key: work.key, orderId: work.orderId, echo: work.body });
        return {
            requestId: work.requestId,
            fence: work.fence,
            incarnation: this.lease.incarnation,
            state: "done",
            status: 200,
            body,
            digest: createHash("sha256").update(body).digest("hex"),
        };
    }

    private refuse(work: ServerWork, reason: ServerAnswer["reason"], retryAfterMs?: number): ServerAnswer {
        return { ...this.done(work), state: "refused", reason, retryAfterMs, status: 503 };
    }

    private remember(job: Job): void {
        this.jobs.set(job.work.requestId, job);
        if (this.jobs.size > rememberedRequests) {
            const [oldest] = this.jobs.keys();
            this.jobs.delete(oldest as string);
        }
    }

    private async slot(): Promise<void> {
        if (this.running < this.options.slots) {
            this.running += 1;
            return;
        }
        await new Promise<void>((resolve) => this.queue.push(resolve));
    }

    private release(): void {
        const next = this.queue.shift();
        if (next === undefined) {
            this.running -= 1;
            return;
        }
        next();
    }

    private nowMs(): number {
        return this.options.clock.now().monoMs;
    }
}

/**
 * Starts a keyed server as an HTTP server.
 * @param options its settings
 * @returns the running server
 */
export async function startKeyedServer(options: KeyedServerOptions): Promise<StandIn & { server: KeyedServer }> {
    const keyed = new KeyedServer(options);
    const http = serverOn(options.address);
    http.route([
        { method: "POST", path: "/heartbeat", handler: (request) => keyed.heartbeat(request.payload as HeartbeatRequest) },
        { method: "POST", path: "/cancel", handler: (request) => keyed.cancel((request.payload as { requestId: string }).requestId) },
        { method: "GET", path: "/record", handler: () => keyed.record },
        {
            method: "POST",
            path: "/fault",
            handler: (request) => {
                keyed.fault = serverFaultSchema.parse(request.payload);
                return keyed.fault;
            },
        },
        {
            method: "POST",
            path: "/work",
            handler: async (request, h) => {
                const answer = await keyed.work(request.payload as ServerWork);
                if (keyed.fault.loseAnswers > 0) {
                    keyed.fault.loseAnswers -= 1;
                    request.raw.req.socket.destroy();
                    return h.abandon;
                }
                return distort(keyed, answer);
            },
        },
    ]);
    await http.start();
    return { server: keyed, address: addressOf(http), stop: () => http.stop({ timeout: 100 }) };
}

function distort(keyed: KeyedServer, answer: ServerAnswer): ServerAnswer {
    if (keyed.fault.crossAnswers > 0) {
        keyed.fault.crossAnswers -= 1;
        return { ...answer, requestId: newUuid() };
    }
    if (keyed.fault.truncateAnswers > 0) {
        keyed.fault.truncateAnswers -= 1;
        return { ...answer, body: answer.body.slice(0, -1) };
    }
    return answer;
}
