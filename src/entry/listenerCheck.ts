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

/** One check may lose its connection to something on the way that resets it. */
const lossesUntilFailure = 2;

/** What becomes of a connection of a check; called after it was opened, and not once it is closed. */
export interface CheckConnectionEvents {
    /** It can't be opened. */
    onRefused: (code: string) => void;
    /** It was open and was lost on the way. */
    onLost: () => void;
}

/** Opens a connection for a check. */
export type OpenCheckConnection = (events: CheckConnectionEvents) => CheckConnection;

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
    /** Checks in a row whose connection was lost. */
    let lossCount = 0;
    let isStopped = false;

    const end = (failure: string | undefined) => {
        running?.connection.close();
        running = undefined;
        lastFailure = failure;
    };

    const start = (startedMs: number) => {
        const connection = open({
            onRefused: (code) => {
                if (running?.connection === connection) {
                    end(`no connection to the client listener: ${code}`);
                }
            },
            onLost: () => {
                if (running?.connection === connection) {
                    lossCount += 1;
                    end(lossCount < lossesUntilFailure ? lastFailure : "connections are closed before they are accepted");
                }
            },
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
            lossCount = 0;
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
    return ({ onRefused, onLost }) => {
        const socket = net.connect({ host, port: Number(port) });
        let isOpen = false;
        let isClosed = false;
        socket.once("connect", () => {
            isOpen = true;
        });
        socket.on("error", ({ code, message }: NodeJS.ErrnoException) => {
            if (!isClosed && !isOpen) {
                onRefused(code ?? message);
            }
        });
        socket.once("close", () => {
            if (!isClosed && isOpen) {
                onLost();
            }
        });
        return {
            ownEndpoint: () => socket.localAddress === undefined || socket.localPort === undefined
                ? undefined
                : { ip: socket.localAddress, port: socket.localPort },
            close: () => {
                isClosed = true;
                socket.destroy();
            },
        };
    };
}
