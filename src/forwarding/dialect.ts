/** Port to the headers by which clients, targets and this host tell each other about a request. */
import type { Key, RequestId, TargetId } from "../model/names.js";
import type { ResponseHead } from "./responseParser.js";

/** What a client says about its request in headers. */
export interface RequestTerms {
    /** Undefined when the client gave none. */
    requestId: RequestId | undefined;
    /** How long the client waits, or undefined when it does not say. */
    budgetMs: number | undefined;
    /** Key of the request, or undefined when it has none. */
    key: Key | undefined;
}

/** What the head of a response proves. */
export type ResponseClass =
    /** The target's own answer. */
    | "answer"
    /** The target did not run the request, and will not. */
    | "not-run"
    /** Neither; the request may have run. */
    | "unproven";

/** The headers in use. */
export interface HttpDialect {
    /** Headers of a client, in lower case, that are not forwarded as they are. */
    readonly ownHeaders: ReadonlySet<string>;
    termsOf(headers: Readonly<Record<string, string | string[] | undefined>>): RequestTerms;
    /**
     * Headers that this host adds to a request for a target.
     * @param targetId the only target that may run the request
     * @param budgetMs time left for it
     */
    headersFor(targetId: TargetId, budgetMs: number): readonly string[];
    /** Tells whether a response belongs to a request. */
    isAnswerTo(head: ResponseHead, requestId: RequestId | undefined): boolean;
    classify(head: ResponseHead): ResponseClass;
    /** Headers of an answer that this host gives itself. */
    headersOfRefusal(requestId: RequestId | undefined, retryAfterMs: number | undefined): readonly string[];
}
