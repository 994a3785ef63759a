/** Helpers for tests that talk to the listener over sockets. */
import { once } from "node:events";
import net from "node:net";

/** Returns a port on which nothing listens. */
export async function freePort(): Promise<number> {
    const probe = net.createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as net.AddressInfo;
    probe.close();
    await once(probe, "close");
    return port;
}
