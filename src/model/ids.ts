/** Branded identifiers shared by every program, and the functions that create them from checked text. */
import { parse as parseUuid, validate as isUuid, version as uuidVersion } from "uuid";

declare const brand: unique symbol;

/** A value of type `T` that cannot be mixed up with another identifier of the same shape. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

export type HostId = Branded<string, "HostId">;
/** One run of a host's coordinator. A restarted one has forgotten what it sent, so it never reuses a fence. */
export type RunId = Branded<string, "RunId">;
export type TargetId = Branded<string, "TargetId">;
export type InstitutionId = Branded<string, "InstitutionId">;
export type PoolId = Branded<string, "PoolId">;
export type CellId = Branded<string, "CellId">;
export type OrderId = Branded<string, "OrderId">;
export type RecordId = Branded<string, "RecordId">;

/** Position of a record in the platform's log; the first record has offset 1, and 0 stands for "nothing read". */
export type Offset = Branded<number, "Offset">;

/** Number of a shard within its pool. */
export type Shard = Branded<number, "Shard">;

/** Order of precedence between coordinators of one cell; the higher fence wins. */
export type Fence = Branded<number, "Fence">;

/** Names one run of a target's process; a restarted target has another one. */
export type Incarnation = Branded<string, "Incarnation">;

export const noOffset = 0 as Offset;
export const noFence = 0 as Fence;

/** Upper bound on the coordinators that one term may rank. */
export const maxCoordinatorsPerTerm = 64;

/**
 * Derives the fence of one ranked coordinator of a term.
 * @param termOffset offset of the term's record on the log
 * @param rank position of the coordinator in the term, 0 first
 * @returns a fence above those of every earlier term and every lower rank
 */
export function fenceOf(termOffset: Offset, rank: number): Fence {
    return (termOffset * maxCoordinatorsPerTerm + rank) as Fence;
}

/**
 * Splits a fence back into the rank it was derived from.
 * @param fence a fence made by `fenceOf`
 * @returns the rank within the term
 */
export function rankOf(fence: Fence): number {
    return fence % maxCoordinatorsPerTerm;
}

/**
 * Checks that a text is an order id: a UUID of version 7.
 * @param text what the caller sent
 * @returns the id in lower case, or undefined when it is not one
 */
export function parseOrderId(text: string): OrderId | undefined {
    if (!isUuid(text) || uuidVersion(text) !== 7) {
        return undefined;
    }
    return text.toLowerCase() as OrderId;
}

/**
 * Reads the creation time that a UUIDv7 carries in its first 48 bits (RFC 9562, section 5.7).
 * @param id a checked order id
 * @returns milliseconds since the Unix epoch
 */
export function orderCreatedWallMs(id: OrderId): number {
    const bytes = parseUuid(id);
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).readUIntBE(0, 6);
}

/**
 * Names one run of a host's coordinator.
 * @param host the host
 * @param run unique text for this run of the process
 * @returns the run's id
 */
export function runIdOf(host: HostId, run: string): RunId {
    return `${host}@${run}` as RunId;
}

/**
 * Finds the host of a run.
 * @param run id made by `runIdOf`
 * @returns the host
 */
export function hostOfRun(run: RunId): HostId {
    return run.slice(0, run.lastIndexOf("@")) as HostId;
}
