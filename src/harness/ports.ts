/** Free addresses on the loopback device. */
import net from "node:net";

/** IP number of every process of a fleet. */
export const loopback = "127.0.0.1";

/** Below the ports that the system gives to outgoing connections, which would otherwise take a free one first. */
const firstPort = 10_000 + process.pid % 200 * 100;
const portCount = 20_000;
let portsTried = 0;

/**
 * Finds a free port by listening for a moment.
 * @returns IP number and port
 */
export async function freeAddress(): Promise<string> {
    for (;;) {
        const port = 10_000 + (firstPort - 10_000 + portsTried) % portCount;
        portsTried += 1;
        if (await canListen(port)) {
            return `${loopback}:${String(port)}`;
        }
    }
}

function canListen(port: number): Promise<boolean> {
    return new Promise((resolve) => {
        const probe = net.createServer();
        probe.once("error", () => {
            resolve(false);
        });
        probe.listen(port, loopback, () => {
            probe.close(() => {
                resolve(true);
            });
        });
    });
}
