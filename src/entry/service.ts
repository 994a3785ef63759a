/** What an entry host does for callers, apart from HTTP: checks, limits, and the way to a coordinator or target. */
import "reflect-metadata";
import { inject, singleton } from "tsyringe";
import { v4 as newUuid } from "uuid";
import type { InstitutionId, OrderId, PoolId, RunId } from "../model/ids.js";
import { noOffset, parseOrderId } from "../model/ids.js";
import { shardOf } from "../model/keyHash.js";
import type { Clock } from "../model/time.js";
import { tokens } from "../model/tokens.js";
import type { KeyedWork, Outcome, UnknownOutcome } from "../model/work.js";
import { notRun, unknownOutcome } from "../model/work.js";
import type { ConfigDocument, PoolConfig, TermsOfService } from "../config/document.js";
import { cellOfShard, findPool, termsOf } from "../config/document.js";
import type { LinkFactory } from "../coordinator/peers.js";
import type { Journal } from "../platform/journal.js";
import { LogFollower } from "../platform/logFollower.js";
import type { HostListPort, LogPort } from "../platform/logPort.js";
import { CoordinatorView, hostOfEntry } from "./coordinatorView.js";
import { KeyedRouter } from "./keyedRouter.js";
import type { TargetPort } from "./targetPort.js";
import type { UnkeyedOutcome } from "./unkeyedRouter.js";
import { UnkeyedRouter } from "./unkeyedRouter.js";

const maxKeyLength = 200;
const maxDeadlineMs = 300_000;
const comeBackMs = 200;

/** A caller's request after HTTP is out of the way. */
export interface CallerRequest {
    institution: string;
    pool: string;
    /** When the caller gives up, wall clock in milliseconds; the terms of service decide when absent. */
    deadlineWallMs?: number;
    body: string;
}

/** A keyed read or an order. */
export interface KeyedRequest extends CallerRequest {
    key: string;
    kind: "read" | "order";
    orderId?: string;
}

/** A bulk read or a meter-read write. */
export interface UnkeyedRequest extends CallerRequest {
    kind: "bulk" | "write";
    path: string;
}

/** A refusal because of the request itself; nothing ran and nothing will. */
export interface BadRequest {
    outcome: "bad-request";
    /** What is wrong, for the caller's developers. */
    message: string;
}

interface Place {
    pool: PoolConfig;
    terms: TermsOfService;
    deadlineMs: number;
}

/** Serves callers on one entry host. */
@singleton()
export class EntryService {
    readonly follower: LogFollower;
    private readonly coordinators: CoordinatorView;
    private readonly keyed: KeyedRouter;
    private readonly unkeyed: UnkeyedRouter;
    private readonly inFlightByPool = new Map<string, number>();
    private readonly keyForms = new Map<string, RegExp>();
    private leaving = false;

    constructor(
        @inject(tokens.self) self: RunId,
        @inject(tokens.clock) private readonly clock: Clock,
        @inject(tokens.log) log: LogPort,
        @inject(tokens.hostList) hostList: HostListPort,
        @inject(tokens.linkFactory) createLink: LinkFactory,
        @inject(tokens.targets) targets: TargetPort,
        @inject(tokens.journal) private readonly journal: Journal,
        @inject(tokens.random) random: () => number,
    ) {
        this.coordinators = new CoordinatorView({
            self, clock, createLink,
            ownHost: hostOfEntry(self),
            list: hostList,
            configOffset: () => this.follower.state.config?.offset ?? noOffset,
        });
        this.follower = new LogFollower(log, clock, (above) => this.coordinators.fetchState(above));
        this.keyed = new KeyedRouter({ follower: this.follower, coordinators: this.coordinators, clock });
        this.unkeyed = new UnkeyedRouter(targets, clock, random);
    }

    /** Starts every task. */
    start(): void {
        void this.coordinators.run();
        void this.follower.run();
    }

    /** Tells the platform's balancer to send no more; what is in flight goes on. */
    announceLeaving(): void {
        this.leaving = true;
    }

    /** Ends the tasks. */
    stop(): void {
        this.follower.stop();
        this.coordinators.stop();
    }

    /** Why this host cannot serve, or undefined when it can. */
    get unreadyBecause(): string | undefined {
        return this.leaving ? "shutting down" : this.follower.unreadyBecause;
    }

    /**
     * Serves a keyed read or an order.
     * @param request what the caller sent
     * @returns its outcome
     */
    async serveKeyed(request: KeyedRequest): Promise<Outcome | BadRequest> {
        const place = this.findPlace(request, request.kind === "read" ? "readDeadlineMs" : "orderDeadlineMs");
        if ("outcome" in place) {
            return place;
        }
        const { pool, terms } = place;
        if (pool.kind !== "keyed") {
            return badRequest(`pool ${request.pool} has no keys`);
        }
        if (request.key.length > maxKeyLength || !this.keyForm(pool.keyPattern).test(request.key)) {
            return badRequest(`the key does not have the form ${pool.keyPattern}`);
        }
        const orderId = request.orderId === undefined ? undefined : parseOrderId(request.orderId);
        if (request.kind === "order" && orderId === undefined) {
            return badRequest("the order id is not a UUID of version 7");
        }
        const shard = shardOf(request.key, pool.shards ?? 1);
        const work: KeyedWork = {
            requestId: newUuid(),
            kind: request.kind,
            institution: request.institution as InstitutionId,
            pool: request.pool as PoolId,
            key: request.key,
            shard,
            orderId: request.kind === "order" ? orderId as OrderId : undefined,
            budgetMs: 0,
            priority: request.kind === "read" ? terms.readPriority : terms.orderPriority,
            body: request.body,
        };
        const cell = cellOfShard(request.institution, request.pool, pool, shard);
        const refused = await this.limited(request, terms, () => this.keyed.serve(cell, work, place.deadlineMs));
        // Only the coordinator can prove that an order did not run, so a full entry host still asks it, without time to run.
        return refused ?? (request.kind === "order" ? this.keyed.serve(cell, work, this.nowMs()) : notRun("limit", comeBackMs));
    }

    /**
     * Serves a bulk read or a meter-read write.
     * @param request what the caller sent
     * @returns its outcome
     */
    async serveUnkeyed(request: UnkeyedRequest): Promise<UnkeyedOutcome | BadRequest> {
        const place = this.findPlace(request, request.kind === "bulk" ? "bulkDeadlineMs" : "writeDeadlineMs");
        if ("outcome" in place) {
            return place;
        }
        const { pool, terms } = place;
        if (pool.kind !== (request.kind === "bulk" ? "export" : "archive")) {
            return badRequest(`pool ${request.pool} does not serve this kind of request`);
        }
        if (place.deadlineMs <= this.nowMs()) {
            return badRequest("the deadline has passed");
        }
        const work = {
            pool: request.pool as PoolId,
            kind: request.kind,
            path: request.path,
            body: request.body,
            priority: request.kind === "bulk" ? terms.bulkPriority : terms.writePriority,
            deadlineMs: place.deadlineMs,
            maxAnswerBytes: terms.maxAnswerBytes,
        };
        const { lookahead, maxWaiting, warmUpMs, policy } = terms;
        const limits = () => ({ slots: pool.slots, lookahead, maxWaiting, warmUpMs, policy });
        return await this.limited(request, terms, () => this.unkeyed.serve(work, pool.targets, limits)) ?? notRun("limit", comeBackMs);
    }

    /** Describes the whole process for a dump. */
    describe(): object {
        const nowMs = this.nowMs();
        return {
            unready: this.unreadyBecause,
            offset: this.follower.state.offset,
            configOffset: this.follower.state.config?.offset,
            logWell: this.follower.isLogWell,
            inFlight: Object.fromEntries(this.inFlightByPool),
            coordinators: this.coordinators.describe(nowMs),
            targets: this.unkeyed.describe(nowMs),
        };
    }

    private keyForm(keyPattern: string): RegExp {
        const known = this.keyForms.get(keyPattern) ?? new RegExp(`^(?:${keyPattern})$`);
        this.keyForms.set(keyPattern, known);
        return known;
    }

    private findPlace(request: CallerRequest, deadlineTerm: DeadlineTerm): Place | BadRequest | UnknownOutcome {
        const document: ConfigDocument | undefined = this.follower.state.config?.document;
        if (document === undefined) {
            return unknownOutcome("not-ready", comeBackMs);
        }
        const pool = findPool(document, request.institution, request.pool);
        if (pool === undefined) {
            return badRequest(`institution ${request.institution} has no pool ${request.pool}`);
        }
        const now = this.clock.now();
        const terms = termsOf(document, request.institution, request.pool, now.wallMs);
        if (Buffer.byteLength(request.body) > terms.maxBodyBytes) {
            return badRequest(`the body is longer than ${String(terms.maxBodyBytes)} bytes`);
        }
        const budgetMs = request.deadlineWallMs === undefined ? terms[deadlineTerm] : request.deadlineWallMs - now.wallMs;
        return { pool, terms, deadlineMs: now.monoMs + Math.min(budgetMs, maxDeadlineMs) };
    }

    /** Runs the work unless the pool's share of this host is used up; undefined when it is. */
    private async limited<T>(request: CallerRequest, terms: TermsOfService, run: () => Promise<T>): Promise<T | undefined> {
        const name = `${request.institution}/${request.pool}`;
        const inFlight = this.inFlightByPool.get(name) ?? 0;
        if (inFlight >= terms.maxInFlight) {
            this.journal.count("limited", 1, { pool: name });
            return undefined;
        }
        this.inFlightByPool.set(name, inFlight + 1);
        const startedMs = this.nowMs();
        const outcome = await run();
        this.journal.timing("request", this.nowMs() - startedMs, { pool: name });
        this.inFlightByPool.set(name, (this.inFlightByPool.get(name) ?? 1) - 1);
        return outcome;
    }

    private nowMs(): number {
        return this.clock.now().monoMs;
    }
}

type DeadlineTerm = "readDeadlineMs" | "orderDeadlineMs" | "bulkDeadlineMs" | "writeDeadlineMs";

function badRequest(message: string): BadRequest {
    return { outcome: "bad-request", message };
}

