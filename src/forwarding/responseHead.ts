/** The head of a response: its status line and headers, and what they say about its body. */

/** What the head of a response states, before it is known how its body is framed. */
export interface StatedHead {
    status: number;
    /** Alternating names and values, as received. */
    rawHeaders: readonly string[];
}

/** Status line and headers of a response. */
export interface ResponseHead extends StatedHead {
    reasonPhrase: string;
    /** False if the connection cannot be reused after this response. */
    persistent: boolean;
}

/** Thrown for a response that violates HTTP/1.1 or a limit of the parser. */
export class ResponseSyntaxError extends Error {}

const statusLine = /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?$/;
const headerName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const headerValue = /^[\t\x20-\x7e\x80-\xff]*$/;
const digits = /^[0-9]{1,15}$/;

/** What a status line states. */
export interface StatusLine {
    code: number;
    reasonPhrase: string;
    isHttp11: boolean;
}

/**
 * Parses the first line of a response.
 * @throws ResponseSyntaxError if it is malformed
 */
export function parseStatusLine(line: string): StatusLine {
    const match = statusLine.exec(line);
    if (!match) {
        throw new ResponseSyntaxError("malformed status line");
    }
    return { code: Number(match[2]), reasonPhrase: match[3] ?? "", isHttp11: match[1] === "1" };
}

/**
 * Parses a header, in time linear in its length.
 * @throws ResponseSyntaxError if it is malformed
 */
export function parseHeaderLine(line: string): [string, string] {
    const colon = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colon));
    const value = withoutOuterBlanks(line, colon + 1);
    if (!headerName.test(name) || !headerValue.test(value)) {
        throw new ResponseSyntaxError("malformed header line");
    }
    return [name, value];
}

/** Returns the text from `start` on without spaces and tabs at its beginning and its end. */
function withoutOuterBlanks(text: string, start: number): string {
    let first = start;
    let end = text.length;
    while (first < end && isBlank(text.charCodeAt(first))) {
        first += 1;
    }
    while (end > first && isBlank(text.charCodeAt(end - 1))) {
        end -= 1;
    }
    return text.slice(first, end);
}

function isBlank(code: number): boolean {
    return code === 0x20 || code === 0x09;
}

/** How the end of a body is marked, and whether the connection can be reused. */
export interface Framing {
    lengthBytes: number | undefined;
    chunked: boolean;
    persistent: boolean;
}

/**
 * Finds out how the end of a body is marked.
 * @param rawHeaders alternating names and values
 * @throws ResponseSyntaxError if the headers are ambiguous
 */
export function framingOf(rawHeaders: readonly string[], isHttp11: boolean): Framing {
    const framing: Framing = { lengthBytes: undefined, chunked: false, persistent: isHttp11 };
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const value = rawHeaders[index + 1] as string;
        switch ((rawHeaders[index] as string).toLowerCase()) {
            case "content-length":
                if (!digits.test(value) || (framing.lengthBytes !== undefined && framing.lengthBytes !== Number(value))) {
                    throw new ResponseSyntaxError("malformed or conflicting Content-Length");
                }
                framing.lengthBytes = Number(value);
                break;
            case "transfer-encoding":
                if (value.toLowerCase() !== "chunked") {
                    throw new ResponseSyntaxError("unsupported Transfer-Encoding: only chunked is accepted");
                }
                framing.chunked = true;
                break;
            case "connection":
                framing.persistent = framing.persistent && !/\bclose\b/i.test(value);
                break;
        }
    }
    if (framing.chunked && framing.lengthBytes !== undefined) {
        throw new ResponseSyntaxError("response has both Content-Length and chunked Transfer-Encoding");
    }
    return framing;
}

/**
 * Finds a header.
 * @param rawHeaders alternating names and values
 * @param name in lower case
 * @returns the first value, or undefined if there is none
 */
export function headerOf(rawHeaders: readonly string[], name: string): string | undefined {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if ((rawHeaders[index] as string).toLowerCase() === name) {
            return rawHeaders[index + 1];
        }
    }
    return undefined;
}
