/** Port for the HTTP headers in which clients and this host exchange information about a request. */
import type { Key, RequestId } from "../model/names.js";
import type { Refusal } from "./clientCall.js";

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
