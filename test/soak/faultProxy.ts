/** A TCP proxy on the loopback address that delays, drops or resets traffic. */
import net from "node:net";
import { once } from "node:events";

/** How a proxy treats its connections. */
export type ProxyMode =
    | { kind: "pass" }
    /** Each chunk waits this long, counted from when the chunk before it was forwarded, or from its arrival if that is later. */
    | { kind: "delay"; delayMs: number }
    /** All data is dropped; connections stay open. */
    | { kind: "silent" }
    /** Data from the upstream address is dropped; data to it arrives. */
    | { kind: "one-way" }
    /** Open and new connections are reset. */
    | { kind: "reset" };

const loopbackAddress = "127.0.0.1";

/** A proxy in front of one address. */
export class FaultProxy {
    /** Address that connections are forwarded to. */
    upstreamAddress = "";
    private mode: ProxyMode = { kind: "pass" };
    private readonly sockets = new Set<net.Socket>();

    /** @param address address at which it listens */
    private constructor(private readonly server: net.Server, readonly address: string) {}

    /** Starts a proxy on a free port. */
    static async start(): Promise<FaultProxy> {
        const server = net.createServer();
        server.listen(0, loopbackAddress);
        await once(server, "listening");
        const proxy = new FaultProxy(server, `${loopbackAddress}:${String((server.address() as net.AddressInfo).port)}`);
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

    private accept(downstream: net.Socket): void {
        if (this.mode.kind === "reset") {
            downstream.resetAndDestroy();
            return;
        }
        const [upstreamHost, upstreamPort] = this.upstreamAddress.split(":");
        const upstream = net.connect(Number(upstreamPort), upstreamHost);
        this.forward(downstream, upstream, false);
        this.forward(upstream, downstream, true);
    }

    /** Forwards chunks in order; the mode at the arrival of a chunk decides whether it is dropped or delayed. */
    private forward(from: net.Socket, to: net.Socket, isFromUpstream: boolean): void {
        this.sockets.add(from);
        let queue = Promise.resolve();
        const enqueue = (action: () => void) => {
            const { mode } = this;
            if (mode.kind === "silent" || (mode.kind === "one-way" && isFromUpstream)) {
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
