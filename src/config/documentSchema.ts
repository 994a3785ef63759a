/**
 * Schema of the project's own configuration document: defaults for all requests, institutions with their pools, and exceptions to
 * the defaults, each with a reason.
 */
import * as z from "zod/mini";
import "../model/zodLocale.js";

const name = z.string().check(z.regex(/^[a-z][a-z0-9-]{0,39}$/, "must be lower-case letters, digits and hyphens, at most 40"));
const durationMs = z.int().check(z.positive(), z.lte(3_600_000));
const priority = z.int().check(z.gte(0), z.lte(9));

const maxServiceChars = 128;
const maxPathChars = 4_096;

const requestPolicyFields = {
    /** Longest time that a request may take, by kind of request. */
    readTimeoutMs: durationMs,
    orderTimeoutMs: durationMs,
    bulkTimeoutMs: durationMs,
    writeTimeoutMs: durationMs,
    /** Target latency, by kind of request; an answer within this time has its full value. */
    readTargetMs: durationMs,
    orderTargetMs: durationMs,
    bulkTargetMs: durationMs,
    writeTargetMs: durationMs,
    /** Priority, by kind of request; 0 is the most urgent. */
    readPriority: priority,
    orderPriority: priority,
    bulkPriority: priority,
    writePriority: priority,
    /** Maximum number of targets that one request may be sent to. */
    maxAttempts: z.int().check(z.gte(1), z.lte(5)),
};

const poolFields = {
    /** `keyed`: each key is owned by one target, requests are reads and orders; `archive`: accepts writes; `export`: returns lists. */
    kind: z.enum(["keyed", "archive", "export"]),
    /** Service name of the pool's targets in the service directory. */
    service: z.string().check(z.minLength(1), z.maxLength(maxServiceChars)),
    /** Maximum number of connections that one target accepts from all hosts together. */
    connections: z.int().check(z.positive(), z.lte(100_000)),
    healthPath: z._default(z.string().check(z.startsWith("/"), z.maxLength(maxPathChars)), "/health"),
};

/** Creates the schema; `object` decides what becomes of fields that it does not know. */
function createDocumentSchema(object: typeof z.strictObject) {
    const requestPolicy = object(requestPolicyFields);
    const exception = object({
        institution: name,
        pool: z.optional(name),
        set: z.partial(requestPolicy),
        reason: z.string().check(z.trim(), z.minLength(8, "must state the reason in at least 8 characters")),
        author: z.string().check(z.trim(), z.minLength(1)),
        /** Time at which the exception expires, in ISO 8601 format and UTC; without it the exception does not expire. */
        until: z.optional(z.iso.datetime()),
    });
    const document = object({
        defaults: requestPolicy,
        institutions: z.record(name, object({ pools: z.record(name, object(poolFields)) })),
        exceptions: z._default(z.array(exception), []),
    });
    return document.check(z.check<z.infer<typeof document>>(({ value, issues }) => {
        value.exceptions.forEach(({ institution, pool }, index) => {
            const named = value.institutions[institution];
            if (named === undefined || (pool !== undefined && named.pools[pool] === undefined)) {
                issues.push({
                    code: "custom", input: value, path: ["exceptions", index], message: "names an institution or pool that does not exist",
                });
            }
        });
    }));
}

/** Schema of a document that is to be published; it has no unknown fields. */
export const documentSchema = createDocumentSchema(z.strictObject);

/** Schema of a document that was published; unknown fields, which a later version of the router may know, are left out. */
export const publishedDocumentSchema = createDocumentSchema(z.object as unknown as typeof z.strictObject);

export type ConfigDocument = z.infer<typeof documentSchema>;
export type RequestPolicy = ConfigDocument["defaults"];
export type PoolConfig = ConfigDocument["institutions"][string]["pools"][string];
