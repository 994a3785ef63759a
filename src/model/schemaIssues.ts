/** Validates values by a schema, with messages that name each wrong field and, in a few characters, what was found there. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type * as z from "zod/mini";

/** Number of wrong fields that a message names. */
const maxIssues = 4;

/** Number of characters of a wrong value, of the path to it and of a message about it that are kept. */
const maxFoundChars = 40;
const maxPathChars = 80;
const maxMessageChars = 120;

/**
 * Validates a value.
 * @param schema the schema
 * @param value the value
 * @returns the value as the schema defines it, or a message of bounded length
 */
export function validate<T>(schema: z.ZodMiniType<T>, value: unknown): Result<T, string> {
    const checked = schema.safeParse(value);
    return checked.success ? ok(checked.data) : err(describeIssues(checked.error.issues, value));
}

/**
 * Describes what is wrong with a value, in a text of bounded length.
 * @param issues what a schema has found
 * @param value the value
 */
export function describeIssues(issues: readonly z.core.$ZodIssue[], value: unknown): string {
    const described = issues.slice(0, maxIssues).map(({ path, message }) =>
        `${cut(path.join("."), maxPathChars)} ${cut(message, maxMessageChars)} (found ${describeFoundValue(valueAt(value, path))})`.trimStart());
    const rest = issues.length - described.length;
    return [...described, ...rest > 0 ? [`${String(rest)} more`] : []].join("; ");
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>((inner, part) => (inner as Record<PropertyKey, unknown> | undefined)?.[part], value);
}

/** Describes a value in a few characters, without walking it, since it may be large. */
export function describeFoundValue(value: unknown): string {
    if (typeof value === "object") {
        return Array.isArray(value) ? `a list of ${String(value.length)}` : value ? "an object" : "null";
    }
    return value === undefined ? "nothing" : cut(typeof value === "string" ? JSON.stringify(value.slice(0, maxFoundChars)) : String(value), maxFoundChars);
}

function cut(text: string, maxChars: number): string {
    return text.length <= maxChars ? text : `${text.slice(0, maxChars)}...`;
}
