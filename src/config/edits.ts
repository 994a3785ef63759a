/** Changes of a document that operators make by a command instead of a file. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import { shardOf } from "../model/keyHash.js";
import type { ConfigDocument } from "./document.js";
import { findPool } from "./document.js";

/** Who changes something, and why. */
export interface ChangeNote {
    author: string;
    reason: string;
}

/**
 * Marks a target as one that should have no work, or takes the mark away.
 * @param document the document in force
 * @param target id of the target
 * @param drain whether it should be without work
 * @returns the changed document
 */
export function withDrain(document: ConfigDocument, target: string, drain: boolean): Result<ConfigDocument, Failure> {
    const changed = structuredClone(document);
    const pools = Object.values(changed.institutions).flatMap((institution) => Object.values(institution.pools));
    const found = pools.flatMap((pool) => pool.targets).find((one) => one.id === target);
    if (found === undefined) {
        return err(failure("invalid", "publish", target, "the configuration names no such target"));
    }
    found.drain = drain ? true : undefined;
    return ok(changed);
}

/** Names a key within a pool, as operators write it: `institution/pool/key`. */
export interface KeyName {
    institution: string;
    pool: string;
    key: string;
}

/**
 * Splits `institution/pool/key`.
 * @param text what the operator wrote
 * @returns its parts
 */
export function parseKeyName(text: string): Result<KeyName, Failure> {
    const [institution = "", pool = "", ...rest] = text.split("/");
    const key = rest.join("/");
    return key === "" ? err(failure("invalid", "parse", text, "a key is written INSTITUTION/POOL/KEY")) : ok({ institution, pool, key });
}

/**
 * Finds the shard of a key.
 * @param document the document in force
 * @param name the key
 * @returns the shard's number
 */
export function shardOfKey(document: ConfigDocument, name: KeyName): Result<number, Failure> {
    const pool = findPool(document, name.institution, name.pool);
    return pool?.shards === undefined
        ? err(failure("invalid", "parse", `${name.institution}/${name.pool}`, "the configuration names no such keyed pool"))
        : ok(shardOf(name.key, pool.shards));
}

/**
 * Pins the shard of a key to a target; an earlier pin of the same shard ends.
 * @param document the document in force
 * @param name a key of the shard
 * @param target where the shard should be
 * @param note who and why
 * @returns the changed document
 */
export function withMove(document: ConfigDocument, name: KeyName, target: string, note: ChangeNote): Result<ConfigDocument, Failure> {
    return shardOfKey(document, name).map((shard) => {
        const changed = structuredClone(document);
        const { institution, pool } = name;
        const others = changed.moves.filter((move) => move.institution !== institution || move.pool !== pool || move.shard !== shard);
        changed.moves = [...others, { institution, pool, shard, target, ...note }];
        return changed;
    });
}
