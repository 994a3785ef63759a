/** Parses JSON that other programs wrote, within limits on its size and depth that hold before any of it is walked. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

/** Limits on one text. */
export interface JsonLimits {
    maxBytes: number;
    /** Greatest number of arrays and objects that are open at the same place. */
    maxDepth: number;
}

/** Why a text is not parsed. */
export type JsonRejection =
    | { reason: "too-long"; bytes: number; maxBytes: number }
    | { reason: "too-deep"; maxDepth: number }
    | { reason: "not-json" };

const code = { quote: 0x22, backslash: 0x5c, openBracket: 0x5b, closeBracket: 0x5d, openBrace: 0x7b, closeBrace: 0x7d } as const;

/**
 * Parses a text. Of several fields with the same name in one object, the last one counts.
 * @param text the text in UTF-8
 * @param limits limits on it
 */
export function parseBoundedJson(text: Buffer, limits: JsonLimits): Result<unknown, JsonRejection> {
    if (text.length > limits.maxBytes) {
        return err({ reason: "too-long", bytes: text.length, maxBytes: limits.maxBytes });
    }
    if (isDeeperThan(text, limits.maxDepth)) {
        return err({ reason: "too-deep", maxDepth: limits.maxDepth });
    }
    try {
        return ok(JSON.parse(text.toString("utf8")) as unknown);
    }
    catch {
        return err({ reason: "not-json" });
    }
}

const describeByReason: { [Reason in JsonRejection["reason"]]: (rejection: Extract<JsonRejection, { reason: Reason }>) => string } = {
    "too-long": ({ bytes, maxBytes }) => `has ${String(bytes)} bytes; at most ${String(maxBytes)} are read`,
    "too-deep": ({ maxDepth }) => `is nested more than ${String(maxDepth)} levels deep`,
    "not-json": () => "is not JSON",
};

/** Describes why a text is not parsed. */
export function describeJsonRejection(rejection: JsonRejection): string {
    return (describeByReason[rejection.reason] as (of: JsonRejection) => string)(rejection);
}

/** Tells whether more arrays and objects are open at some place than allowed. */
function isDeeperThan(text: Buffer, maxDepth: number): boolean {
    let depth = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index++) {
        const byte = text[index];
        if (isInString) {
            if (byte === code.backslash) {
                index += 1;
            }
            isInString = byte !== code.quote;
        }
        else if (byte === code.quote) {
            isInString = true;
        }
        else if (byte === code.openBracket || byte === code.openBrace) {
            depth += 1;
            if (depth > maxDepth) {
                return true;
            }
        }
        else if (byte === code.closeBracket || byte === code.closeBrace) {
            depth -= 1;
        }
    }
    return false;
}
