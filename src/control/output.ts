/** Output of hornbeamctl, as text and tables or as JSON. */
import Table from "cli-table3";

/** Exit codes, also listed in docs/OPERATIONS.md. */
export const exitCodes = {
    done: 0,
    /** A concurrent change was made first, or the command is not possible in the current state. */
    refused: 1,
    /** The command line or a document is invalid. */
    badInput: 2,
    /** The store, the coordinator or a host cannot be reached, or a running host is not ready. */
    unreachable: 3,
    /** The newest configuration is not in force on every running host. */
    notEverywhere: 4,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** Exit code and output of a command. */
export interface CommandResult {
    exitCode: ExitCode;
    /** Short sentences; the last one names the next step if there is one. */
    lines: string[];
    /** Column headings and rows of a table. */
    table?: { head: string[]; rows: (string | number)[][] };
    /** The result for programs. */
    json: unknown;
}

/**
 * Renders a result.
 * @param result the result
 * @param asJson whether to render it as JSON
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
