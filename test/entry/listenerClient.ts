/** A client over a raw socket, for tests of the listener. */
import { once } from "node:events";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Time without an answer after which a client gives up. */
const answerTimeoutMs = 3_000;

/** A response as received; `status` is 0 if the connection was closed before it was complete, and -1 if nothing arrived in time. */
export interface ReceivedAnswer {
    status: number;
    headers: Readonly<Record<string, string>>;
    body: string;
}

/** A connection to the listener. */
export class RawClient {
    private received = Buffer.alloc(0);
    private isClosed = false;

    private constructor(readonly socket: net.Socket) {
        socket.setNoDelay(true);
        socket.on("data", (bytes: Buffer) => {
            this.received = Buffer.concat([this.received, bytes]);
        });
        socket.on("error", () => undefined);
        // A client that has got the end of the connection sends nothing more.
        socket.on("end", () => {
            this.isClosed = true;
        });
        socket.on("close", () => {
            this.isClosed = true;
        });
    }

    /** Opens a connection. */
    static async connect(port: number): Promise<RawClient> {
        const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        await once(socket, "connect");
        return new RawClient(socket);
    }

    /** True if the listener has closed the connection. */
    get closed(): boolean {
        return this.isClosed;
    }

    /** Received bytes that no call of `readAnswer` has taken. */
    get unread(): string {
        return this.received.toString("latin1");
    }

    /** Writes pieces one by one, so that they arrive separately. */
    async write(...pieces: readonly Buffer[]): Promise<void> {
        for (const piece of pieces) {
            await new Promise<void>((resolve) => {
                this.socket.write(piece, () => {
                    resolve();
                });
            });
        }
    }

    /** Reads the next final response; interim responses are skipped. */
    async readAnswer(method = "GET", timeoutMs = answerTimeoutMs): Promise<ReceivedAnswer> {
        const head = await this.takeHead(timeoutMs);
        if (typeof head === "number") {
            return { status: head, headers: {}, body: "" };
        }
        if (head.status < 200) {
            return this.readAnswer(method, timeoutMs);
        }
        const bodyBytes = method === "HEAD" ? 0 : Number(head.headers["content-length"] ?? 0);
        if (!await this.waitFor(() => this.received.length >= bodyBytes, timeoutMs)) {
            return { status: this.isClosed ? 0 : -1, headers: head.headers, body: this.unread };
        }
        const body = this.received.subarray(0, bodyBytes).toString("latin1");
        this.received = this.received.subarray(bodyBytes);
        return { ...head, body };
    }

    /** Waits for the head of an interim or final response, and leaves it unread; returns its status, 0 or -1. */
    async peekStatus(timeoutMs = answerTimeoutMs): Promise<number> {
        const isComplete = await this.waitFor(() => this.received.includes("\r\n\r\n"), timeoutMs);
        return isComplete ? Number(this.received.subarray(9, 12).toString()) : this.isClosed ? 0 : -1;
    }

    private async takeHead(timeoutMs: number): Promise<{ status: number; headers: Record<string, string> } | 0 | -1> {
        if (!await this.waitFor(() => this.received.includes("\r\n\r\n"), timeoutMs)) {
            return this.isClosed ? 0 : -1;
        }
        const end = this.received.indexOf("\r\n\r\n");
        const [statusLine = "", ...lines] = this.received.subarray(0, end).toString("latin1").split("\r\n");
        this.received = this.received.subarray(end + 4);
        const headers = Object.fromEntries(lines.map((line) => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        return { status: Number(statusLine.slice(9, 12)), headers };
    }

    private async waitFor(isMet: () => boolean, timeoutMs: number): Promise<boolean> {
        const untilMs = performance.now() + timeoutMs;
        while (!isMet() && !this.isClosed && performance.now() < untilMs) {
            await sleep(1);
        }
        return isMet();
    }
}

/** Returns a port on which nothing listens. */
export async function freePort(): Promise<number> {
    const probe = net.createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as net.AddressInfo;
    probe.close();
    await once(probe, "close");
    return port;
}
