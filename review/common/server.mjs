/** A server of the platform: it registers itself, runs requests in a few slots, and can answer with bytes of its own. */
import net from "node:net";
import { serversTopic } from "./fleet.mjs";

const heartbeatMs = 500;
const slots = 3;
const maxQueued = 12;

/** Reads requests from a connection: calls `onRequest` for each one with its head and body. */
export function readRequests(socket, onRequest) {
    let pending = Buffer.alloc(0);
    socket.on("data", (bytes) => {
        pending = Buffer.concat([pending, bytes]);
        for (;;) {
            const start = pending.subarray(0, 2).toString("latin1") === "\r\n" ? 2 : 0;
            const end = pending.indexOf("\r\n\r\n", start);
            if (end < 0) {
                return;
            }
            const lines = pending.toString("latin1", start, end).split("\r\n");
            const [method, path] = lines[0].split(" ");
            const headers = Object.fromEntries(lines.slice(1).map((line) => {
                const colon = line.indexOf(":");
                return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
            }));
            const length = Number(headers["content-length"] ?? 0);
            if (pending.length < end + 4 + length) {
                return;
            }
            const body = pending.subarray(end + 4, end + 4 + length);
            pending = pending.subarray(end + 4 + length);
            onRequest({ method, path, headers, body });
        }
    });
}

/** Writes an answer. */
export function respond(socket, status, headers, body = "") {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(`HTTP/1.1 ${String(status)} X\r\n${lines}Content-Length: ${String(Buffer.byteLength(body))}\r\n\r\n${body}`);
}

/**
 * Starts a server.
 * @param options `id`, `service`, `workMs`, `fleet`, `record`, `answer`: returns bytes, or a function that is given the socket, to send in
 * place of the usual answer, or undefined for the usual one
 */
export async function startServer({ id, service, workMs, fleet, record, answer = () => undefined }) {
    const runs = [];
    const queue = [];
    let running = 0;
    let sequence = 0;
    const born = Date.now();

    const finish = (socket, request, requestId) => {
        const own = answer(request);
        if (own !== undefined) {
            record("odd answer", { server: id, request: requestId });
            if (typeof own === "function") {
                own(socket);
            }
            else {
                socket.write(own);
            }
            return;
        }
        const body = `answer to ${requestId}`;
        respond(socket, 200, { "Request-Id": requestId, "Response-Signature": `signed-${requestId}`, "Instance-Id": id }, body);
    };

    const run = (socket, request) => {
        const requestId = request.headers["request-id"];
        running += 1;
        runs.push({ requestId, atMs: performance.now() });
        setTimeout(() => {
            running -= 1;
            queue.shift()?.();
            finish(socket, request, requestId);
        }, workMs);
    };

    const onRequest = (socket, request) => {
        const requestId = request.headers["request-id"];
        if (request.path === "/health") {
            respond(socket, 200, { "Instance-Id": id });
        }
        else if (requestId === undefined) {
            respond(socket, 400, { "Not-Executed": "1" });
        }
        else if (request.headers["target-instance"] !== undefined && request.headers["target-instance"] !== id) {
            respond(socket, 421, { "Request-Id": requestId, "Not-Executed": "1" });
        }
        else if (running < slots) {
            run(socket, request);
        }
        else if (queue.length < maxQueued) {
            queue.push(() => {
                if (!socket.destroyed) {
                    run(socket, request);
                }
            });
        }
    };

    const server = net.createServer({ noDelay: true }, (socket) => {
        socket.on("error", () => socket.destroy());
        readRequests(socket, (request) => {
            onRequest(socket, request);
        });
    });
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${String(server.address().port)}`;

    const writeEntry = () => {
        sequence += 1;
        return fleet.put(serversTopic, id, {
            service, address, zone: "here", version: "v1", max_concurrency: slots, state: "ready", warmup_left_ms: 0, sequence, born,
        }).catch(() => undefined);
    };
    await writeEntry();
    const timer = setInterval(writeEntry, heartbeatMs);
    record("server started", { id, address });
    return { id, address, runs, stop: () => {
        clearInterval(timer);
        server.close();
    } };
}
