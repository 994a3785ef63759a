/** The daemon's own settings: flags, or environment variables where a flag is absent. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import yargsParser from "yargs-parser";
import * as z from "zod/mini";
import "../model/schema.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";

const environmentPrefix = "HORNBEAM_";
const logLevels = ["trace", "debug", "info", "warn", "error", "fatal"] as const;
const portText = "a port from 1 to 65535";
const port = z.coerce.number({ error: portText }).check(z.int(portText), z.gte(1, portText), z.lte(65_535, portText));

const schema = z.strictObject({
    /** Least level of log lines that are written. */
    logLevel: z._default(z.enum(logLevels, { error: `one of ${logLevels.join(", ")}` }), "info"),
    /** Port for metrics, dump and liveness. */
    adminPort: z._default(port, 9_464),
});

export type DaemonSettings = z.infer<typeof schema>;

/**
 * Reads the settings.
 * @param args command line without the program's name
 * @param environment environment variables
 * @returns the settings, or a failure that names every flag at fault, its value and what is allowed
 */
export function readDaemonSettings(
    args: readonly string[], environment: Readonly<Record<string, string | undefined>>,
): Result<DaemonSettings, Failure> {
    const names = Object.keys(schema.shape);
    const { _: positional, ...flags } = yargsParser([...args], {
        string: names, configuration: { "strip-dashed": true, "duplicate-arguments-array": false },
    });
    const given = Object.fromEntries([
        ...names.flatMap((name) => {
            const value = environment[variableOf(name)];
            return value === undefined ? [] : [[name, value] as const];
        }),
        ...Object.entries(flags as Record<string, unknown>),
        ...positional.map((word) => [String(word), ""] as const),
    ]);
    const checked = schema.safeParse(given);
    return checked.success ? ok(checked.data) : err(failure("invalid", "settings", "command line", describe(checked.error, given)));
}

function describe(error: z.core.$ZodError, given: Readonly<Record<string, unknown>>): string {
    return error.issues.map((issue) => issue.code === "unrecognized_keys"
        ? `${issue.keys.map(flagOf).join(", ")} not known; allowed: ${Object.keys(schema.shape).map(flagOf).join(", ")}`
        : describeValue(String(issue.path[0] ?? ""), given, issue.message)).join("; ");
}

function describeValue(name: string, given: Readonly<Record<string, unknown>>, allowed: string): string {
    return `${flagOf(name)} (or ${variableOf(name)}) is ${JSON.stringify(given[name])}; allowed: ${allowed}`;
}

function flagOf(name: string): string {
    return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

function variableOf(name: string): string {
    return `${environmentPrefix}${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}
