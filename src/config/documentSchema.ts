/**
 * Schema of the project's own configuration document: defaults for all requests, institutions with their pools, and exceptions to
 * the defaults, each with a reason.
 */
import { z } from "zod";

const name = z.string().regex(/^[a-z][a-z0-9-]{0,39}$/, "must be lower-case letters, digits and hyphens, at most 40");
const durationMs = z.number().int().positive().max(3_600_000);
const priority = z.number().int().min(0).max(9);

const requestPolicySchema = z.strictObject({
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
    maxAttempts: z.number().int().min(1).max(5),
});

const poolSchema = z.strictObject({
    /** `keyed`: each key is owned by one target, requests are reads and orders; `archive`: accepts writes; `export`: returns lists. */
    kind: z.enum(["keyed", "archive", "export"]),
    /** Service name of the pool's targets in the service directory. */
    service: z.string().min(1),
    /** Maximum number of connections that one target accepts from all hosts together. */
    connections: z.number().int().positive().max(100_000),
    healthPath: z.string().startsWith("/").default("/health"),
});

const exceptionSchema = z.strictObject({
    institution: name,
    pool: name.optional(),
    set: requestPolicySchema.partial(),
    reason: z.string().trim().min(8, "must state the reason in at least 8 characters"),
    author: z.string().trim().min(1),
    /** Time at which the exception expires, in ISO 8601 format and UTC; without it the exception does not expire. */
    until: z.iso.datetime().optional(),
});

/** Schema of the whole document. */
export const documentSchema = z.strictObject({
    defaults: requestPolicySchema,
    institutions: z.record(name, z.strictObject({ pools: z.record(name, poolSchema) })),
    exceptions: z.array(exceptionSchema).default([]),
}).superRefine((document, context) => {
    document.exceptions.forEach(({ institution, pool }, index) => {
        const named = document.institutions[institution];
        if (named === undefined || (pool !== undefined && named.pools[pool] === undefined)) {
            context.addIssue({ code: "custom", path: ["exceptions", index], message: "names an institution or pool that does not exist" });
        }
    });
});

export type ConfigDocument = z.infer<typeof documentSchema>;
export type RequestPolicy = z.infer<typeof requestPolicySchema>;
export type PoolConfig = z.infer<typeof poolSchema>;
