/** Checks and decodes records of the ledger, which other programs can write too. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import * as z from "zod/mini";
import { publishedDocumentSchema } from "../config/documentSchema.js";
import { completionKeyOf, crashKeyOf, quarantineReleaseKeyOf, trialKeyOf } from "../crashes/crashRecords.js";
import type { JsonLimits } from "../model/boundedJson.js";
import { describeJsonRejection, parseBoundedJson } from "../model/boundedJson.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import { validate } from "../model/schemaIssues.js";
import {
    addressSchema, countSchema, durationMsSchema, idSchema, keySchema, nameSchema, positiveCountSchema, wallMsSchema,
} from "../model/valueSchemas.js";
import type { StoreRecord } from "../store/storePort.js";
import type { LedgerChange, LedgerRecord } from "./ledgerRecords.js";
import { documentKeyOf, drainKey, ownershipKeyOf, termKey } from "./ledgerRecords.js";

/** What a decoded record changes. */
export type { LedgerChange } from "./ledgerRecords.js";

const recordLimits: JsonLimits = { maxBytes: 1_048_576, maxDepth: 16 };

/** Limits on lists in records, above what any host writes. */
const maxListedRequests = 1_000;
const maxListedFingerprints = 2 * maxListedRequests;
const maxListedTargets = 100_000;

/** The number of a later term could not be part of a fencing token, which has to be a safe integer. */
const maxTerm = 2 ** 25 - 1;
const maxVersion = 1_000_000_000;
const maxNoteChars = 10_000;

const noteSchema = z.string().check(z.maxLength(maxNoteChars));
const versionSchema = z.int().check(z.gte(0), z.lte(maxVersion));
const processFields = { targetId: idSchema, bornWallMs: wallMsSchema };

/** Empty if the target had left the directory before the keys were assigned to it. */
const ownerAddressSchema = z.union([z.literal(""), addressSchema]);

const rangesSchema = z.array(z.object({ from: keySchema, to: keySchema }))
    .check(z.refine(areDistinctRanges, "must be ranges that begin before they end, and do not overlap"));

/** Fields stand in the order in which hosts write them, since a record that was read is compared with one that was written. */
const recordSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("term"), term: z.int().check(z.gte(1), z.lte(maxTerm)), hostId: nameSchema, runId: nameSchema, peerAddress: addressSchema,
        unsettled: z.optional(z.literal(true)),
    }),
    z.object({
        kind: z.literal("document"), version: versionSchema, basedOn: versionSchema, document: publishedDocumentSchema, author: noteSchema,
        reason: noteSchema, publishedWallMs: wallMsSchema,
    }),
    z.object({ kind: z.literal("drain"), targetIds: z.array(idSchema).check(z.maxLength(maxListedTargets)) }),
    z.object({
        kind: z.literal("trial"), fingerprint: idSchema, number: positiveCountSchema, excessCount: countSchema,
        expectedMs: durationMsSchema, outcomeWithinMs: durationMsSchema, grantedWallMs: wallMsSchema,
        isReturned: z.optional(z.literal(true)),
    }),
    z.object({
        kind: z.literal("ownership"), targetId: idSchema, serviceId: nameSchema, address: ownerAddressSchema, ranges: rangesSchema,
    }),
    z.object({
        kind: z.literal("crash"), recordedBy: nameSchema, ...processFields, serviceId: nameSchema,
        others: z.object({ asked: countSchema, down: z.array(z.object(processFields)).check(z.maxLength(maxListedTargets)) }),
        atWallMs: wallMsSchema,
        requests: z.array(z.object({ content: idSchema, exact: idSchema, sentWallMs: wallMsSchema })).check(z.maxLength(maxListedRequests)),
        cleared: z.optional(z.array(idSchema).check(z.maxLength(maxListedFingerprints))),
    }),
    z.object({ kind: z.literal("completion"), fingerprint: idSchema, atWallMs: wallMsSchema }),
    z.object({
        kind: z.literal("quarantine-release"), fingerprint: idSchema, releasedWallMs: wallMsSchema, author: noteSchema, reason: noteSchema,
    }),
]);

function areDistinctRanges(ranges: readonly { from: number; to: number }[]): boolean {
    const sorted = [...ranges].sort((left, right) => left.from - right.from);
    return sorted.every(({ from, to }, index) => from <= to && from > (sorted[index - 1]?.to ?? -1));
}

/** Returns the key under which a record is kept; a record under another key was not written by a host. */
const keyByKind: { [Kind in LedgerRecord["kind"]]: (record: Extract<LedgerRecord, { kind: Kind }>) => string } = {
    "term": () => termKey,
    "document": ({ version }) => documentKeyOf(version),
    "drain": () => drainKey,
    "ownership": ({ targetId }) => ownershipKeyOf(targetId),
    "crash": (record) => crashKeyOf(record, record.recordedBy),
    "completion": ({ fingerprint }) => completionKeyOf(fingerprint),
    "trial": ({ fingerprint }) => trialKeyOf(fingerprint),
    "quarantine-release": ({ fingerprint }) => quarantineReleaseKeyOf(fingerprint),
};

/**
 * Decodes a record of the store.
 * @returns the change, or a failure of kind `invalid` when the value is not a record of a known kind
 */
export function decodeLedgerRecord(stored: StoreRecord): Result<LedgerChange, Failure> {
    if (stored.value === undefined) {
        return ok({ offset: stored.offset, key: stored.key, record: undefined });
    }
    const record = parseBoundedJson(stored.value, recordLimits).mapErr(describeJsonRejection)
        .andThen((json) => parseLedgerRecord(stored.key, json));
    return record.map((parsed) => ({ offset: stored.offset, key: stored.key, record: parsed }))
        .mapErr((message) => failure("invalid", "fold", stored.key, message));
}

/**
 * Checks a record that another program wrote.
 * @param key key under which it is kept
 * @param value the record
 * @returns the record, or what is wrong with it
 */
export function parseLedgerRecord(key: string, value: unknown): Result<LedgerRecord, string> {
    return validate(recordSchema, value).map((record) => record as LedgerRecord).andThen((record) => {
        const expectedKey = (keyByKind[record.kind] as (of: LedgerRecord) => string)(record);
        return key === expectedKey ? ok(record) : err(`is not kept under its key, which is ${expectedKey}`);
    });
}
