/** Output of hornbeamctl: readable tables, or JSON. */
import Table from "cli-table3";

/** Exit codes, also listed in docs/OPERATIONS.md. */
export const exitCodes = {
    done: 0,
    /** Another change won, or the change is not allowed. */
    refused: 1,
    /** The command line or a document is wrong. */
    badInput: 2,
    /** The log, the host list or a host cannot be reached. */
    unreachable: 3,
    /** Some live host has not got the configuration in force. */
    notEverywhere: 4,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** What a command prints, and how it ends. */
export interface CommandResult {
    exitCode: ExitCode;
    /** Short sentences; the last one says what to do next where something is to be done. */
    lines: string[];
    /** Rows of a table under its heads. */
    table?: { head: string[]; rows: (string | number)[][] };
    /** The same for programs. */
    json: unknown;
}

/**
 * Renders a result.
 * @param result the result
 * @param asJson whether a program reads it
 * @returns the text to print
 */
export function render(result: CommandResult, asJson: boolean): string {
    if (asJson) {
        return `${JSON.stringify({ exitCode: result.exitCode, lines: result.lines, result: result.json }, undefined, 2)}\n`;
    }
    const parts: string[] = [];
    if (result.table !== undefined) {
        const table = new Table({ head: result.table.head, style: { head: [], border: [] } });
        table.push(...result.table.rows);
        parts.push(table.toString());
    }
    return [...parts, ...result.lines].map((line) => `${line}\n`).join("");
}
