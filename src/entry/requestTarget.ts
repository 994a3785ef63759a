/** Host name and path of a request, from its request target and its Host header. */

const absoluteForm = /^https?:\/\/(?:[^/?#@]*@)?([^/?#]*)(.*)$/i;

/** What a request is about. */
export interface RequestTarget {
    /** Host name as the client sent it, with or without a port. */
    hostName: string;
    /** Path and query as the client sent them. */
    path: string;
    /** True if the request target names the host. Any Host header is then ignored (RFC 9112, section 3.2.2). */
    isAbsolute: boolean;
}

/**
 * Reads the request target.
 * @param target the target in the request line: a path with its query, or an absolute URI
 * @param hostHeader the Host header; undefined if there is none
 */
export function parseRequestTarget(target: string, hostHeader: string | undefined): RequestTarget {
    const [, hostName, path] = target.startsWith("/") ? [] : absoluteForm.exec(target) ?? [];
    if (hostName === undefined || path === undefined) {
        return { hostName: hostHeader ?? "", path: target, isAbsolute: false };
    }
    return { hostName, path: path.startsWith("/") ? path : `/${path}`, isAbsolute: true };
}

/**
 * Returns the headers with the host name of an absolute request target in place of the Host header.
 * @param rawHeaders alternating names and values
 */
export function withHostOf({ hostName, isAbsolute }: RequestTarget, rawHeaders: readonly string[]): readonly string[] {
    return isAbsolute
        ? rawHeaders.map((text, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === "host" ? hostName : text)
        : rawHeaders;
}
