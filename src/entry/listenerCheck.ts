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

/** What becomes of a connection of a check; called after `OpenCheckConnection` has returned, and not once the connection is closed. */
export interface CheckConnectionEvents {
    /** It is open; `own` is this host's end of it, which the listener sees as the other one. */
    onOpen: (own: Endpoint) => void;
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

/** A connection that the listener has accepted. */
export interface AcceptedConnection {
    peer: Endpoint;
    atMs: number;
    /** Closes it if it turns out to be that of a check. */
    close: () => void;
}

/** A connection of a check, as this host opened it. */
export interface CheckConnection {
    close(): void;
}

/** The checks of one listener. */
export interface ListenerCheck {
    /** Starts a check if none is under way, and returns why connections are not taken, by the last ones; undefined as long as they are. */
    run(nowMs: number): string | undefined;
    /** Called with each connection that the listener accepts; one of a check is closed, at once or soon. */
    onAccepted(accepted: AcceptedConnection): void;
    /** Ends the checks. */
    stop(): void;
}

interface RunningCheck {
    startedMs: number;
    connection: CheckConnection;
    /** This host's end; undefined until the connection is open. */
    own: Endpoint | undefined;
    /** Accepted since the start of the check and before its connection was known to be open. */
    acceptedEarly: AcceptedConnection[];
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
            onOpen: (own) => {
                if (running?.connection === connection) {
                    running.own = own;
                    running.acceptedEarly.splice(0).forEach(endIfOwn);
                }
            },
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
        running = { startedMs, connection, own: undefined, acceptedEarly: [] };
    };

    /** Ends the check if the accepted connection is its own. */
    const endIfOwn = ({ peer, atMs, close }: AcceptedConnection) => {
        if (running?.own === undefined || running.own.port !== peer.port || running.own.ip !== peer.ip) {
            return;
        }
        const isLate = atMs - running.startedMs >= maxAcceptMs;
        close();
        lossCount = 0;
        end(isLate ? "connections are accepted late" : undefined);
        if (isLate) {
            // This host may have been suspended since the check began; another one tells how it is now.
            start(clock.now().monoMs);
        }
    };

    return {
        run: (nowMs) => {
            if (running !== undefined && nowMs - running.startedMs >= checkTimeoutMs) {
                end("connections are not accepted");
            }
            if (running === undefined && !isStopped) {
                start(nowMs);
            }
            const isLate = running !== undefined && nowMs - running.startedMs >= maxAcceptMs;
            return isLate ? "connections are accepted late" : lastFailure;
        },
        onAccepted: (accepted) => {
            if (running !== undefined && running.own === undefined) {
                running.acceptedEarly.push(accepted);
            }
            else {
                endIfOwn(accepted);
            }
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
    return ({ onOpen, onRefused, onLost }) => {
        const socket = net.connect({ host, port: Number(port) });
        let isOpen = false;
        let isClosed = false;
        socket.once("connect", () => {
            isOpen = true;
            const { localAddress, localPort } = socket;
            // Neither is known any more if the connection was reset meanwhile; its end follows.
            if (!isClosed && localAddress !== undefined && localPort !== undefined) {
                onOpen({ ip: localAddress, port: localPort });
            }
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
            close: () => {
                isClosed = true;
                socket.destroy();
            },
        };
    };
}
