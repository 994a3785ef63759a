/** A target of a service without keys that answers each request with bytes that a test chooses. */
import { once } from "node:events";
import net from "node:net";
import { topics } from "../../platform/names.js";
import type { Directory } from "../../platform/standins/serverStandIn.js";

const host = "127.0.0.1";
const heartbeatMs = 300;
const slots = 4;
const headEnd = "\r\n\r\n";

/** A request that reached the target. */
export interface ReceivedRequest {
    requestId: string;
    method: string;
    path: string;
}

/** Reacts to a request whose head has arrived. `requestCount` is the number of requests on the connection so far, with this one. */
export type Reaction = (socket: net.Socket, request: ReceivedRequest, requestCount: number) => void;

/** A running target. */
export interface ScriptedTarget {
    readonly id: string;
    readonly address: string;
    /** Every request that arrived, in order. */
    readonly received: readonly ReceivedRequest[];
    /** Number of connections accepted so far. */
    readonly connectionCount: number;
    /** Used for all requests from now on. */
    react: Reaction;
    stop(): void;
}

/** Starts a target and registers it in the service directory. */
export async function startScriptedTarget(directory: Directory, id: string, service: string): Promise<ScriptedTarget> {
    const received: ReceivedRequest[] = [];
    const sockets = new Set<net.Socket>();
    let connectionCount = 0;
    const server = net.createServer({ noDelay: true }, (socket) => {
        connectionCount += 1;
        sockets.add(socket);
        let pending = "";
        let requestCount = 0;
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", (bytes: Buffer) => {
            pending += bytes.toString("latin1");
            for (let end = pending.indexOf(headEnd); end >= 0; end = pending.indexOf(headEnd)) {
                const head = pending.slice(0, end);
                const bodyBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
                const [method = "", path = ""] = head.split(" ");
                const request = { requestId: /^request-id: (\S+)/im.exec(head)?.[1] ?? "", method, path };
                pending = pending.slice(end + headEnd.length + bodyBytes);
                requestCount += 1;
                received.push(request);
                target.react(socket, request, requestCount);
            }
        });
    });
    server.listen(0, host);
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    const bornWallMs = Date.now();
    let sequence = 0;
    const writeEntry = () => {
        sequence += 1;
        directory.put(topics.targets, id, {
            service, address: `${host}:${String(port)}`, zone: "here", version: "v1", max_concurrency: slots, state: "ready",
            warmup_left_ms: 0, sequence, born: bornWallMs,
        });
    };
    writeEntry();
    const timer = setInterval(writeEntry, heartbeatMs);
    const target: ScriptedTarget = {
        id, received, address: `${host}:${String(port)}`,
        get connectionCount() {
            return connectionCount;
        },
        react: (socket, request) => {
            socket.write(signedAnswer(request.requestId, "ok"));
        },
        stop: () => {
            clearInterval(timer);
            server.close();
            sockets.forEach((socket) => socket.destroy());
        },
    };
    return target;
}

/** Formats a response with the request's id. */
export function answerBytes(requestId: string, status: number, headers: readonly string[], body: string): string {
    const lines = [`HTTP/1.1 ${String(status)} Some`, `Request-Id: ${requestId}`, ...headers, `Content-Length: ${String(body.length)}`];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Formats the response of a target that has run the request. */
export function signedAnswer(requestId: string, body: string, status = 200): string {
    return answerBytes(requestId, status, [`Response-Signature: signed-${requestId}`], body);
}
