/** Ports for the HTTP headers in which clients, targets and this host exchange information about a request. */
import type { Refusal } from "../entry/clientCall.js";
import type { Key, RequestId, TargetId } from "../model/names.js";
import type { RateLimitNotice } from "../model/rateLimit.js";
import type { ResponseHead } from "./responseParser.js";

/** Headers of a request by lower-case name. */
export type RequestHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Terms of a request as stated by the client. */
export interface RequestTerms {
    /** Undefined if the client sent none. */
    requestId: RequestId | undefined;
    /** Time for which the client waits, or undefined if it states none. */
    budgetMs: number | undefined;
    /** Key of the request, or undefined if it has none. */
    key: Key | undefined;
}

/** Headers exchanged with clients. */
export interface ClientDialect {
    /** Lower-case names of client headers that are not forwarded to targets. */
    readonly unforwardedHeaders: ReadonlySet<string>;
    /** Returns whether a request uses this dialect. */
    matches(path: string, headers: RequestHeaders): boolean;
    /** Reads the terms of a request. */
    termsOf(path: string, headers: RequestHeaders): RequestTerms;
    /** Returns the key as the client stated it, readable or not, for log lines; undefined if it stated none. */
    statedKeyOf?(path: string, headers: RequestHeaders): string | undefined;
    /** Headers of a refusal by this host: alternating names and values. */
    headersOfRefusal(requestId: RequestId | undefined, refusal: Refusal): readonly string[];
    /** Headers that this host adds to a target's response: alternating names and values. */
    headersOfAnswer(requestId: RequestId | undefined): readonly string[];
}

/** What the head of a response proves about the execution of the request. */
export type ResponseClass =
    /** The target ran the request; this is its response. */
    | "answer"
    /** The target did not run the request and will not run it. */
    | "not-run"
    /** Neither is proven; the request may have run. */
    | "unproven";

/** What a target states about itself in the head of a response. */
export interface TargetNotice {
    /** True if it is shutting down. */
    isLeaving: boolean;
    /** Time for which this host is to back off; undefined if the target does not ask for it. */
    pauseMs: number | undefined;
    rateLimit: RateLimitNotice;
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
    /** Returns whether a response belongs to a request. */
    isAnswerTo(head: ResponseHead, requestId: RequestId | undefined): boolean;
    /** Returns whether a response states the id of its request. */
    namesRequest(head: ResponseHead): boolean;
    /** Determines what a response proves about the execution of its request. */
    classify(head: ResponseHead): ResponseClass;
    /** Reads what a response states about its target. */
    noticeOf(head: ResponseHead): TargetNotice;
}
