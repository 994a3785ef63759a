/** A TCP proxy on the loopback address that delays, cuts or resets what passes it. */
import net from "node:net";
import { once } from "node:events";

/** What a proxy does with connections. */
export type ProxyMode =
    | { kind: "pass" }
    /** Every piece arrives later. */
    | { kind: "delay"; delayMs: number }
    /** Nothing passes, and nobody is told. */
    | { kind: "silent" }
    /** What the far end sends is lost; what is sent to it arrives. */
    | { kind: "one-way" }
    /** Connections are reset, open ones and new ones. */
    | { kind: "reset" };

const host = "127.0.0.1";

/** One proxy in front of one address. */
export class FaultProxy {
    /** Where connections are passed on to. */
    target = "";
    private mode: ProxyMode = { kind: "pass" };
    private readonly sockets = new Set<net.Socket>();

    /** @param address where it listens */
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

    /** Changes what it does, for open connections too. */
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

    private accept(near: net.Socket): void {
        if (this.mode.kind === "reset") {
            near.resetAndDestroy();
            return;
        }
        const [targetHost, port] = this.target.split(":");
        const far = net.connect(Number(port), targetHost);
        this.join(near, far, false);
        this.join(far, near, true);
    }

    /** Passes pieces on in order, each when the mode of its moment lets it. */
    private join(from: net.Socket, to: net.Socket, isAnswer: boolean): void {
        this.sockets.add(from);
        let queue = Promise.resolve();
        const inOrder = (act: () => void) => {
            const { mode } = this;
            if (mode.kind === "silent" || (mode.kind === "one-way" && isAnswer)) {
                return;
            }
            const delayMs = mode.kind === "delay" ? mode.delayMs : 0;
            queue = queue.then(() => delayMs === 0 ? undefined : new Promise((resolve) => setTimeout(resolve, delayMs))).then(act);
        };
        from.on("data", (piece: Buffer) => {
            inOrder(() => to.write(piece));
        });
        from.on("end", () => {
            inOrder(() => to.end());
        });
        from.on("error", () => {
            to.resetAndDestroy();
        });
        from.on("close", () => {
            this.sockets.delete(from);
            inOrder(() => to.destroy());
        });
    }
}
