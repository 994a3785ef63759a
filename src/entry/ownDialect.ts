/** The project's own interface for clients, as docs/INTERFACE.md describes it. */
import { v4 as newUuid } from "uuid";
import { ownPathPrefix } from "../config/compile.js";
import type { ClientDialect } from "./clientDialect.js";
import type { Key, RequestId } from "../model/names.js";
import { maxKey } from "../model/names.js";
import { hash } from "../model/rendezvous.js";
import type { RefusalReason } from "./clientCall.js";

/** Header names of the interface, in lower case. */
export const headerNames = {
    requestId: "hornbeam-request-id",
    budgetMs: "hornbeam-budget-ms",
    outcome: "hornbeam-outcome",
    retryAfterMs: "hornbeam-retry-after-ms",
} as const;

const wholeNumber = /^[0-9]{1,9}$/;
const keyPathPattern = /^\/v1\/[^/]+\/[^/]+\/keys\/([^/?]+)/;

/** Refusal reasons after which the request may have run. */
const mayHaveRunReasons: ReadonlySet<RefusalReason> = new Set(["timed-out", "lost"]);

/** Headers and paths of the project's own interface. */
export const ownDialect: ClientDialect = {
    unforwardedHeaders: new Set(Object.values(headerNames)),
    matches: (path) => path.startsWith(ownPathPrefix),
    termsOf: (path, headers) => {
        const budget = headers[headerNames.budgetMs];
        const key = keyPathPattern.exec(path)?.[1];
        return {
            requestId: (headers[headerNames.requestId] ?? newUuid()) as RequestId,
            budgetMs: typeof budget === "string" && wholeNumber.test(budget) ? Number(budget) : undefined,
            key: key === undefined ? undefined : keyOfName(key),
        };
    },
    headersOfRefusal: (requestId, { reason, retryAfterMs }) => [
        ...requestId === undefined ? [] : [headerNames.requestId, requestId],
        headerNames.outcome, mayHaveRunReasons.has(reason) ? "unknown" : "not-run",
        ...retryAfterMs === undefined ? [] : [
            headerNames.retryAfterMs, String(Math.ceil(retryAfterMs)),
            "Retry-After", String(Math.ceil(retryAfterMs / 1_000)),
        ],
    ],
    headersOfAnswer: (requestId) => [
        headerNames.outcome, "done",
        ...requestId === undefined ? [] : [headerNames.requestId, requestId],
    ],
};

/**
 * Converts the name of a key to the numeric key that targets own.
 * @param name the name as it appears in the path
 */
export function keyOfName(name: string): Key {
    return hash(name) % (maxKey + 1) as Key;
}
