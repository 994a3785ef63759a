/** Settings of the daemons, from flags and environment variables, checked at the start. */
import yargs from "yargs";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { z } from "zod";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";

const environmentPrefix = "HORNBEAM";

const logLevels = ["trace", "debug", "info", "warn", "error", "fatal"] as const;

const address = text(/^[0-9.]+:[0-9]{1,5}$/, "an IP number and a port, such as 10.0.0.7:7100");
const url = text(/^http:\/\/[0-9.]+:[0-9]{1,5}$/, "an http address by IP number, such as http://10.0.0.7:7000");
const hostName = text(/^[a-z][a-z0-9-]{0,39}$/, "lower-case letters, digits and hyphens, at most 40");

const common = {
    host: hostName,
    dataCentre: hostName,
    logUrl: url,
    hostListUrl: url,
    adminAddress: address,
    sharedKey: text(/^.{16,}$/, "at least 16 characters"),
    knownAddresses: z.string().default("").transform((list) => list.split(",").filter((part) => part !== "")),
    metricsAddress: address.optional(),
    logLevel: z.enum(logLevels, { error: `one of ${logLevels.join(", ")}` }).default("info"),
    stopTimeoutMs: wholeNumber(100, 600_000).default(10_000),
};

/** Schema of the coordinator's settings. */
export const coordinatorSettings = z.strictObject({
    ...common,
    listenAddress: address,
    /** Hosts that share the connections of each server. */
    connectionShares: wholeNumber(1, 1_000).default(10),
    snapshotEveryMs: wholeNumber(500, 86_400_000).default(3_600_000),
});

/** Schema of the entry's settings. */
export const entrySettings = z.strictObject({
    ...common,
    listenAddress: address,
    connectionShares: wholeNumber(1, 1_000).default(10),
    maxHeaderBytes: wholeNumber(1_024, 65_536).default(8_192),
    maxBodyBytes: wholeNumber(1_024, 16_777_216).default(1_048_576),
    maxConnections: wholeNumber(1, 100_000).default(10_000),
});

/** Schema of the settings that every call of hornbeamctl needs. */
export const controlSettings = z.object({
    logUrl: url,
    hostListUrl: url,
});

export type CoordinatorSettings = z.infer<typeof coordinatorSettings>;
export type EntrySettings = z.infer<typeof entrySettings>;

/**
 * Reads settings from flags, and from variables such as HORNBEAM_LOG_URL where a flag is absent.
 * @param args command line without the program's name
 * @param environment environment variables
 * @param schema what is allowed
 * @returns the settings, or a failure whose message names the flag, the value and what is allowed
 */
export function readSettings<T extends z.ZodObject>(
    args: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
    schema: T,
): Result<z.infer<T>, Failure> {
    const flags = Object.keys(schema.shape);
    const parsed = yargs([...args]).string(flags).help(false).version(false)
        .parserConfiguration({ "strip-dashed": true, "duplicate-arguments-array": false }).parseSync() as Record<string, unknown>;
    const unknown = Object.keys(parsed).filter((name) => name !== "_" && name !== "$0" && !flags.includes(name));
    if (unknown.length > 0) {
        return err(failure("invalid", "settings", "command line", `--${flagOf(unknown[0] as string)} is not a flag; allowed: ${flags.map((flag) => `--${flagOf(flag)}`).join(", ")}`));
    }
    return checkSettings(parsed, environment, schema);
}

/**
 * Checks settings that were given as flags, and takes absent ones from environment variables.
 * @param flags values by name, as the command line gave them
 * @param environment environment variables
 * @param schema what is allowed
 * @returns the settings, or a failure whose message names the flag, the value and what is allowed
 */
export function checkSettings<T extends z.ZodObject>(
    flags: Readonly<Record<string, unknown>>,
    environment: Readonly<Record<string, string | undefined>>,
    schema: T,
): Result<z.infer<T>, Failure> {
    const names = Object.keys(schema.shape);
    const given = Object.fromEntries(names
        .map((name) => [name, flags[name] ?? environment[variableOf(name)]] as const)
        .filter(([, value]) => value !== undefined));
    const checked = schema.safeParse(given);
    if (checked.success) {
        return ok(checked.data);
    }
    const issue = checked.error.issues[0];
    const name = String(issue?.path[0] ?? "");
    return err(failure("invalid", "settings", "command line",
        `--${flagOf(name)} (or ${variableOf(name)}) is ${shown(name, given[name])}; allowed: ${issue?.message ?? ""}`));
}

function text(form: RegExp, allowed: string) {
    return z.string({ error: allowed }).regex(form, allowed);
}

function wholeNumber(min: number, max: number) {
    const allowed = `a whole number from ${String(min)} to ${String(max)}`;
    return z.coerce.number({ error: allowed }).int(allowed).min(min, allowed).max(max, allowed);
}

/** A secret never shows up in a message. */
function shown(name: string, value: unknown): string {
    if (value === undefined) {
        return "missing";
    }
    return name === "sharedKey" ? "not usable" : JSON.stringify(value);
}

function flagOf(name: string): string {
    return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function variableOf(name: string): string {
    return `${environmentPrefix}_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}
