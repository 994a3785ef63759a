/**
 * Fingerprints of requests, by which a request is recognized when it comes again. Its id is of no use for that, since a client's retry
 * has a new one.
 */
import { createHash } from "node:crypto";
import type { Branded, Key } from "../model/names.js";

/** Digest of what is equal in two requests that are the same. */
export type Fingerprint = Branded<string, "Fingerprint">;

/** The fingerprints of one request. */
export interface RequestFingerprints {
    /** Of the request itself: method, host name, path, key and body. */
    content: Fingerprint;
    /**
     * Of the request as this client account sends it: its content and all other headers, such as credentials. Useless if a header changes
     * with each attempt, while `content` is too coarse if only one client account's requests crash targets; so both are used.
     */
    exact: Fingerprint;
}

/** What is known of a request when it has arrived. */
export interface FingerprintInput {
    method: string;
    hostName: string;
    /** Path and query. */
    path: string;
    key: Key | undefined;
    /** Alternating names and values of the headers that are the same in each attempt of a client. */
    stableHeaders: readonly string[];
    /** The body, or its first bytes if it is long. */
    bodyStart: Buffer;
    /** Length of the body; undefined if it is not known yet. */
    bodyBytes: number | undefined;
}

/** Length of a fingerprint; 16 characters of base64 hold 96 bits. */
const fingerprintLength = 16;

/** Computes the fingerprints of a request. */
export function computeFingerprints(input: FingerprintInput): RequestFingerprints {
    const { method, hostName, path, key, stableHeaders, bodyStart, bodyBytes } = input;
    const content = digest([method, hostName.toLowerCase(), path, String(key ?? ""), String(bodyBytes ?? "")], bodyStart);
    return { content, exact: digest([content, ...stableHeaders], undefined) };
}

/** Digests texts and bytes. Each text is preceded by its length, so that two lists with the same characters differ. */
function digest(texts: readonly string[], bytes: Buffer | undefined): Fingerprint {
    const hash = createHash("sha256");
    hash.update(texts.map((text) => `${String(text.length)}:${text}`).join(""));
    if (bytes !== undefined) {
        hash.update(bytes);
    }
    return hash.digest("base64url").slice(0, fingerprintLength) as Fingerprint;
}
