/** Removes hop-by-hop headers, which apply to a single connection and must not be forwarded. */

const hopByHop: ReadonlySet<string> = new Set([
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
    "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length",
]);

/**
 * Removes hop-by-hop headers, Content-Length, Expect and further given headers.
 * @param rawHeaders alternating names and values
 * @param others lower-case names of further headers to remove
 * @returns the remaining headers as alternating names and values
 */
export function withoutHopByHop(rawHeaders: readonly string[], others: ReadonlySet<string>): string[] {
    const named = namedByConnection(rawHeaders);
    return keepHeaders(rawHeaders, (name) => !hopByHop.has(name) && !others.has(name) && named?.has(name) !== true);
}

/**
 * Removes headers by name.
 * @param rawHeaders alternating names and values
 * @param removed lower-case names of the headers to remove
 */
export function withoutHeaders(rawHeaders: readonly string[], removed: ReadonlySet<string>): string[] {
    return keepHeaders(rawHeaders, (name) => !removed.has(name));
}

/** @param isKept called with the lower-case name of each header */
function keepHeaders(rawHeaders: readonly string[], isKept: (name: string) => boolean): string[] {
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (isKept((rawHeaders[index] as string).toLowerCase())) {
            kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string);
        }
    }
    return kept;
}

/** Returns the lower-case names of the hop-by-hop headers listed in Connection headers; undefined without a Connection header. */
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
