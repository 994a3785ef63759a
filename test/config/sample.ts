/** A small configuration document for tests. */
import type { ConfigDocument } from "../../src/config/documentSchema.js";

/** Defaults, two institutions, and one exception that expires. */
export const sampleDocument: ConfigDocument = {
    defaults: {
        readTimeoutMs: 1_000, orderTimeoutMs: 1_200, bulkTimeoutMs: 4_000, writeTimeoutMs: 2_000,
        readTargetMs: 300, orderTargetMs: 400, bulkTargetMs: 1_200, writeTargetMs: 600,
        readPriority: 2, orderPriority: 1, bulkPriority: 3, writePriority: 2,
        maxAttempts: 2,
    },
    institutions: {
        hladvarmi: {
            pools: {
                batteries: { kind: "keyed", service: "leases", connections: 100, healthPath: "/health" },
                meters: { kind: "archive", service: "lists", connections: 100, healthPath: "/health" },
            },
        },
        malanad: { pools: { gazetteer: { kind: "export", service: "lists", connections: 120, healthPath: "/health" } } },
    },
    exceptions: [{
        institution: "hladvarmi", pool: "batteries", set: { readTimeoutMs: 700 }, reason: "the app gives up after 700 ms", author: "ops",
        until: "2030-01-01T00:00:00.000Z",
    }],
};
