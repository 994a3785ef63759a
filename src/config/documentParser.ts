/** Parses and validates a configuration document in YAML or JSON. */
import { LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { ConfigDocument } from "./documentSchema.js";
import { documentSchema } from "./documentSchema.js";

/** A problem found in a document. */
export interface DocumentProblem {
    /** Path of the field in the document, such as `institutions.malanad.pools`; empty for a syntax error. */
    path: string;
    /** Line number in the text, starting at 1. */
    line: number;
    message: string;
}

/**
 * Parses and validates a document.
 * @param text the document in YAML or JSON
 * @returns the document, or all problems found in it
 */
export function parseConfigDocument(text: string): Result<ConfigDocument, DocumentProblem[]> {
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

/** Returns the line of the node at a path or, if the document lacks it, of the nearest enclosing node. */
function lineOf(parsed: Document, path: readonly PropertyKey[], lines: LineCounter): number {
    for (let length = path.length; length > 0; length -= 1) {
        const node = parsed.getIn(path.slice(0, length), true) as { range?: [number, number, number] } | undefined;
        if (node?.range !== undefined) {
            return lines.linePos(node.range[0]).line;
        }
    }
    return 1;
}
