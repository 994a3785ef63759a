/** JSON-RPC 2.0 over TCP between the system's processes, one JSON text a line. */
import { timingSafeEqual } from "node:crypto";
import net from "node:net";
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import type { JSONRPCRequest, JSONRPCResponse } from "json-rpc-2.0";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import split2 from "split2";
import { z } from "zod";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { RpcHandlers, RpcLink } from "../coordinator/peerPort.js";

const connectTimeoutMs = 300;
const probeMs = 200;
const silentAfterMs = 600;
const maxLineBytes = 8_388_608;
const helloMethod = "hello";

const helloSchema = z.strictObject({ sharedKey: z.string().max(1_000), host: z.string().max(200) });

interface Connection {
    socket: net.Socket;
    client: JSONRPCClient;
    lastHeardMs: number;
    outstanding: number;
}

/**
 * Creates a link to one peer. It connects on demand, and drops a connection that went silent under a call.
 * @param address IP number and port of the peer
 * @param identity shared key and the name of this host
 * @param clock clocks of this process
 * @returns the link
 */
export function createRpcLink(address: string, identity: { sharedKey: string; host: string }, clock: Clock): RpcLink {
    const [ip = "", port = "0"] = address.split(":");
    let connecting: Promise<Result<Connection, Failure>> | undefined;
    let closed = false;

    const open = async (): Promise<Result<Connection, Failure>> => {
        const connected = await connect(ip, Number(port));
        if (connected === undefined) {
            connecting = undefined;
            return err(failure("unreachable", "connect", address, "no connection"));
        }
        const connection = attach(connected, clock, () => {
            connecting = undefined;
        });
        void watch(connection, clock);
        connection.client.notify(helloMethod, identity);
        return ok(connection);
    };

    return {
        call: async <T>(method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>> => {
            if (closed) {
                return err(failure("unreachable", "peer-call", address, "the link is closed"));
            }
            connecting ??= open();
            const opened = await connecting;
            if (opened.isErr()) {
                return err(opened.error);
            }
            const connection = opened.value;
            connection.outstanding += 1;
            try {
                return ok(await connection.client.timeout(Math.max(1, timeoutMs)).request(method, params) as T);
            }
            catch (error) {
                return err(failure("lost", "peer-call", address, error instanceof Error ? error.message : String(error)));
            }
            finally {
                connection.outstanding -= 1;
            }
        },
        close: () => {
            closed = true;
            void connecting?.then((opened) => opened.map((connection) => connection.socket.destroy()));
        },
    };
}

/** Drops a connection on which calls wait and nothing comes back, not even the answer to a probe. */
async function watch(connection: Connection, clock: Clock): Promise<void> {
    while (!connection.socket.destroyed) {
        await clock.sleep(probeMs);
        if (connection.outstanding === 0) {
            connection.lastHeardMs = clock.now().monoMs;
            continue;
        }
        if (clock.now().monoMs - connection.lastHeardMs > silentAfterMs) {
            connection.socket.destroy(new Error("the connection went silent"));
            return;
        }
        connection.client.request("probe", {}).then(undefined, () => undefined);
    }
}

function connect(host: string, port: number): Promise<net.Socket | undefined> {
    return new Promise((resolve) => {
        const socket = net.connect({ host, port, noDelay: true });
        const giveUp = () => {
            socket.destroy();
            resolve(undefined);
        };
        const timer = setTimeout(giveUp, connectTimeoutMs);
        socket.once("error", giveUp);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", giveUp);
            resolve(socket);
        });
    });
}

function attach(socket: net.Socket, clock: Clock, onClose: () => void): Connection {
    const client = new JSONRPCClient((request: JSONRPCRequest) => {
        socket.write(`${JSON.stringify(request)}\n`);
    });
    const connection: Connection = { socket, client, lastHeardMs: clock.now().monoMs, outstanding: 0 };
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
        onClose();
        client.rejectAllPendingRequests("the connection closed");
    });
    onLines(socket, (line) => {
        connection.lastHeardMs = clock.now().monoMs;
        client.receive(JSON.parse(line) as JSONRPCResponse);
    });
    return connection;
}

function onLines(socket: net.Socket, onLine: (line: string) => void): void {
    const lines = split2({ maxLength: maxLineBytes });
    lines.on("error", () => socket.destroy());
    lines.on("data", (line: string) => {
        try {
            onLine(line);
        }
        catch {
            socket.destroy();
        }
    });
    socket.pipe(lines);
}

/** What a listening process checks of those that connect. */
export interface RpcAdmission {
    sharedKey: string;
    /** IP numbers that the host list or the settings name. */
    isKnownAddress(ip: string): boolean;
}

/**
 * Listens for peers. A connection must come from a known address and show the shared key before any call.
 * @param address IP number and port to listen on
 * @param admission who may speak
 * @param handlers functions by method name
 * @returns the listening server
 */
export async function listenRpc(address: string, admission: RpcAdmission, handlers: RpcHandlers): Promise<net.Server> {
    const rpc = new JSONRPCServer({ errorListener: () => undefined });
    rpc.addMethod("probe", () => true);
    for (const [method, handle] of Object.entries(handlers)) {
        rpc.addMethod(method, (params: unknown) => handle(params as never));
    }
    const server = net.createServer({ noDelay: true }, (socket) => {
        serve(socket, rpc, admission);
    });
    const [host, port] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, resolve);
    });
    return server;
}

function serve(socket: net.Socket, rpc: JSONRPCServer, admission: RpcAdmission): void {
    let greeted = false;
    socket.on("error", () => socket.destroy());
    if (!admission.isKnownAddress((socket.remoteAddress ?? "").replace("::ffff:", ""))) {
        socket.destroy();
        return;
    }
    onLines(socket, (line) => {
        const request = JSON.parse(line) as JSONRPCRequest;
        if (!greeted) {
            greeted = request.method === helloMethod && isSharedKey(request.params, admission.sharedKey);
            if (!greeted) {
                socket.destroy();
            }
            return;
        }
        void rpc.receive(request).then((response) => {
            if (response && !socket.destroyed) {
                socket.write(`${JSON.stringify(response)}\n`);
            }
        });
    });
}

function isSharedKey(params: unknown, sharedKey: string): boolean {
    const hello = helloSchema.safeParse(params);
    if (!hello.success) {
        return false;
    }
    const offered = Buffer.from(hello.data.sharedKey);
    const expected = Buffer.from(sharedKey);
    return offered.length === expected.length && timingSafeEqual(offered, expected);
}
