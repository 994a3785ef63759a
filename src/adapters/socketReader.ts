/**
 * Opens connections and reads from them. All that targets and other hosts send comes in here, so that no peer can keep this host busy or
 * use up its memory, whatever it sends and however fast: a connection delivers a limited number of bytes in a turn of the event loop, then
 * all others have their turn, and the connections that this host opens are read into the same memory again and again.
 */
import net from "node:net";

/**
 * Most bytes that an opened connection delivers in a turn of the event loop: as many as Node.js reads at a time. An accepted one may
 * deliver twice as many, since Node.js reads ahead on it.
 */
export const maxBytesPerTurn = 65_536;

/** Holds what was read last from any of the opened connections. Node.js reads again only after the receiver has returned. */
const readMemory = Buffer.allocUnsafeSlow(maxBytesPerTurn);

type Receiver = (bytes: Buffer) => void;

/** The opened connections, with who receives their bytes now. */
const receivers = new WeakMap<net.Socket, Receiver | undefined>();

/** Reads from one connection until it is stopped. */
export interface SocketReader {
    /** Reads nothing more until `release` is called. */
    hold(): void;
    release(): void;
    /** Ends the reading and pauses the socket, for another reader. */
    stop(): void;
}

/**
 * Opens a connection. Nothing is read from it before `readSocket` is called, and it emits no `data`.
 * @param options as those of `net.connect`
 */
export function openSocket(options: net.TcpNetConnectOpts): net.Socket {
    const onRead = (byteCount: number) => {
        receivers.get(socket)?.(readMemory.subarray(0, byteCount));
        return true;
    };
    const socket = net.connect({ ...options, onread: { buffer: readMemory, callback: onRead } });
    receivers.set(socket, undefined);
    socket.pause();
    return socket;
}

/**
 * Reads from a connection.
 * @param socket a connection that was opened by `openSocket`, or one that was accepted
 * @param onBytes called with the bytes that have arrived, which are valid during the call only
 */
export function readSocket(socket: net.Socket, onBytes: Receiver): SocketReader {
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

    const receive = (bytes: Buffer) => {
        if (bytes.length >= maxBytesPerTurn) {
            endTurn();
        }
        onBytes(bytes);
    };
    const isOpened = receivers.has(socket);
    if (isOpened) {
        receivers.set(socket, receive);
    }
    else {
        socket.on("data", receive);
    }
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
            socket.off("data", receive);
            if (isOpened) {
                receivers.set(socket, undefined);
            }
            socket.pause();
        },
    };
}

/** Limits what a connection delivers in a turn of the event loop if a library reads from it. */
export function limitBytesPerTurn(socket: net.Socket): void {
    socket.on("data", (bytes: Buffer) => {
        if (bytes.length >= maxBytesPerTurn) {
            socket.pause();
            setImmediate(() => {
                socket.resume();
            });
        }
    });
}
