/** Messages of keyed work: from an entry host to a coordinator, and from a coordinator to a server. */
import type { CellId, Fence, InstitutionId, OrderId, PoolId, RunId, Shard, TargetId } from "./ids.js";

/** What a request does; orders run at most once, reads may run again. */
export type WorkKind = "read" | "order";

/** One keyed request on its way to the owner of the key. */
export interface KeyedWork {
    /** Unique for each request, echoed by the server so that answers cannot be crossed. */
    requestId: string;
    kind: WorkKind;
    institution: InstitutionId;
    pool: PoolId;
    key: string;
    shard: Shard;
    /** Present for orders only. */
    orderId?: OrderId;
    /** Time left for the caller, in milliseconds at the moment of sending. */
    budgetMs: number;
    /** Smaller is more urgent. */
    priority: number;
    /** Asks a host that does not coordinate the cell to pass the request on, since the sender cannot reach who does. */
    relay?: boolean;
    body: string;
}

/** Why a request was not served. */
export type RefusalReason =
    | "bad-request" | "unknown-pool" | "not-ready" | "not-coordinator" | "no-authority" | "no-owner" | "moving"
    | "queue-full" | "too-late" | "deadline" | "shedding" | "draining" | "not-owner" | "fence" | "id-ahead" | "id-too-old"
    | "window-full" | "unreachable" | "lost" | "cancelled" | "shutdown" | "bad-answer" | "limit";

/** A whole answer from the server. */
export interface DoneOutcome {
    outcome: "done";
    /** Status code of the server's own answer. */
    status: number;
    body: string;
    server: TargetId;
}

/** Proof that the request did not run. */
export interface NotRunOutcome {
    outcome: "not-run";
    reason: RefusalReason;
    /** When another try, under a new order id, may help; absent when none will. */
    retryAfterMs?: number;
}

/** The request may or may not have run. */
export interface UnknownOutcome {
    outcome: "unknown";
    reason: RefusalReason;
    retryAfterMs?: number;
}

export type Outcome = DoneOutcome | NotRunOutcome | UnknownOutcome;

/** This coordinator cannot tell; the entry host should ask another one. It proves nothing about an order. */
export interface Redirect {
    outcome: "redirect";
    reason: RefusalReason;
    /** Coordinator to ask, where one is known. */
    coordinator?: RunId;
    retryAfterMs: number;
}

/** What a coordinator answers to an entry host. */
export type CoordinatorAnswer = Outcome | Redirect;

/** A request as the server receives it, bound to the grant under which it is sent. */
export interface ServerWork {
    requestId: string;
    kind: WorkKind;
    cell: CellId;
    key: string;
    shard: Shard;
    fence: Fence;
    orderId?: OrderId;
    /** Last reading of the server's own clock at which the work may begin, in milliseconds. */
    notAfterServerMs: number;
    body: string;
}

/**
 * Builds the outcome of a request that provably did not run.
 * @param reason why
 * @param retryAfterMs when another try may help
 * @returns the outcome
 */
export function notRun(reason: RefusalReason, retryAfterMs?: number): NotRunOutcome {
    return { outcome: "not-run", reason, retryAfterMs };
}

/**
 * Builds the outcome of a request that may have run.
 * @param reason why there is no proof
 * @param retryAfterMs when another try may help
 * @returns the outcome
 */
export function unknownOutcome(reason: RefusalReason, retryAfterMs?: number): UnknownOutcome {
    return { outcome: "unknown", reason, retryAfterMs };
}

/**
 * Builds the answer of a coordinator that cannot tell.
 * @param reason why
 * @param retryAfterMs how long the entry host should wait before it asks again
 * @param coordinator where to ask
 * @returns the answer
 */
export function redirect(reason: RefusalReason, retryAfterMs: number, coordinator?: RunId): Redirect {
    return { outcome: "redirect", reason, retryAfterMs, coordinator };
}
