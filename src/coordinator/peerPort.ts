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

/** Answer to a ping. */
export interface PingReply {
    run: RunId;
    offset: Offset;
    acting: ActingCell[];
    /** Runs that this host hears itself. */
    hears: RunId[];
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
}

/** What coordinators offer to one another and to the entry hosts. */
export interface CoordinatorApi {
    ping(params: Ping): PingReply;
    /** The folded state, if it is beyond an offset. */
    state(params: { above: Offset }): FoldedState | undefined;
    work(params: KeyedWork): Promise<CoordinatorAnswer>;
    handOver(params: HandOver): boolean;
}
