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
    const named = namedByConnection(rawHeaders);
    return keepHeaders(rawHeaders, (name) => !hopByHop.has(name) && !others.has(name) && named?.has(name) !== true);
}

/**
 * Removes headers.
 * @param rawHeaders names and values by turns
 * @param removed names in lower case
 */
export function withoutHeaders(rawHeaders: readonly string[], removed: ReadonlySet<string>): string[] {
    return keepHeaders(rawHeaders, (name) => !removed.has(name));
}

/** @param isKept told the name of each header in lower case */
function keepHeaders(rawHeaders: readonly string[], isKept: (name: string) => boolean): string[] {
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (isKept((rawHeaders[index] as string).toLowerCase())) {
            kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string);
        }
    }
    return kept;
}

/** A Connection header may name further headers that concern that connection only; undefined without such a header. */
function namedByConnection(rawHeaders: readonly string[]): Set<string> | undefined {
    let named: Set<string> | undefined;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if ((rawHeaders[index] as string).toLowerCase() === "connection") {
            for (const name of (rawHeaders[index + 1] as string).split(",")) {
                named ??= new Set();
                named.add(name.trim().toLowerCase());
            }
        }
    }
    return named;
}
