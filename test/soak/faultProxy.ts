/** A TCP proxy on the loopback address that delays, drops or resets traffic. */
import net from "node:net";
import { once } from "node:events";

/** How a proxy treats its connections. */
export type ProxyMode =
    | { kind: "pass" }
    /** Every chunk of data arrives later. */
    | { kind: "delay"; delayMs: number }
    /** All data is dropped; connections stay open. */
    | { kind: "silent" }
    /** Data from the target is dropped; data to it arrives. */
    | { kind: "one-way" }
    /** Open and new connections are reset. */
    | { kind: "reset" };

const host = "127.0.0.1";

/** A proxy in front of one address. */
export class FaultProxy {
    /** Address that connections are forwarded to. */
    target = "";
    private mode: ProxyMode = { kind: "pass" };
    private readonly sockets = new Set<net.Socket>();

    /** @param address address at which it listens */
    private constructor(private readonly server: net.Server, readonly address: string) {}

    /** Starts a proxy on a free port. */
    static async start(): Promise<FaultProxy> {
        const server = net.createServer();
        server.listen(0, host);
        await once(server, "listening");
        const proxy = new FaultProxy(server, `${host}:${String((server.address() as net.AddressInfo).port)}`);
        server.on("connection", (socket) => {
            proxy.accept(socket);
        });
        return proxy;
    }

    /** Changes the mode, also for open connections. */
    setMode(mode: ProxyMode): void {
        this.mode = mode;
        if (mode.kind === "reset") {
            this.sockets.forEach((socket) => {
                socket.resetAndDestroy();
            });
        }
    }

    stop(): void {
        this.sockets.forEach((socket) => socket.destroy());
        this.server.close();
    }

    private accept(client: net.Socket): void {
        if (this.mode.kind === "reset") {
            client.resetAndDestroy();
            return;
        }
        const [targetHost, port] = this.target.split(":");
        const upstream = net.connect(Number(port), targetHost);
        this.forward(client, upstream, false);
        this.forward(upstream, client, true);
    }

    /** Forwards chunks in order; the mode at the arrival of a chunk decides whether it is dropped or delayed. */
    private forward(from: net.Socket, to: net.Socket, isFromTarget: boolean): void {
        this.sockets.add(from);
        let queue = Promise.resolve();
        const enqueue = (action: () => void) => {
            const { mode } = this;
            if (mode.kind === "silent" || (mode.kind === "one-way" && isFromTarget)) {
                return;
            }
            const delayMs = mode.kind === "delay" ? mode.delayMs : 0;
            queue = queue.then(() => delayMs === 0 ? undefined : new Promise((resolve) => setTimeout(resolve, delayMs))).then(action);
        };
        from.on("data", (chunk: Buffer) => {
            enqueue(() => to.write(chunk));
        });
        from.on("end", () => {
            enqueue(() => to.end());
        });
        from.on("error", () => {
            to.resetAndDestroy();
        });
        from.on("close", () => {
            this.sockets.delete(from);
            enqueue(() => to.destroy());
        });
    }
}
