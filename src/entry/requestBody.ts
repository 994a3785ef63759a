/** Reads the body of a client's request. */
import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./clientCall.js";

/** Bodies up to this size are buffered, so that the request can be retried. */
const maxCollectedBytes = 65_536;

/** The body of a request on a connection that may carry further requests. */
export interface ConnectionBody extends RequestBody {
    /**
     * Reads what is left of a body that was read in part, and drops it: the next request on the connection follows it. Called after the
     * response. Closes the connection if the body is too long.
     */
    discardRest(): Promise<void>;
}

/**
 * Creates the body of a request.
 * @param request the request
 * @param maxBodyBytes a longer body counts as broken
 * @param beforeRead called once, before the first read
 */
export function createRequestBody(request: IncomingMessage, maxBodyBytes: number, beforeRead: () => void): ConnectionBody {
    const declared = request.headers["content-length"];
    const declaredBytes = declared === undefined ? undefined : Number(declared);
    const isBodiless = declaredBytes === undefined && request.headers["transfer-encoding"] === undefined;
    const collected: Buffer[] = [];
    let start: Buffer = Buffer.alloc(0);
    let receivedBytes = 0;
    let pieces: AsyncIterator<Buffer> | undefined;

    const readPiece = async (): Promise<Buffer | undefined | "broken"> => {
        if (pieces === undefined) {
            beforeRead();
            pieces = request[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
        }
        try {
            const { done, value } = await pieces.next();
            if (done === true) {
                return request.complete ? undefined : "broken";
            }
            receivedBytes += value.length;
            return receivedBytes > maxBodyBytes ? "broken" : value;
        }
        catch {
            // The client's connection failed, which `ClientCall.clientLeft` signals as well.
            return "broken";
        }
    };

    return {
        declaredBytes: isBodiless ? 0 : declaredBytes,
        collect: async () => {
            if (isBodiless) {
                return Buffer.alloc(0);
            }
            for (;;) {
                const piece = await readPiece();
                if (piece === "broken") {
                    return "broken";
                }
                if (piece === undefined) {
                    return Buffer.concat(collected);
                }
                collected.push(piece);
                if (receivedBytes > maxCollectedBytes) {
                    start = Buffer.concat(collected).subarray(0, maxCollectedBytes);
                    return "too-long";
                }
            }
        },
        discardRest: async () => {
            // Node.js itself drops a body of which nothing was read.
            for (let piece: Buffer | undefined | "broken" = start; pieces !== undefined && piece !== undefined;) {
                piece = await readPiece();
                if (piece === "broken") {
                    request.socket.destroySoon();
                    return;
                }
            }
        },
        next: async () => collected.shift() ?? await readPiece(),
        get start() {
            return start;
        },
    };
}
