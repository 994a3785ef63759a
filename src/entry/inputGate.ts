/**
 * Stands between the socket of a connection and the HTTP parser of Node.js. Gives the parser one request at a time, and holds the rest back
 * while enough requests of the connection are unanswered; the socket is paused meanwhile.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { BodyFraming, FramingError, TakenInput } from "./requestFraming.js";
import { RequestFraming } from "./requestFraming.js";

const noBytes = Buffer.alloc(0);

/** What the gate asks, and tells. */
export interface InputGateDependencies {
    /** Returns whether the next request may be parsed. */
    mayParse: () => boolean;
    /** Returns whether further input is ignored. */
    isInputEnded: () => boolean;
    /** Returns whether the response to a request leaves the connection open, as far as is known. */
    keepsAlive: () => boolean;
    /** Called with changes of the number of bytes that are held back. */
    onHeld: (bytes: number) => void;
    /** Called when input is not given to the parser because of what it is. */
    onRejected: (error: FramingError | "misframed", pieceCount: number) => void;
}

/** The gate of one connection. */
export interface InputGate {
    /** True while input waits to be given to the parser, also in the middle of what was received last. */
    readonly holdsInput: boolean;
    /** True if a part of a header section has been read. */
    readonly isInHead: boolean;
    /** Called with each request whose header section the parser has read. */
    onRequest(request: IncomingMessage): void;
    /** Continues with input that was held back, if it may be parsed now. */
    drain(): void;
}

/**
 * Takes the input of a connection over from the parser, to which Node.js has connected it.
 * @param socket the connection, of which nothing was read yet
 * @param maxOverheadBytes see `RequestFraming`
 */
export function gateInput(socket: Socket, maxOverheadBytes: number, dependencies: InputGateDependencies): InputGate {
    const framing = new RequestFraming(maxOverheadBytes);
    const [toParser] = socket.listeners("data") as ((bytes: Buffer) => void)[];
    let held: Buffer = noBytes;
    /** Number of bytes behind those that the parser gets now. */
    let unfedBytes = 0;
    let request: IncomingMessage | undefined;
    let isHolding = false;
    let isDraining = false;
    let isFinished = false;
    let pieceCount = 0;

    const setHeld = (bytes: Buffer) => {
        if (bytes.length !== held.length) {
            dependencies.onHeld(bytes.length - held.length);
        }
        held = bytes;
    };

    const reject = (error: FramingError | "misframed") => {
        isFinished = true;
        dependencies.onRejected(error, pieceCount);
    };

    const feed = (taken: TakenInput) => {
        pieceCount += framing.joinedChunks;
        if (taken.bytes.length > 0) {
            toParser?.(taken.bytes);
        }
        if (dependencies.isInputEnded() && request === undefined) {
            return;
        }
        if (taken.isHeadEnd) {
            framing.startBody(request === undefined ? undefined : bodyFramingOf(request));
            pieceCount = 0;
        }
        const isRequestEnd = framing.isBetweenRequests && (taken.isHeadEnd || taken.isBodyEnd);
        const isHeadRead = request !== undefined;
        const isMisframed = isRequestEnd ? request?.complete !== true : isHeadRead ? request?.complete === true : taken.isHeadEnd;
        if (isMisframed || (isHeadRead && !taken.isHeadEnd && framing.isInHead)) {
            if (!socket.destroyed && !dependencies.isInputEnded()) {
                // A later request could otherwise be read out of the content of this one.
                reject("misframed");
            }
            return;
        }
        if (isRequestEnd) {
            isFinished = !dependencies.keepsAlive();
            request = undefined;
        }
    };

    /** Node.js stops its parser as well while more responses wait than it allows; input would then be an error. */
    const isParserPaused = () => (socket as Socket & { _paused?: boolean })._paused === true;

    const mayContinue = () => !isParserPaused() && (!framing.isBetweenRequests || dependencies.mayParse());

    /** Feeds input until it is used up or has to wait; returns what is left. */
    const feedWhilePossible = (input: Buffer): Buffer => {
        let left = input;
        while (left.length > 0) {
            if (isFinished || socket.destroyed || (dependencies.isInputEnded() && request === undefined)) {
                return noBytes;
            }
            if (!mayContinue()) {
                isHolding = true;
                socket.pause();
                return left;
            }
            const taken = framing.take(left);
            if (typeof taken === "string") {
                reject(taken);
                return noBytes;
            }
            left = left.subarray(taken.usedBytes);
            unfedBytes = left.length;
            feed(taken);
            if (left.length > 0 && socket.isPaused()) {
                return left;
            }
        }
        return noBytes;
    };

    const drain = () => {
        if (isDraining || (held.length === 0 && !isHolding)) {
            return;
        }
        isDraining = true;
        const wasHolding = isHolding;
        isHolding = false;
        try {
            setHeld(feedWhilePossible(held));
        }
        finally {
            isDraining = false;
        }
        // Bytes may still be held after the parser has paused the socket itself, which then resumes it.
        if (wasHolding && held.length === 0 && !isParserPaused() && !socket.destroyed) {
            socket.resume();
        }
    };

    socket.on("data", (bytes: Buffer) => {
        if (held.length > 0 || isDraining) {
            setHeld(Buffer.concat([held, bytes]));
            socket.pause();
            return;
        }
        isDraining = true;
        try {
            setHeld(feedWhilePossible(bytes));
        }
        finally {
            isDraining = false;
        }
    });
    socket.on("resume", drain);
    if (toParser !== undefined) {
        socket.off("data", toParser);
    }

    return {
        get holdsInput() {
            return (isDraining ? unfedBytes : held.length) > 0;
        },
        get isInHead() {
            return framing.isInHead;
        },
        onRequest: (received) => {
            request = received;
        },
        drain,
    };
}

function bodyFramingOf({ headers }: IncomingMessage): BodyFraming | undefined {
    if (headers["transfer-encoding"] !== undefined) {
        // The parser accepts no other last coding.
        return { kind: "chunked" };
    }
    const length = headers["content-length"];
    return length === undefined ? undefined : { kind: "length", bytes: Number(length) };
}
