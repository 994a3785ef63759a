/** A sound server without keys: runs each request for some time and answers it; drops a request when its connection closes. */
import http from "node:http";
import { loopback } from "./fleet.mjs";

/**
 * Starts a server.
 * @param options its port, its id, a function that returns the time of work and one that returns the body, by path
 * @param record writes a line to the record of the case
 * @returns the runs by request id
 */
export async function startServer({ port, id, workMsOf, bodyOf = () => Buffer.from("ok") }, record) {
    const runs = new Map();
    const server = http.createServer((request, response) => {
        if (request.url === "/health") {
            response.writeHead(200, { "Instance-Id": id }).end();
            return;
        }
        if (request.headers["target-instance"] !== id) {
            response.writeHead(421).end();
            return;
        }
        const requestId = request.headers["request-id"];
        const run = { startedMs: Date.now(), state: "at work" };
        runs.set(requestId, run);
        record(`server ${id}: begins ${requestId}`);
        const timer = setTimeout(() => {
            const body = bodyOf(request.url);
            run.state = "answered";
            response.writeHead(200, { "Request-Id": requestId, "Response-Signature": `signed-${requestId}`, "Content-Length": body.length });
            response.end(body);
        }, workMsOf(request.url));
        response.once("close", () => {
            clearTimeout(timer);
            if (run.state === "at work") {
                run.state = `dropped after ${Date.now() - run.startedMs} ms, since its connection closed`;
                record(`server ${id}: ${requestId} ${run.state}`);
            }
        });
    });
    await new Promise((resolve) => {
        server.listen(port, loopback, resolve);
    });
    return runs;
}
