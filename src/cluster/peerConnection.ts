/**
 * JSON-RPC 2.0 between hosts over one TCP connection, in both directions. Messages are MessagePack frames rather than
 * JSON text, since bytes between data centres are dear.
 */
import net from "node:net";
import { Packr, Unpackr } from "msgpackr";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import { RpcSession } from "./rpcSession.js";

const connectTimeoutMs = 300;
const lengthBytes = 4;
const maxFrameBytes = 8_388_608;

/** Period at which a connection is probed while a call on it is unanswered. */
const probeMs = 200;

/** A connection on which a call is unanswered ends when nothing was heard for this long. */
const silentAfterMs = 600;

const probeMethod = "probe";

/** Functions that a host offers to others, by method. */
export type PeerHandlers = Record<string, (params: never, from: PeerConnection) => unknown>;

/** A connection to another host. */
export interface PeerConnection {
    readonly address: string;
    readonly isOpen: boolean;
    /** Monotonic time at which the last message came. */
    readonly lastHeardMs: number;
    readonly closed: Promise<void>;
    /**
     * Calls a method and waits for its result.
     * @param timeoutMs how long to wait
     */
    call<T>(method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>>;
    /** Sends a message that has no result. */
    notify(method: string, params: object): void;
    destroy(): void;
}

/**
 * Connects to a host.
 * @param address where it listens for hosts
 * @param handlers what this host offers on the same connection
 * @param clock clocks of this process
 */
export function connectToPeer(address: string, handlers: PeerHandlers, clock: Clock): Promise<Result<PeerConnection, Failure>> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
        const socket = net.connect({ host, port: Number(port), noDelay: true });
        const giveUp = (reason: string) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(err(failure("unreachable", "connect", address, reason)));
        };
        const timer = setTimeout(giveUp, connectTimeoutMs, "timed out");
        const onError = (error: Error) => {
            giveUp(error.message);
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            resolve(ok(attach(socket, address, handlers, clock)));
        });
    });
}

/**
 * Listens for other hosts.
 * @param address where to listen
 * @param handlers what this host offers
 * @param clock clocks of this process
 * @returns the listener
 */
export async function listenForPeers(address: string, handlers: PeerHandlers, clock: Clock): Promise<net.Server> {
    const server = net.createServer({ noDelay: true }, (socket) => {
        attach(socket, `${socket.remoteAddress ?? ""}:${String(socket.remotePort ?? 0)}`, handlers, clock);
    });
    const [host, port] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, resolve);
    });
    return server;
}

function attach(socket: net.Socket, address: string, handlers: PeerHandlers, clock: Clock): PeerConnection {
    let lastHeardMs = clock.now().monoMs;
    let isWatched = false;
    const rpc = new RpcSession(createFrameWriter(socket));

    const closed = new Promise<void>((resolve) => {
        socket.on("close", () => {
            rpc.end("the connection closed");
            resolve();
        });
    });
    socket.on("error", () => socket.destroy());
    onFrames(socket, (message) => {
        lastHeardMs = clock.now().monoMs;
        rpc.receive(message);
    });

    /** Ends the connection when nothing is heard while calls wait. */
    const watch = async () => {
        isWatched = true;
        while (rpc.pendingCount > 0 && !socket.destroyed) {
            await clock.sleep(probeMs);
            if (rpc.pendingCount > 0 && clock.now().monoMs - lastHeardMs > silentAfterMs) {
                socket.destroy();
                break;
            }
            if (rpc.pendingCount > 0 && clock.now().monoMs - lastHeardMs >= probeMs) {
                rpc.request(probeMethod, {}, silentAfterMs).then(undefined, () => undefined);
            }
        }
        isWatched = false;
    };

    const connection: PeerConnection = {
        address,
        get isOpen() {
            return !socket.destroyed;
        },
        get lastHeardMs() {
            return lastHeardMs;
        },
        closed,
        call: async <T>(method: string, params: object, timeoutMs: number) => {
            if (rpc.pendingCount === 0) {
                lastHeardMs = clock.now().monoMs;
            }
            const reply = rpc.request(method, params, Math.max(1, Math.ceil(timeoutMs)));
            if (!isWatched) {
                void watch();
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
        destroy: () => socket.destroy(),
    };

    rpc.offer(probeMethod, () => true);
    for (const [method, handle] of Object.entries(handlers)) {
        rpc.offer(method, (params) => handle(params as never, connection));
    }
    return connection;
}

/** Writes messages as frames; those of one turn of the event loop go out together. */
function createFrameWriter(socket: net.Socket): (message: unknown) => void {
    const packr = new Packr({ sequential: true, useRecords: true });
    let queued: Buffer[] = [];
    return (message) => {
        if (socket.destroyed) {
            return;
        }
        const packed = packr.pack(message);
        const length = Buffer.alloc(lengthBytes);
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

/** Reads frames; a frame that cannot be read ends the connection. */
function onFrames(socket: net.Socket, onMessage: (message: never) => void): void {
    const unpackr = new Unpackr({ sequential: true, useRecords: true });
    let pending: Buffer = Buffer.alloc(0);
    socket.on("data", (bytes: Buffer) => {
        pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
        while (pending.length >= lengthBytes) {
            const length = pending.readUInt32BE(0);
            if (length > maxFrameBytes) {
                socket.destroy();
                return;
            }
            if (pending.length < lengthBytes + length) {
                return;
            }
            const frame = pending.subarray(lengthBytes, lengthBytes + length);
            pending = pending.subarray(lengthBytes + length);
            try {
                onMessage(unpackr.unpack(frame) as never);
            }
            catch {
                socket.destroy();
                return;
            }
        }
    });
}
