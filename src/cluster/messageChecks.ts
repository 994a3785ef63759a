/**
 * Checks messages of other hosts, which may run another version of the router. What can't be meant is left out with a log line: a single
 * value that is no number would otherwise stay in the state that is computed from it.
 */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import * as z from "zod/mini";
import type { TrialParams, TrialReturn } from "../crashes/trial.js";
import type { TargetPressure } from "../ownership/targetPressure.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import { validate } from "../model/schemaIssues.js";
import {
    addressSchema, countSchema, durationMsSchema, idSchema, isId, keySchema, nameSchema, offsetSchema, positiveCountSchema,
    positiveDurationMsSchema, rateSchema, sequenceSchema, slotsSchema, wallMsSchema, weightSchema,
} from "../model/valueSchemas.js";
import { maxEra } from "../model/storePosition.js";
import type { Log } from "../observe/log.js";
import type { LedgerChange, TermRecord } from "../ownership/ledgerRecords.js";
import { termKey } from "../ownership/ledgerRecords.js";
import { parseLedgerRecord } from "../ownership/ledgerDecoder.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { ConfigurationReply, FollowParams, News, Report } from "./messages.js";

/** Limits on lists in messages. */
const maxMembers = 100_000;
const maxRequestsPerCrash = 1_000;

const memberSchema = z.object({
    hostId: nameSchema, runId: nameSchema, peerAddress: addressSchema, dataCentreId: nameSchema, cpuShare: z.number().check(z.positive()),
    keepsDataCentreQueues: z.optional(z.literal(true)),
});

const membersSchema = z.object({
    since: z.optional(countSchema), came: z.array(memberSchema).check(z.maxLength(maxMembers)), went: z.array(nameSchema),
});

const processFields = { targetId: idSchema, bornWallMs: wallMsSchema };
const processesSchema = z.array(z.object(processFields));

/** Time left until a deadline; negative once it has passed. */
const leftMsSchema = z.number().check(z.gte(-1e9), z.lte(1e9));

/** Ages of crashes may be negative by what clocks of two hosts differ. */
const agoMsSchema = z.number().check(z.gte(-1e13), z.lte(1e13));

const evidenceSchema = z.object({
    crashes: z.array(z.object({
        ...processFields, serviceId: nameSchema, agoMs: agoMsSchema, others: z.object({ asked: countSchema, down: processesSchema }),
        requests: z.array(z.object({ content: idSchema, exact: idSchema, sentAgoMs: agoMsSchema })).check(z.maxLength(maxRequestsPerCrash)),
    })),
    completions: z.array(z.object({ fingerprint: idSchema, agoMs: agoMsSchema })),
});

const maxEvacuations = 1_000;

const evacuationsSchema = z.object({
    upTo: offsetSchema,
    inForce: z.array(z.object({ dataCentreId: nameSchema, offset: offsetSchema, isInForce: z.literal(true) }))
        .check(z.maxLength(maxEvacuations)),
});

const noticeSchema = z.object({
    moving: z.array(z.object({ serviceId: nameSchema, from: keySchema, to: keySchema, freeInMs: z.optional(durationMsSchema) })),
    silent: z.array(z.object({ targetId: idSchema, freeInMs: durationMsSchema })),
});

/** Reading of a host's monotonic clock. */
const monoMsSchema = z.number().check(z.gte(0), z.lte(Number.MAX_SAFE_INTEGER));

const configVersionSchema = z.int().check(z.gte(-1));

const newsFields = z.object({
    term: z.int().check(z.gte(1)), storeAgeMs: durationMsSchema, configAgeMs: z.optional(durationMsSchema), configOffset: offsetSchema,
    sentAtMs: z.optional(monoMsSchema), configVersion: z.optional(configVersionSchema),
    targetsUpTo: offsetSchema, targetsDigest: z.int(),
    ledgerUpTo: offsetSchema, ledgerFrom: z.optional(offsetSchema), membersVersion: countSchema,
    targets: z.optional(z.array(z.unknown())), ledger: z.optional(z.array(z.unknown())), notice: z.optional(z.unknown()),
    leavingTargets: z.optional(z.unknown()), crashEvidence: z.optional(z.unknown()), members: z.optional(z.unknown()),
    evacuations: z.optional(z.unknown()),
});

const changeSchema = z.object({ offset: offsetSchema, targetId: z.string() });
const entrySchema = z.object({
    targetId: idSchema, serviceId: nameSchema, address: addressSchema, dataCentreId: nameSchema, slots: slotsSchema,
    state: z.enum(["ready", "draining", "gone"]), bornWallMs: wallMsSchema, sequence: sequenceSchema, warmingUp: z.boolean(),
});
const ledgerChangeSchema = z.object({ offset: offsetSchema, key: z.string(), record: z.optional(z.unknown()) });

const followSchema = z.object({
    member: memberSchema, ledgerUpTo: offsetSchema, targetsFrom: offsetSchema,
    members: z.optional(z.object({ term: z.int(), version: countSchema })),
});

const trialSchema = z.object({ content: idSchema, exact: idSchema, expectedMs: durationMsSchema, deadlineLeftMs: leftMsSchema });

const trialReturnSchema = z.object({ content: idSchema, exact: idSchema, grantedWallMs: wallMsSchema });

const maxSlowness = 1_000_000;
const maxRequestsPerSecond = 1_000_000_000;

const configurationSchema = z.object({
    offset: offsetSchema,
    config: z.object({
        version: z.int().check(z.gte(0)),
        routes: z.array(z.object({
            routeId: nameSchema, hostName: z.string(), method: z.optional(z.string()), pathPrefix: z.string(), idempotent: z.boolean(),
            timeoutMs: positiveDurationMsSchema, targetLatencyMs: positiveDurationMsSchema, priority: countSchema,
            maxAttempts: positiveCountSchema,
            backends: z.array(z.object({ serviceId: nameSchema, weight: weightSchema })),
        })),
        services: z.array(z.object({
            serviceId: nameSchema, healthPath: z.string(), maxConnections: positiveCountSchema, sharded: z.boolean(),
            warmUpRequestsPerSecond: z.optional(rateSchema), warmUpMs: durationMsSchema,
        })),
        limits: z.object({
            maxHeaderBytes: z.int().check(z.gte(1)), maxBodyBytes: z.int().check(z.gte(1)), headerTimeoutMs: positiveDurationMsSchema,
            idleTimeoutMs: positiveDurationMsSchema,
        }),
        loadManagement: z.optional(z.boolean()),
    }),
});

/** Checks messages of other hosts. */
export interface MessageChecks {
    /** Returns the news without what can't be meant; undefined if none of it can. A target's entry that can't be meant is a removal. */
    news(message: unknown, peer: string): News | undefined;
    /** Returns a report without what can't be meant; undefined if none of it can. */
    report(message: unknown, peer: string): Report | undefined;
    follow(message: unknown, peer: string): Result<FollowParams, Failure>;
    configuration(message: unknown, peer: string): Result<ConfigurationReply, Failure>;
    trial(message: unknown, peer: string): Result<TrialParams, Failure>;
    trialReturn(message: unknown, peer: string): Result<TrialReturn, Failure>;
    /** Returns an announced term. */
    term(message: unknown, peer: string): Result<TermRecord, Failure>;
}

/**
 * Creates the checks.
 * @param log gets a line for what is left out
 */
export function createMessageChecks(log: Log): MessageChecks {
    const warn = (part: string, peer: string, why: string) => {
        log.warn("message of another host cannot be meant", { peer, part, why });
    };

    /** Returns a part of a message; undefined if it is absent or can't be meant. */
    const checkPart = <T>(part: string, schema: z.ZodMiniType<T>, value: unknown, peer: string): T | undefined =>
        value === undefined ? undefined : validate(schema, value).match((checked) => checked, (why) => {
            warn(part, peer, why);
            return undefined;
        });

    const checkTarget = (value: unknown, peer: string): TargetChange[] => {
        const change = checkPart("target", changeSchema, value, peer);
        if (change === undefined || !isId(change.targetId)) {
            return [];
        }
        const entry = checkPart("target", entrySchema, (value as { entry?: unknown }).entry, peer);
        return [{ ...change, entry: entry?.targetId === change.targetId ? entry : undefined } as TargetChange];
    };

    const checkLedgerChange = (value: unknown, peer: string): LedgerChange[] => {
        const change = checkPart("ledger", ledgerChangeSchema, value, peer);
        if (change?.record === undefined) {
            return change === undefined ? [] : [{ ...change, record: undefined } as LedgerChange];
        }
        return parseLedgerRecord(change.key, change.record).match((record) => [{ ...change, record } as LedgerChange], (why) => {
            warn(`ledger ${change.key}`, peer, why);
            return [];
        });
    };

    const checkPressures = (pressures: readonly unknown[], peer: string): unknown[] => {
        const checked = pressures.filter(isPressure);
        if (checked.length < pressures.length) {
            warn("pressures", peer, `${String(pressures.length - checked.length)} of ${String(pressures.length)} are out of range`);
        }
        return checked;
    };

    return {
        news: (message, peer) => {
            const fields = checkPart("news", newsFields, message, peer);
            if (fields === undefined) {
                return undefined;
            }
            const { targets, ledger, notice, leavingTargets, evacuations, crashEvidence, members, ...scalars } = fields;
            return {
                ...scalars,
                targets: targets?.flatMap((change) => checkTarget(change, peer)),
                ledger: ledger?.flatMap((change) => checkLedgerChange(change, peer)),
                notice: checkPart("notice", noticeSchema, notice, peer),
                leavingTargets: checkPart("leaving targets", processesSchema, leavingTargets, peer),
                evacuations: checkPart("evacuations", evacuationsSchema, evacuations, peer),
                crashEvidence: checkPart("crash evidence", evidenceSchema, crashEvidence, peer),
                members: checkPart("members", membersSchema, members, peer),
            } as News;
        },
        report: (message, peer) => {
            const fields = checkPart("report", reportFields, message, peer);
            if (fields === undefined) {
                return undefined;
            }
            return {
                leaving: fields.leaving,
                sentAtMs: checkPart("time of sending", monoMsSchema, fields.sentAtMs, peer),
                configVersion: checkPart("version of the configuration", configVersionSchema, fields.configVersion, peer),
                loads: fields.loads.filter(isLoad),
                pressures: checkPressures(fields.pressures, peer),
                leavingTargets: checkPart("leaving targets", processesSchema, fields.leavingTargets, peer),
                crashEvidence: checkPart("crash evidence", evidenceSchema, fields.crashEvidence, peer),
                storeEra: checkPart("era of the store", eraSchema, fields.storeEra, peer),
            } as unknown as Report;
        },
        follow: (message, peer) => checkWhole(followSchema, message, peer).map((params) => params as unknown as FollowParams),
        configuration: (message, peer) =>
            checkWhole(configurationSchema, message, peer).map((reply) => reply as unknown as ConfigurationReply),
        trial: (message, peer) => checkWhole(trialSchema, message, peer).map((params) => params as unknown as TrialParams),
        trialReturn: (message, peer) => checkWhole(trialReturnSchema, message, peer).map((params) => params as unknown as TrialReturn),
        term: (message, peer) => parseLedgerRecord(termKey, message).mapErr((why) => failure("invalid", "peer-call", peer, why))
            .andThen((record) => record.kind === "term" ? ok(record) : err(failure("invalid", "peer-call", peer, "is no term"))),
    };
}

const reportFields = z.object({
    leaving: z.boolean(), loads: z.array(z.unknown()), pressures: z.array(z.unknown()),
    leavingTargets: z.optional(z.unknown()), crashEvidence: z.optional(z.unknown()), storeEra: z.optional(z.unknown()),
    sentAtMs: z.optional(z.unknown()), configVersion: z.optional(z.unknown()),
});

const eraSchema = z.int().check(z.gte(0), z.lte(maxEra));

/** Tells whether a value has the form of a report of loads by key; `KeyLoads.add` checks the numbers, of which there are many. */
function isLoad(value: unknown): boolean {
    const { serviceId, pairs } = (value ?? {}) as { serviceId?: unknown; pairs?: unknown };
    return typeof serviceId === "string" && Array.isArray(pairs);
}

/** Tells whether a value is the pressure of a target. Without a schema, since every host reports many of them each time. */
function isPressure(value: unknown): boolean {
    const { targetId, slowness, running, waiting, requestsPerSecond } = (value ?? {}) as Partial<Record<keyof TargetPressure, unknown>>;
    return typeof targetId === "string" && isBetween(slowness, Number.MIN_VALUE, maxSlowness)
        && isBetween(running, 0, Number.MAX_SAFE_INTEGER) && isBetween(waiting, 0, Number.MAX_SAFE_INTEGER)
        && (requestsPerSecond === undefined || isBetween(requestsPerSecond, 0, maxRequestsPerSecond));
}

function isBetween(value: unknown, min: number, max: number): boolean {
    return typeof value === "number" && value >= min && value <= max;
}

function checkWhole<T>(schema: z.ZodMiniType<T>, message: unknown, peer: string): Result<T, Failure> {
    return validate(schema, message).mapErr((why) => failure("invalid", "peer-call", peer, why));
}
