/** A client's connection over which requests can be sent before earlier ones are answered; reads the answers in order. */
import net from "node:net";
import { loopback, sleep } from "./fleet.mjs";

const lineEnd = "\r\n";
const headEnd = Buffer.from("\r\n\r\n");

/** Opens a connection to a host. */
export function openConnection(host) {
    const socket = net.connect(host.clientPort, loopback);
    const answers = [];
    let input = Buffer.alloc(0);
    let isClosed = false;
    let wake = () => undefined;

    const parse = () => {
        for (let end = input.indexOf(headEnd); end >= 0; end = input.indexOf(headEnd)) {
            const head = input.toString("latin1", 0, end);
            const bodyAt = end + headEnd.length;
            const bodyBytes = Number(/^content-length: ([0-9]+)/im.exec(head)?.[1] ?? Number.NaN);
            if (Number.isNaN(bodyBytes) || input.length < bodyAt + bodyBytes) {
                return;
            }
            answers.push({
                status: Number(head.slice("HTTP/1.1 ".length, "HTTP/1.1 200".length)), requestId: /^request-id: (.*)$/im.exec(head)?.[1],
                signature: /^response-signature: (.*)$/im.exec(head)?.[1], closes: /^connection: close/im.test(head), atMs: Date.now(),
                body: input.subarray(bodyAt, bodyAt + bodyBytes),
            });
            input = input.subarray(bodyAt + bodyBytes);
        }
    };

    socket.on("data", (bytes) => {
        input = Buffer.concat([input, bytes]);
        parse();
        wake();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        isClosed = true;
        wake();
    });

    return {
        /** Sends requests in one piece; each has a path and an id. */
        send: (...requests) => {
            socket.write(requests.map(({ path, id, method = "GET", budgetMs = 8_000 }) => [
                `${method} ${path} HTTP/1.1`, "Host: case.example", `Request-Id: ${id}`, `Deadline-Ms: ${budgetMs}`,
                ...method === "GET" ? [] : ["Content-Length: 0"], "", "",
            ].join(lineEnd)).join(""));
        },
        /** Waits for so many answers since the connection was opened, or for its end. */
        answersUpTo: async (count, timeoutMs) => {
            const endMs = Date.now() + timeoutMs;
            while (answers.length < count && !isClosed && Date.now() < endMs) {
                await Promise.race([new Promise((resolve) => {
                    wake = resolve;
                }), sleep(50)]);
            }
            return { answers, isClosed, restBytes: input.length };
        },
        close: () => socket.destroy(),
    };
}

/** Sends one request on a connection of its own, and returns its answer; undefined if there is none. */
export async function ask(host, request, timeoutMs) {
    const connection = openConnection(host);
    connection.send(request);
    const { answers: [answer] } = await connection.answersUpTo(1, timeoutMs);
    connection.close();
    return answer;
}
