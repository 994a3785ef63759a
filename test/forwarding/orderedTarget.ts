/** A target that answers the requests on a connection in order, as a test scripts it, and may write earlier responses once more. */
import { once } from "node:events";
import net from "node:net";

const headEnd = "\r\n\r\n";

/** A request that has arrived. */
export interface ArrivedRequest {
    requestId: string;
    method: string;
    /** Number of earlier requests with the same id on the connection. */
    earlierOnConnection: number;
    /** What was written on the connection so far. */
    responses: readonly string[];
    /** Writes a response, or a copy of one. */
    write(response: string): void;
    /** Records that the request runs. */
    run(): void;
}

/** Answers a request; the next one on the connection is read only when it has resolved. */
export type AnswerScript = (request: ArrivedRequest) => Promise<void> | void;

/** Serves connections by a script. */
export class OrderedTarget {
    /** Ids of the requests that ran, in order. */
    readonly runs: string[] = [];
    private server: net.Server | undefined;
    private readonly sockets = new Set<net.Socket>();

    /** @param script answers each request */
    constructor(private readonly script: AnswerScript) {}

    /** Listens on a port of its own; returns the address. */
    async listen(): Promise<string> {
        this.server = net.createServer({ noDelay: true }, (socket) => {
            this.serve(socket);
        });
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${String((this.server.address() as net.AddressInfo).port)}`;
    }

    stop(): void {
        this.server?.close();
        this.sockets.forEach((socket) => socket.destroy());
    }

    /** Serves one connection. */
    serve(socket: net.Socket): void {
        this.sockets.add(socket);
        const countById = new Map<string, number>();
        let input = "";
        const responses: string[] = [];
        let served = Promise.resolve();
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", (bytes: Buffer) => {
            input += bytes.toString("latin1");
            for (let end = input.indexOf(headEnd); end >= 0; end = input.indexOf(headEnd)) {
                const head = input.slice(0, end);
                const bodyBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
                input = input.slice(end + headEnd.length + bodyBytes);
                const requestId = /^request-id: (\S+)/im.exec(head)?.[1] ?? "";
                const earlierOnConnection = countById.get(requestId) ?? 0;
                countById.set(requestId, earlierOnConnection + 1);
                served = served.then(() => this.script({
                    requestId, method: head.slice(0, head.indexOf(" ")), earlierOnConnection, responses,
                    write: (response) => {
                        responses.push(response);
                        socket.write(response);
                    },
                    run: () => this.runs.push(requestId),
                }));
            }
        });
    }
}

/** Body of the response to a request that has run. */
export function bodyOf(requestId: string): string {
    return `answer to ${requestId}`;
}

/** Formats a response of a target that has run the request. */
export function answerOf(requestId: string, status = 200, method = "GET"): string {
    const body = bodyOf(requestId);
    return `HTTP/1.1 ${String(status)} Some\r\nRequest-Id: ${requestId}\r\nResponse-Signature: signed-${requestId}\r\n`
        + `Content-Length: ${String(body.length)}\r\n\r\n${method === "HEAD" ? "" : body}`;
}

/** Formats a rejection; it names its request if `requestId` is given. */
export function rejectionOf(requestId?: string): string {
    const idHeader = requestId === undefined ? "" : `Request-Id: ${requestId}\r\n`;
    return `HTTP/1.1 503 Busy\r\n${idHeader}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}
