/** Settings of the daemon from flags, or from environment variables where a flag is absent. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import yargsParser from "yargs-parser";
import * as z from "zod/mini";
import "../model/zodLocale.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";

const environmentPrefix = "HORNBEAM_";
const logLevels = ["trace", "debug", "info", "warn", "error", "fatal"] as const;
const portRange = "a port from 1 to 65535";
const between = (least: number, most: number, unit: string) => {
    const allowed = `${unit} from ${String(least)} to ${String(most)}`;
    return z.coerce.number({ error: allowed }).check(z.gte(least, allowed), z.lte(most, allowed));
};
const wholeBetween = (least: number, most: number, unit: string) =>
    between(least, most, unit).check(z.int(`${unit} from ${String(least)} to ${String(most)}`));
const port = z.coerce.number({ error: portRange }).check(z.int(portRange), z.gte(1, portRange), z.lte(65_535, portRange));

const schema = z.strictObject({
    /** Lowest level of log lines that are written. */
    logLevel: z._default(z.enum(logLevels, { error: `one of ${logLevels.join(", ")}` }), "info"),
    /** Port of the pages for operators: liveness, readiness, dump and metrics. */
    adminPort: z._default(port, 9_464),
    /** Requests of one client connection that are parsed and not answered. */
    clientPipelined: z._default(wholeBetween(1, 1_000, "a number of requests"), 8),
    /** Bytes of a message besides header section and content, in addition to those allowed for each byte of content. */
    clientOverheadBytes: z._default(wholeBetween(1_024, 16_777_216, "a number of bytes"), 65_536),
    /** Least rate at which the body of a request arrives, in bytes per second. */
    clientMinRate: z._default(wholeBetween(1, 1_000_000, "bytes per second"), 100),
    /** Window over which the rate is measured, in milliseconds. */
    clientStallMs: z._default(wholeBetween(500, 600_000, "milliseconds"), 5_000),
    /** Share of the machine's memory that may be held for clients. */
    clientMemoryShare: z._default(between(0.01, 0.9, "a share"), 0.25),
});

export type DaemonSettings = z.infer<typeof schema>;

/**
 * Reads the settings.
 * @param args command-line arguments without the program's name
 * @param environment environment variables
 * @returns the settings, or a failure that names every invalid flag with its value, every unknown flag, and what is allowed
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
            const value = environment[environmentVariableOf(name)];
            return value === undefined ? [] : [[name, value] as const];
        }),
        ...Object.entries(flags as Record<string, unknown>),
        ...positional.map((word) => [String(word), ""] as const),
    ]);
    const checked = schema.safeParse(given);
    return checked.success ? ok(checked.data) : err(failure("invalid", "settings", "command line", describeErrors(checked.error, given)));
}

function describeErrors(error: z.core.$ZodError, given: Readonly<Record<string, unknown>>): string {
    return error.issues.map((issue) => issue.code === "unrecognized_keys"
        ? `${issue.keys.map(flagOf).join(", ")} not known; allowed: ${Object.keys(schema.shape).map(flagOf).join(", ")}`
        : describeValue(String(issue.path[0] ?? ""), given, issue.message)).join("; ");
}

function describeValue(name: string, given: Readonly<Record<string, unknown>>, allowed: string): string {
    return `${flagOf(name)} (or ${environmentVariableOf(name)}) is ${JSON.stringify(given[name])}; allowed: ${allowed}`;
}

function flagOf(name: string): string {
    return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

function environmentVariableOf(name: string): string {
    return `${environmentPrefix}${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}
