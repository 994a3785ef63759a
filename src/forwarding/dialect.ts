/** Ports to the headers by which clients, targets and this host tell each other about a request. */
import type { Refusal } from "../entry/clientCall.js";
import type { Key, RequestId, TargetId } from "../model/names.js";
import type { ResponseHead } from "./responseParser.js";

/** Headers of a request, by name in lower case. */
export type RequestHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What a client says about its request. */
export interface RequestTerms {
    /** Undefined when the client gave none. */
    requestId: RequestId | undefined;
    /** How long the client waits, or undefined when it does not say. */
    budgetMs: number | undefined;
    /** Key of the request, or undefined when it has none. */
    key: Key | undefined;
}

/** How clients and this host talk. */
export interface ClientDialect {
    /** Headers of a client, in lower case, that are not forwarded as they are. */
    readonly ownHeaders: ReadonlySet<string>;
    /** Tells whether a request speaks this dialect. */
    claims(path: string, headers: RequestHeaders): boolean;
    termsOf(path: string, headers: RequestHeaders): RequestTerms;
    /** Headers of an answer that this host gives itself: names and values by turns. */
    headersOfRefusal(requestId: RequestId | undefined, refusal: Refusal): readonly string[];
    /** Headers that this host adds to a target's answer. */
    headersOfAnswer(requestId: RequestId | undefined): readonly string[];
}

/** What a response's head proves. */
export type ResponseClass =
    /** The target's own answer. */
    | "answer"
    /** The target did not run the request, and will not. */
    | "not-run"
    /** Neither; the request may have run. */
    | "unproven";

/** What a target says about itself in a response. */
export interface TargetNotice {
    /** It is going to stop. */
    isLeaving: boolean;
    /** It has this host back off for so long; undefined when it does not say so. */
    pauseMs: number | undefined;
}

/** A request as a target is told of it. */
export interface TargetTerms {
    requestId: RequestId | undefined;
    key: Key | undefined;
    /** The only target that may run it. */
    targetId: TargetId;
    /** Time left for it. */
    budgetMs: number;
}

/** How targets and this host talk. */
export interface TargetDialect {
    /** Headers, in lower case, that this host sets itself; a client's are not forwarded. */
    readonly ownHeaders: ReadonlySet<string>;
    /** Headers that this host sets on a request. */
    headersFor(terms: TargetTerms): readonly string[];
    /** Tells whether a response belongs to a request. */
    isAnswerTo(head: ResponseHead, requestId: RequestId | undefined): boolean;
    classify(head: ResponseHead): ResponseClass;
    /** Reads what a response says about its target. */
    noticeOf(head: ResponseHead): TargetNotice;
}
