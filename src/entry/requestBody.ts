/** Reads the body of a client's request. */
import type { IncomingMessage } from "node:http";
import { ByteBuffer } from "../model/byteBuffer.js";
import type { RequestBody } from "./clientCall.js";

/** Bodies up to this size are buffered, so that the request can be retried. */
const maxCollectedBytes = 65_536;

const noBytes = Buffer.alloc(0);

/** The body of a request on a connection that may carry further requests. */
export interface ConnectionBody extends RequestBody {
    /**
     * Reads what is left of a body that was read in part, and drops it: the next request on the connection follows it. Called after the
     * response. Closes the connection if the body is too long.
     */
    discardRest(): Promise<void>;
    /** Breaks the body off if `collect` waits for it, so that the request is not sent to a target. Returns whether it does. */
    breakOff(): boolean;
}

/**
 * Creates the body of a request.
 * @param request the request
 * @param maxBodyBytes a longer body counts as broken
 * @param beforeRead called once, before the first read
 * @param onHeld called with the number of bytes that `collect` has added to those that it holds
 */
export function createRequestBody(
    request: IncomingMessage, maxBodyBytes: number, beforeRead: () => void, onHeld: (bytes: number) => void,
): ConnectionBody {
    const declared = request.headers["content-length"];
    const declaredBytes = declared === undefined ? undefined : Number(declared);
    const isBodiless = declaredBytes === undefined && request.headers["transfer-encoding"] === undefined;
    const collected = new ByteBuffer();
    let endCollecting: ((body: "broken") => void) | undefined;
    let unsent: Buffer | undefined;
    let start: Buffer = noBytes;
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

    const collect = async (): Promise<Buffer | "too-long" | "broken"> => {
        for (;;) {
            const piece = await readPiece();
            if (piece === "broken") {
                return "broken";
            }
            if (piece === undefined) {
                return collected.takeAll();
            }
            collected.append(piece, 0, piece.length);
            onHeld(piece.length);
            if (receivedBytes > maxCollectedBytes) {
                unsent = collected.takeAll();
                start = unsent.subarray(0, maxCollectedBytes);
                return "too-long";
            }
        }
    };

    return {
        declaredBytes: isBodiless ? 0 : declaredBytes,
        collect: () => {
            if (isBodiless) {
                return Promise.resolve(noBytes);
            }
            return new Promise((resolve) => {
                endCollecting = resolve;
                void collect().then((body) => {
                    endCollecting = undefined;
                    resolve(body);
                });
            });
        },
        breakOff: () => {
            const isCollecting = endCollecting !== undefined;
            endCollecting?.("broken");
            return isCollecting;
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
        next: async () => {
            const piece = unsent ?? await readPiece();
            unsent = undefined;
            return piece;
        },
        get start() {
            return start;
        },
    };
}
