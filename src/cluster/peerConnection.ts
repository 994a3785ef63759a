/**
 * JSON-RPC 2.0 between hosts over one TCP connection, in both directions. Messages are MessagePack frames rather than
 * JSON text, since traffic between data centres is expensive.
 */
import net from "node:net";
import { Packr, Unpackr } from "msgpackr";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { listen } from "../adapters/listening.js";
import type { SocketReader } from "../adapters/socketReader.js";
import { openSocket, readSocket } from "../adapters/socketReader.js";
import { ByteBuffer } from "../model/byteBuffer.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import { parseAddress } from "../model/valueSchemas.js";
import { RpcSession } from "./rpcSession.js";

const connectTimeoutMs = 300;
const lengthPrefixBytes = 4;
const maxFrameBytes = 8_388_608;

/** Period at which a connection is probed while calls on it are pending. */
const probePeriodMs = 200;

/** A connection with pending calls is closed when nothing was received on it for this long. */
const silenceTimeoutMs = 600;

const probeMethod = "probe";

/** RPC handlers that a host offers to others, by method. */
export type PeerHandlers = Record<string, (params: never, from: PeerConnection) => unknown>;

/** A connection to another host. */
export interface PeerConnection {
    readonly address: string;
    readonly isOpen: boolean;
    /** Monotonic time at which the last message was received. */
    readonly lastReceivedAtMs: number;
    readonly closed: Promise<void>;
    /** Calls a method and waits for its result, at most for `timeoutMs`. */
    call<T>(method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>>;
    /** Sends a message that has no result. */
    notify(method: string, params: object): void;
    /**
     * Ends the exchange of messages and returns the socket, which both hosts use for other data from then on; its two directions end
     * independently. The answer to a call that is being handled is still sent before that.
     */
    detach(): net.Socket;
    destroy(): void;
}

/**
 * Connects to a host.
 * @param address its peer address
 * @param handlers methods that this host offers on the same connection
 */
export function connectToPeer(address: string, handlers: PeerHandlers, clock: Clock): Promise<Result<PeerConnection, Failure>> {
    const endpoint = parseAddress(address);
    if (endpoint === undefined) {
        return Promise.resolve(err(failure("unreachable", "connect", address, "the address has no host or no valid port")));
    }
    return new Promise((resolve) => {
        const socket = openSocket({ ...endpoint, noDelay: true });
        const failConnect = (reason: string) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(err(failure("unreachable", "connect", address, reason)));
        };
        const timer = setTimeout(failConnect, connectTimeoutMs, "timed out");
        const onError = (error: Error) => {
            failConnect(error.message);
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            resolve(ok(createConnection(socket, address, handlers, clock)));
        });
    });
}

/**
 * Finds out whether the process of a host still runs: until it ends, it answers on a new connection.
 * @param address its peer address
 * @param timeoutMs time for the answer once the connection is open
 */
export async function isPeerRunning(address: string, clock: Clock, timeoutMs: number): Promise<boolean> {
    const opened = await connectToPeer(address, {}, clock);
    if (opened.isErr()) {
        return false;
    }
    const reply = await opened.value.call(probeMethod, {}, timeoutMs);
    opened.value.destroy();
    return reply.isOk();
}

/**
 * Listens for connections of other hosts.
 * @param address where to listen
 * @param handlers methods that this host offers on each connection
 * @param retryForMs how long an address that is in use is tried again
 * @param onAccepted called with each connection that the listener has accepted
 */
export async function listenForPeers(
    address: string, handlers: PeerHandlers, clock: Clock, retryForMs: number, onAccepted: () => void = () => undefined,
): Promise<Result<net.Server, Failure>> {
    const server = net.createServer({ noDelay: true }, (socket) => {
        onAccepted();
        createConnection(socket, `${socket.remoteAddress ?? ""}:${String(socket.remotePort ?? 0)}`, handlers, clock);
    });
    return (await listen(server, address, clock, retryForMs)).map(() => server);
}

function createConnection(socket: net.Socket, address: string, handlers: PeerHandlers, clock: Clock): PeerConnection {
    let lastReceivedAtMs = clock.now().monoMs;
    let isMonitored = false;
    const rpc = new RpcSession(createFrameWriter(socket));

    const closed = new Promise<void>((resolve) => {
        socket.on("close", () => {
            rpc.close("the connection closed");
            resolve();
        });
    });
    socket.on("error", () => socket.destroy());
    const reader = readFrames(socket, (message) => {
        lastReceivedAtMs = clock.now().monoMs;
        rpc.receive(message);
    });

    /** Probes the connection while calls are pending, and closes it if nothing is received. */
    const monitorPendingCalls = async () => {
        isMonitored = true;
        while (rpc.pendingCount > 0 && !socket.destroyed) {
            await clock.sleep(probePeriodMs);
            if (rpc.pendingCount > 0 && clock.now().monoMs - lastReceivedAtMs > silenceTimeoutMs) {
                socket.destroy();
                break;
            }
            if (rpc.pendingCount > 0 && clock.now().monoMs - lastReceivedAtMs >= probePeriodMs) {
                rpc.request(probeMethod, {}, silenceTimeoutMs).then(undefined, () => undefined);
            }
        }
        isMonitored = false;
    };

    const connection: PeerConnection = {
        address,
        get isOpen() {
            return !socket.destroyed;
        },
        get lastReceivedAtMs() {
            return lastReceivedAtMs;
        },
        closed,
        call: async <T>(method: string, params: object, timeoutMs: number) => {
            if (rpc.pendingCount === 0) {
                lastReceivedAtMs = clock.now().monoMs;
            }
            const reply = rpc.request(method, params, Math.max(1, Math.ceil(timeoutMs)));
            if (!isMonitored) {
                void monitorPendingCalls();
            }
            try {
                return ok(await reply as T);
            }
            catch (error) {
                return err(failure("lost", "peer-call", address, `${method}: ${error instanceof Error ? error.message : String(error)}`));
            }
        },
        notify: (method, params) => {
            if (!socket.destroyed) {
                rpc.notify(method, params);
            }
        },
        detach: () => {
            reader.stop();
            socket.allowHalfOpen = true;
            return socket;
        },
        destroy: () => socket.destroy(),
    };

    rpc.registerMethod(probeMethod, () => true);
    for (const [method, handle] of Object.entries(handlers)) {
        rpc.registerMethod(method, (params) => handle(params as never, connection));
    }
    return connection;
}

/** Creates a function that writes messages as frames; frames of one turn of the event loop are written together. */
function createFrameWriter(socket: net.Socket): (message: unknown) => void {
    const packr = new Packr({ sequential: true, useRecords: true });
    let queued: Buffer[] = [];
    return (message) => {
        if (socket.destroyed) {
            return;
        }
        const packed = packr.pack(message);
        const length = Buffer.alloc(lengthPrefixBytes);
        length.writeUInt32BE(packed.length);
        queued.push(length, Buffer.from(packed));
        if (queued.length === 2) {
            setImmediate(() => {
                const frames = queued;
                queued = [];
                if (!socket.destroyed) {
                    socket.write(Buffer.concat(frames));
                }
            });
        }
    };
}

/** Reads frames; a frame that is too long or cannot be decoded closes the connection. */
function readFrames(socket: net.Socket, onMessage: (message: never) => void): SocketReader {
    const unpackr = new Unpackr({ sequential: true, useRecords: true });
    const pending = new ByteBuffer();
    /** Number of bytes up to the end of the next frame, or of its length. */
    let wantedBytes = lengthPrefixBytes;

    const readFrame = (input: Buffer, position: number): number | undefined => {
        wantedBytes = lengthPrefixBytes;
        if (input.length - position < lengthPrefixBytes) {
            return undefined;
        }
        const length = input.readUInt32BE(position);
        if (length > maxFrameBytes) {
            throw new Error(`frame of ${String(length)} bytes; allowed: ${String(maxFrameBytes)}`);
        }
        wantedBytes = lengthPrefixBytes + length;
        const end = position + wantedBytes;
        if (end > input.length) {
            return undefined;
        }
        onMessage(unpackr.unpack(input.subarray(position + lengthPrefixBytes, end)) as never);
        return end;
    };

    return readSocket(socket, (bytes) => {
        pending.append(bytes, 0, bytes.length);
        if (pending.byteCount < wantedBytes) {
            return;
        }
        const input = pending.takeAll();
        try {
            let position = 0;
            for (let end = readFrame(input, position); end !== undefined; end = readFrame(input, position)) {
                position = end;
            }
            pending.append(input, position, input.length);
        }
        catch {
            socket.destroy();
        }
    });
}
