/**
 * Checks that the client listener takes connections, by opening one as a client would: a listener may fail, or be late, while all else of
 * the host works. A check is made when readiness is asked for, one at a time.
 */
import net from "node:net";
import type { Clock } from "../model/time.js";

/** Clients allow a connection this long to be accepted. */
const maxAcceptMs = 1_000;

/** A check whose connection is not accepted within this time has failed. */
const checkTimeoutMs = 3_000;

/** Opens a connection for a check; `onError` is called later if it can't be opened, and not once it is closed. */
export type OpenCheckConnection = (onError: (code: string) => void) => CheckConnection;

/** One end of a connection. */
export interface Endpoint {
    ip: string;
    port: number;
}

/** A connection of a check, as this host opened it. */
export interface CheckConnection {
    /** Its own end, which the listener sees as the other one; undefined until it has one. */
    ownEndpoint(): Endpoint | undefined;
    close(): void;
}

/** The checks of one listener. */
export interface ListenerCheck {
    /** Starts a check if none is under way, and returns why connections are not taken; undefined as long as they are. */
    failure(nowMs: number): string | undefined;
    /** Called with the other end of each connection that the listener accepts; returns whether it is that of a check. */
    onAccepted(peer: Endpoint, nowMs: number): boolean;
    /** Ends the checks. */
    stop(): void;
}

interface RunningCheck {
    startedMs: number;
    connection: CheckConnection;
}

/** Creates the checks. */
export function createListenerCheck(open: OpenCheckConnection, clock: Clock): ListenerCheck {
    let running: RunningCheck | undefined;
    let lastFailure: string | undefined;
    let isStopped = false;

    const end = (failure: string | undefined) => {
        running?.connection.close();
        running = undefined;
        lastFailure = failure;
    };

    const start = (startedMs: number) => {
        const connection = open((code) => {
            if (running?.connection === connection) {
                end(`no connection to the client listener: ${code}`);
            }
        });
        running = { startedMs, connection };
    };

    return {
        failure: (nowMs) => {
            if (running !== undefined && nowMs - running.startedMs >= checkTimeoutMs) {
                end("connections are not accepted");
            }
            if (running === undefined && !isStopped) {
                start(nowMs);
            }
            const isLate = running !== undefined && nowMs - running.startedMs >= maxAcceptMs;
            return isLate ? "connections are accepted late" : lastFailure;
        },
        onAccepted: (peer, nowMs) => {
            const own = running?.connection.ownEndpoint();
            if (running === undefined || own?.port !== peer.port || own.ip !== peer.ip) {
                return false;
            }
            const isLate = nowMs - running.startedMs >= maxAcceptMs;
            end(isLate ? "connections are accepted late" : undefined);
            if (isLate) {
                // What is known is old: this host may have stood still meanwhile.
                start(clock.now().monoMs);
            }
            return true;
        },
        stop: () => {
            isStopped = true;
            end(lastFailure);
        },
    };
}

/**
 * Opens connections of checks to an address of this host.
 * @param address IP address and port of the listener
 */
export function checkConnectionsTo(address: string): OpenCheckConnection {
    const [host, port] = address.split(":");
    return (onError) => {
        const socket = net.connect({ host, port: Number(port) });
        socket.on("error", (error: NodeJS.ErrnoException) => {
            onError(error.code ?? error.message);
        });
        return {
            ownEndpoint: () => socket.localAddress === undefined || socket.localPort === undefined
                ? undefined
                : { ip: socket.localAddress, port: socket.localPort },
            close: () => {
                socket.removeAllListeners("error");
                socket.on("error", () => undefined);
                socket.destroy();
            },
        };
    };
}
