/**
 * Reads bytes from a connection. All that targets and helping hosts send comes in here, so that no peer keeps this host busy by what it
 * sends or by how fast: a connection delivers a limited number of bytes in a turn of the event loop, then all others have their turn.
 */
import type net from "node:net";

/** Most bytes that a connection delivers in a turn of the event loop: as many as Node.js reads at a time. */
export const maxBytesPerTurn = 65_536;

/** Reads from one connection until it is stopped. */
export interface SocketReader {
    /** Reads nothing more until `release` is called. */
    hold(): void;
    release(): void;
    /** Ends the reading and pauses the socket, for another reader. */
    stop(): void;
}

/**
 * Reads from a connection.
 * @param onBytes called with the bytes that have arrived, which are valid during the call only
 */
export function readSocket(socket: net.Socket, onBytes: (bytes: Buffer) => void): SocketReader {
    let isHeld = false;
    let hasHadTurn = false;
    let isStopped = false;

    const resumeIfAllowed = () => {
        if (!isHeld && !hasHadTurn && !isStopped) {
            socket.resume();
        }
    };

    const endTurn = () => {
        hasHadTurn = true;
        socket.pause();
        setImmediate(() => {
            hasHadTurn = false;
            resumeIfAllowed();
        });
    };

    const onData = (bytes: Buffer) => {
        if (bytes.length >= maxBytesPerTurn) {
            endTurn();
        }
        onBytes(bytes);
    };
    socket.on("data", onData);
    socket.resume();

    return {
        hold: () => {
            isHeld = true;
            socket.pause();
        },
        release: () => {
            if (isHeld) {
                isHeld = false;
                resumeIfAllowed();
            }
        },
        stop: () => {
            isStopped = true;
            socket.off("data", onData);
            socket.pause();
        },
    };
}
