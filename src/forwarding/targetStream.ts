/**
 * The bytes that a target sends, over any hop: directly, or through another host. Each kind of stream knows how to find out whether their
 * end is the target's own; `targetConnection.ts` decides with it whether an answer is whole.
 */
import type net from "node:net";
import type { SocketReader } from "../adapters/socketReader.js";
import { readSocket } from "../adapters/socketReader.js";
import { RelayFrameReader } from "./relayFrames.js";

/**
 * Finds out whether the target itself has ended its data in order. If not, or if it can't be known, an answer that ends with the connection
 * is not whole.
 */
export type EndCheck = () => Promise<boolean>;

/** Callbacks of a stream. */
export interface StreamEvents {
    /** Bytes of the target, valid during the call only. */
    onBytes(bytes: Buffer): void;
    /** Called once, when no more bytes will come. */
    onEnd(isEndOfTarget: EndCheck): void;
    /** The host that relays the connection is about to stop: no further request may be sent on it. */
    onRelayStopping(): void;
}

/** What arrives from a target on an open socket. */
export interface TargetStream {
    /** Requests are written to it. Its two directions end independently. */
    readonly socket: net.Socket;
    /** Starts to read. */
    read(events: StreamEvents): SocketReader;
}

/** Creates the stream of a socket at whose other end is the target itself. */
export function directStream(socket: net.Socket): TargetStream {
    return {
        socket,
        read: ({ onBytes, onEnd }) => {
            socket.on("end", () => {
                onEnd(() => checkOrderlyEnd(socket));
            });
            return readSocket(socket, onBytes);
        },
    };
}

/** Creates the stream of a socket at whose other end is a host that marks the end of the target's data by a frame. */
export function framedStream(socket: net.Socket): TargetStream {
    return {
        socket,
        read: ({ onBytes, onEnd, onRelayStopping }) => {
            let hasEnded = false;
            const endWith = (isEndOfTarget: boolean) => {
                if (!hasEnded) {
                    hasEnded = true;
                    onEnd(() => Promise.resolve(isEndOfTarget));
                }
            };
            const frames = new RelayFrameReader({
                onData: onBytes,
                onEnd: () => {
                    endWith(true);
                },
                onStopping: onRelayStopping,
            });
            socket.on("end", () => {
                endWith(false);
            });
            return readSocket(socket, (bytes) => {
                frames.push(bytes);
            });
        },
    };
}

/**
 * Creates the stream of a socket at whose other end is a host of an earlier version. It ends the connection when the target has ended its
 * data, and the end of its own process does the same.
 * @param isRelayRunning finds out whether that host still runs; it then ended the connection because the target did
 */
export function unframedStream(socket: net.Socket, isRelayRunning: EndCheck): TargetStream {
    return {
        socket,
        read: ({ onBytes, onEnd }) => {
            socket.on("end", () => {
                onEnd(async () => await checkOrderlyEnd(socket) && await isRelayRunning());
            });
            return readSocket(socket, onBytes);
        },
    };
}

/**
 * Finds out whether the end of a socket's data is an orderly end. Node.js reports a reset as an orderly end if data arrived just before it.
 * A write tells the two apart: it fails after a reset. The empty line does no harm, since servers ignore empty lines between requests.
 * @param socket socket on which the end has arrived
 */
export function checkOrderlyEnd(socket: net.Socket): Promise<boolean> {
    return new Promise((resolve) => {
        socket.write("\r\n", (error) => {
            resolve(!error);
        });
    });
}
