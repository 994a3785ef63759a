/** Calls between the system's processes. */
import type { Result } from "neverthrow";
import type { CellId, Fence, Offset, RunId } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import type { CoordinatorAnswer, KeyedWork } from "../model/work.js";
import type { OrderBookCopy } from "../orders/orderBook.js";
import type { LeaseLeft } from "../ownership/tenure.js";
import type { FoldedState } from "../platform/fold.js";

/** A connection to one peer, made on demand. */
export interface RpcLink {
    call<T>(method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>>;
    close(): void;
}

/** Functions that a listening process offers, by method name. */
export type RpcHandlers = Record<string, (params: never) => unknown>;

/** A cell that a coordinator acts for. */
export interface ActingCell {
    cell: CellId;
    fence: Fence;
}

/** A ping says who asks, and what configuration is in force there. */
export interface Ping {
    run: RunId;
    configOffset: Offset;
}

/** A run that a host watches, because it may have to follow it. */
export interface WatchedRun {
    run: RunId;
    heard: boolean;
}

/** What one coordinator knows of another, or of itself. */
export interface CoordinatorSight {
    run: RunId;
    acting: ActingCell[];
    live: boolean;
    leaving: boolean;
}

/** What one coordinator tells an entry host of all. */
export interface ViewReply {
    offset: Offset;
    coordinators: CoordinatorSight[];
}

/** Answer to a ping. */
export interface PingReply {
    run: RunId;
    offset: Offset;
    acting: ActingCell[];
    /** Runs that this host watches closely, and whether it hears them. */
    watched: WatchedRun[];
    leaving: boolean;
}

/** A planned hand-over of one cell to its successor. */
export interface HandOver {
    cell: CellId;
    /** Fence under which the predecessor acted. */
    fence: Fence;
    /** Predecessor's wall clock when it stopped acting. */
    stoppedWallMs: number;
    book: OrderBookCopy;
    leases: LeaseLeft[];
    /** How long ago the moves were that the budget has been spent on, in milliseconds. */
    moveAgesMs: number[];
}

/** What coordinators offer to one another and to the entry hosts. */
export interface CoordinatorApi {
    ping(params: Ping): PingReply;
    /** What this coordinator knows of all, for an entry host. */
    view(params: Ping): ViewReply;
    /** The folded state, if it is beyond an offset. */
    state(params: { above: Offset }): FoldedState | undefined;
    work(params: KeyedWork): Promise<CoordinatorAnswer>;
    handOver(params: HandOver): boolean;
}
