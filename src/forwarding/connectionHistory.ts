/**
 * What has passed on a connection to a target. It decides whose answer a response is, and which request the connection may carry next.
 *
 * A target answers the requests on a connection in order, but a faulty one may write a response that it has sent there once more, late. A
 * copy that is taken for an answer leaves the connection one answer behind: the answer still due is then taken for that of the next
 * request, which is reported as not run, or runs a second time elsewhere. So no copy may look like an answer that is due:
 *
 * - A response that names its request is the answer if the request is sent once only on the connection. No id is sent there twice.
 * - A rejection without an id may be for any request. The first one on a connection is no copy; a later one may be, and proves
 *   nothing. From the first one on, a request that must not run twice isn't sent there.
 * - The answer to a HEAD request has no body, whatever its head says. So a copy can be skipped, and a rejection without an id be read to
 *   its end, only if it is known which of the two it is.
 */
import type { RequestId } from "../model/names.js";
import { hash } from "../model/rendezvous.js";
import type { ResponseMatch } from "./dialect.js";

/** Longest idle time of a connection that may carry a request that must not run twice; a target may just be closing an older one. */
const maxIdleNonIdempotentMs = 1_000;

/** Most requests on a connection, so that the ids of all of them can be remembered. */
const maxRequests = 1_000;

/** The method whose answers have no body. */
const headMethod = "HEAD";

/** What decides which connection may carry a request. */
export interface RequestTraits {
    method: string;
    /** Undefined if the client gave none; the target then rejects the request. */
    requestId: RequestId | undefined;
    /** True if the request may run more than once. */
    idempotent: boolean;
}

/** What becomes of a response that has arrived while a request waits for one. */
export type ResponseUse =
    /** It is the answer, and its body is framed as its head says. */
    | "answer"
    /** It is the answer, and has no body. */
    | "answer-without-body"
    /** It belongs to an earlier request, and its body is framed as its head says. */
    | "skip"
    /** It belongs to an earlier request, and where it ends can't be known. */
    | "close";

/** The history of one connection. */
export class ConnectionHistory {
    /** Hashes of the ids; two ids with the same hash are never on the same connection, which costs another one at most. */
    private readonly idHashes = new Set<number>();
    private hasUnnamedRejection = false;
    /** True if a HEAD request was sent before the last request. */
    private hasEarlierHead = false;
    /** True if the last request is a HEAD request. */
    private isCurrentHead = false;
    private count = 0;

    /** Number of requests sent so far. */
    get requestCount(): number {
        return this.count;
    }

    /** True once the connection may not carry any further request. */
    get isSpent(): boolean {
        return this.count >= maxRequests || (this.hasUnnamedRejection && (this.hasEarlierHead || this.isCurrentHead));
    }

    /** True if the connection may carry only requests that may run more than once. */
    get isForIdempotentOnly(): boolean {
        return this.hasUnnamedRejection;
    }

    /**
     * Decides whether the connection, on which every request has had an answer, may carry a request.
     * @param idleMs time for which the connection has been idle
     */
    mayCarry({ method, requestId, idempotent }: RequestTraits, idleMs: number): boolean {
        if (this.isSpent || (requestId !== undefined && this.idHashes.has(hashOf(requestId)))) {
            return false;
        }
        if (this.hasUnnamedRejection) {
            return idempotent && method !== headMethod;
        }
        return idempotent || idleMs < maxIdleNonIdempotentMs;
    }

    /** Records that a request is sent. */
    recordSent({ method, requestId }: RequestTraits): void {
        this.count += 1;
        this.hasEarlierHead ||= this.isCurrentHead;
        this.isCurrentHead = method === headMethod;
        if (requestId !== undefined) {
            this.idHashes.add(hashOf(requestId));
        }
    }

    /**
     * Records that the head of a response has arrived while a request waits for its answer, and decides what becomes of the response.
     * @param match how it relates to that request
     */
    recordResponse(match: ResponseMatch): ResponseUse {
        if (match === "other") {
            return this.hasEarlierHead ? "close" : "skip";
        }
        this.hasUnnamedRejection ||= match === "unnamed-rejection";
        return this.isCurrentHead ? "answer-without-body" : "answer";
    }
}

/** Returns a hash as a small integer, which takes no memory besides its place in a set. */
function hashOf(requestId: RequestId): number {
    return hash(requestId) | 0;
}
