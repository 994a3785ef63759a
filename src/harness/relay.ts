/** A TCP relay whose open connections can go silent for good while new ones work. */
import net from "node:net";

const ip = "127.0.0.1";

/** A running relay. */
export interface Relay {
    address: string;
    /** Loses track of the connections that are open now: nothing passes, nothing is closed. */
    silenceOpen(): void;
    stop(): void;
}

/**
 * Starts a relay.
 * @param target IP number and port that it passes connections on to
 * @returns the running relay
 */
export async function startRelay(target: string): Promise<Relay> {
    const [host = ip, port = "0"] = target.split(":");
    const open = new Set<{ inner: net.Socket; outer: net.Socket }>();
    const server = net.createServer({ noDelay: true }, (outer) => {
        const inner = net.connect({ host, port: Number(port), noDelay: true });
        const pair = { inner, outer };
        open.add(pair);
        const close = () => {
            open.delete(pair);
            inner.destroy();
            outer.destroy();
        };
        for (const socket of [inner, outer]) {
            socket.on("error", close);
            socket.on("close", close);
        }
        outer.pipe(inner);
        inner.pipe(outer);
    });
    await new Promise<void>((resolve) => server.listen(0, ip, resolve));
    const { port: listenPort } = server.address() as net.AddressInfo;
    return {
        address: `${ip}:${String(listenPort)}`,
        silenceOpen: () => {
            for (const { inner, outer } of open) {
                outer.unpipe(inner);
                inner.unpipe(outer);
                // Bytes are still read, so that neither end notices anything.
                outer.resume();
                inner.resume();
            }
        },
        stop: () => {
            server.close();
        },
    };
}
