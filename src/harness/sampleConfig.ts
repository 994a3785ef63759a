/** Configuration like that of the first two users, at any number of targets. */
import type { ConfigDocument, PoolConfig, TermsOfService } from "../config/document.js";

const dataCentres = ["dc-a", "dc-b", "dc-c", "dc-d"];
const serversPerCell = 5;

/** Defaults that the demo, the tests and the benchmarks start from. */
export const sampleDefaults: TermsOfService = {
    readDeadlineMs: 3_000,
    orderDeadlineMs: 3_000,
    bulkDeadlineMs: 10_000,
    writeDeadlineMs: 10_000,
    readPriority: 2,
    orderPriority: 1,
    bulkPriority: 5,
    writePriority: 6,
    maxBodyBytes: 65_536,
    maxAnswerBytes: 8_388_608,
    maxInFlight: 500,
    maxWaiting: 200,
    maxHeld: 1_000,
    orderWindowMs: 120_000,
    maxOrders: 100_000,
    leaseMs: 600,
    heartbeatMs: 75,
    heartbeatTimeoutMs: 150,
    warmUpMs: 0,
    lookahead: 2,
    policy: "queue",
    movesPerHour: 60,
    moveAboveRatio: 1.3,
};

/** Addresses of the targets of the sample pools. */
export interface SampleTargets {
    status: string[];
    archive: string[];
    numbering: string[];
    gazetteer: string[];
}

/**
 * Names the data centre of the n-th host or target.
 * @param index its number, from 0
 * @returns one of four data centres
 */
export function dataCentreOf(index: number): string {
    return dataCentres[index % dataCentres.length] as string;
}

/**
 * Builds the sample configuration.
 * @param targets addresses of the targets
 * @param shards shards of each keyed pool
 * @returns the document
 */
export function sampleConfig(targets: SampleTargets, shards = 60): ConfigDocument {
    return {
        defaults: sampleDefaults,
        institutions: {
            hladvarmi: {
                pools: {
                    status: keyedPool("status", targets.status, { shards, slots: 3, connections: 100, keyPattern: "battery-[0-9]{1,10}" }),
                    archive: unkeyedPool("archive", "archive", targets.archive, { slots: 3, connections: 100 }),
                },
            },
            malanad: {
                pools: {
                    numbering: keyedPool("numbering", targets.numbering, { shards, slots: 2, connections: 120, keyPattern: "street-[0-9]{1,10}" }),
                    gazetteer: unkeyedPool("gazetteer", "export", targets.gazetteer, { slots: 2, connections: 120 }),
                },
            },
        },
        exceptions: [{
            institution: "malanad",
            pool: "numbering",
            set: { movesPerHour: 2, moveAboveRatio: 1.6 },
            reason: "Every move risks a clerk's counter stalling, and nobody is awake at night.",
            author: "operators",
        }],
        moves: [],
    };
}

function keyedPool(
    name: string,
    addresses: string[],
    of: { shards: number; slots: number; connections: number; keyPattern: string },
): PoolConfig {
    const cells = Math.max(1, Math.round(addresses.length / serversPerCell));
    return {
        ...of,
        kind: "keyed",
        fenceChecked: true,
        targets: addresses.map((address, index) => ({
            address,
            id: `${name}-${String(index + 1)}`,
            dataCentre: dataCentreOf(index),
            cell: `cell-${String(index % cells + 1)}`,
        })),
    };
}

function unkeyedPool(
    name: string,
    kind: "archive" | "export",
    addresses: string[],
    of: { slots: number; connections: number },
): PoolConfig {
    return {
        ...of,
        kind,
        fenceChecked: false,
        keyPattern: ".*",
        targets: addresses.map((address, index) => ({
            address, id: `${name}-${String(index + 1)}`, dataCentre: dataCentreOf(index),
        })),
    };
}
