/** Reads a configuration document that an operator wrote, in YAML or JSON, and names each problem with its line. */
import { LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { ConfigDocument } from "./documentSchema.js";
import { documentSchema } from "./documentSchema.js";

/** One problem of a document. */
export interface SourceProblem {
    /** Path within the document, such as `institutions.malanad.pools`. */
    path: string;
    /** Line in the text, from 1. */
    line: number;
    message: string;
}

/**
 * Reads and checks a document.
 * @param text YAML or JSON
 * @returns the document, or everything that is wrong with it
 */
export function readDocument(text: string): Result<ConfigDocument, SourceProblem[]> {
    const lines = new LineCounter();
    const parsed = parseDocument(text, { lineCounter: lines });
    if (parsed.errors.length > 0) {
        return err(parsed.errors.map((error) => ({ path: "", line: lines.linePos(error.pos[0]).line, message: error.message.split("\n")[0] ?? "" })));
    }
    const checked = documentSchema.safeParse(parsed.toJS());
    if (checked.success) {
        return ok(checked.data);
    }
    return err(checked.error.issues.map((issue) => ({
        path: issue.path.join("."),
        line: lineOf(parsed, issue.path, lines),
        message: issue.message,
    })));
}

/** Line of the nearest enclosing node that exists. */
function lineOf(parsed: Document, path: readonly PropertyKey[], lines: LineCounter): number {
    for (let length = path.length; length > 0; length -= 1) {
        const node = parsed.getIn(path.slice(0, length), true) as { range?: [number, number, number] } | undefined;
        if (node?.range !== undefined) {
            return lines.linePos(node.range[0]).line;
        }
    }
    return 1;
}
