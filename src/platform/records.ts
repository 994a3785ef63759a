/** Records that the programs keep on the platform's log. */
import { z } from "zod";
import type { CellId, Offset, RecordId, RunId, TargetId } from "../model/ids.js";
import { maxCoordinatorsPerTerm } from "../model/ids.js";

const offset = z.number().int().min(0).transform((value) => value as Offset);
const recordId = z.string().min(1).max(64).transform((value) => value as RecordId);
const cellId = z.string().transform((value) => value as CellId);
const runId = z.string().transform((value) => value as RunId);
const targetId = z.string().transform((value) => value as TargetId);

const termSchema = z.object({
    kind: z.literal("term"),
    recordId,
    /** Offset of the term that this one replaces; 0 for the first. */
    basedOn: offset,
    cell: cellId,
    servers: z.array(targetId).min(1),
    /** Sets of servers of which each must accept the fences of this term by majority. */
    voterSets: z.array(z.array(targetId).min(1)).min(1),
    /** Length of a lease under this term, in milliseconds. */
    leaseMs: z.number().positive(),
    /** Longest lease that a coordinator of an earlier term may still rely on, in milliseconds. */
    waitMs: z.number().positive(),
    /** Coordinators in the order in which they may follow one another. */
    coordinators: z.array(runId).min(1).max(maxCoordinatorsPerTerm),
    reason: z.string(),
});

const configSchema = z.object({
    kind: z.literal("config"),
    recordId,
    /** Offset of the configuration that this one was based on; 0 for the first. */
    basedOn: offset,
    author: z.string().trim().min(1),
    reason: z.string().trim().min(1),
    publishedWallMs: z.number(),
    /** The whole document; checked against its schema when it is folded. */
    document: z.unknown(),
});

const snapshotSchema = z.object({
    kind: z.literal("snapshot"),
    recordId,
    snapshotId: z.string(),
    /** Every record up to and including this offset is contained. */
    upTo: offset,
    takenWallMs: z.number(),
    chunk: z.number().int().min(0),
    chunks: z.number().int().min(1),
    /** Part of the folded state as JSON text. */
    part: z.string(),
});

const noticeSchema = z.object({
    kind: z.literal("notice"),
    recordId,
    cell: cellId,
    text: z.string().max(1_000),
});

/** Any record of ours. */
export const recordSchema = z.discriminatedUnion("kind", [termSchema, configSchema, snapshotSchema, noticeSchema]);

export type TermRecord = z.infer<typeof termSchema>;
export type ConfigRecord = z.infer<typeof configSchema>;
export type SnapshotRecord = z.infer<typeof snapshotSchema>;
export type LogRecord = z.infer<typeof recordSchema>;

/** A record with its place on the log. The payload is not trusted until it passes the schema. */
export interface StoredRecord {
    offset: Offset;
    payload: unknown;
}
