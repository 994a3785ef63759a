/** Headers that concern one connection only and are never forwarded. */

const hopByHop: ReadonlySet<string> = new Set([
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
    "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length",
]);

/**
 * Removes the headers that concern one connection only, the length of the body, and some others.
 * @param rawHeaders names and values by turns
 * @param others names in lower case that are removed too
 * @returns names and values by turns
 */
export function withoutHopByHop(rawHeaders: readonly string[], others: ReadonlySet<string>): string[] {
    return withoutHeaders(rawHeaders, new Set([...hopByHop, ...others, ...namedByConnection(rawHeaders)]));
}

/**
 * Removes headers.
 * @param rawHeaders names and values by turns
 * @param removed names in lower case
 */
export function withoutHeaders(rawHeaders: readonly string[], removed: ReadonlySet<string>): string[] {
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (!removed.has((rawHeaders[index] as string).toLowerCase())) {
            kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string);
        }
    }
    return kept;
}

/** A Connection header may name further headers that concern that connection only. */
function namedByConnection(rawHeaders: readonly string[]): Set<string> {
    const named = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if ((rawHeaders[index] as string).toLowerCase() === "connection") {
            (rawHeaders[index + 1] as string).split(",").forEach((name) => named.add(name.trim().toLowerCase()));
        }
    }
    return named;
}
