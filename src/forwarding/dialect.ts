/** Port for the HTTP headers in which targets and this host exchange information about a request. */
import type { Key, RequestId, TargetId } from "../model/names.js";
import type { RateLimitNotice } from "../model/rateLimit.js";
import type { LoadNotice } from "../model/targetLoad.js";
import type { ResponseHead, StatedHead } from "./responseHead.js";

/** What the head of a response proves about the execution of the request. */
export type ResponseClass =
    /** The target ran the request; this is its response. */
    | "answer"
    /** The target did not run the request and will not run it. */
    | "not-run"
    /** Neither is proven; the request may have run. */
    | "unproven";

/** How a response relates to the request that was sent last. */
export type ResponseMatch =
    /** It states the id of the request. */
    | "named"
    /** It is a rejection that states no id. */
    | "unnamed-rejection"
    /** It belongs to another request, or to none. */
    | "other";

/** What a target states about itself in the head of a response. */
export interface TargetNotice {
    /** True if it is shutting down. */
    isLeaving: boolean;
    /** Time for which this host is to back off; undefined if the target does not ask for it. */
    pauseMs: number | undefined;
    rateLimit: RateLimitNotice;
    /** Load of the target; absent if the response states none. */
    load?: LoadNotice;
}

/** Terms of a request as stated to the target. */
export interface TargetTerms {
    requestId: RequestId | undefined;
    key: Key | undefined;
    /** The only target that may run the request. */
    targetId: TargetId;
    /** Time left for the request. */
    budgetMs: number;
}

/** Headers exchanged with targets. */
export interface TargetDialect {
    /** Lower-case names of the headers that this host sets itself; a client's headers of these names are not forwarded. */
    readonly reservedHeaders: ReadonlySet<string>;
    /** Headers that this host sets on a request: alternating names and values. */
    headersFor(terms: TargetTerms): readonly string[];
    /** Returns how a response relates to a request. */
    matchOf(head: StatedHead, requestId: RequestId | undefined): ResponseMatch;
    /** Determines what a response proves about the execution of its request. */
    classify(head: ResponseHead): ResponseClass;
    /** Reads what a response states about its target. */
    noticeOf(head: ResponseHead): TargetNotice;
}
