/** Connections to other hosts, opened on first use. */
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { PeerConnection, PeerHandlers } from "./peerConnection.js";
import { connectToPeer } from "./peerConnection.js";

/** After a failed attempt to connect, calls to the host fail at once for this long. */
const reconnectDelayMs = 200;

/** Calls to other hosts. */
export interface PeerLinks {
    /** Calls a method of a host. A failure of kind `unreachable` means that the call was not sent. */
    call<T>(address: Address, method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>>;
    /** Sends a message if a connection to the host is open. */
    notify(address: Address, method: string, params: object): void;
    /** Opens a connection, or returns the open one. */
    connect(address: Address): Promise<Result<PeerConnection, Failure>>;
    close(): void;
}

interface Link {
    opening: Promise<Result<PeerConnection, Failure>>;
    /** Undefined until the connection is open. */
    connection: PeerConnection | undefined;
    /** Monotonic time at which the attempt to connect failed. */
    failedAtMs: number | undefined;
}

/**
 * Creates the links.
 * @param handlers methods that this host offers on every connection
 */
export function createPeerLinks(handlers: PeerHandlers, clock: Clock): PeerLinks {
    const links = new Map<Address, Link>();
    let closed = false;

    const openLink = (address: Address): Link => {
        const link: Link = { opening: connectToPeer(address, handlers, clock), connection: undefined, failedAtMs: undefined };
        links.set(address, link);
        void link.opening.then((opened) => {
            if (opened.isErr()) {
                link.failedAtMs = clock.now().monoMs;
                return;
            }
            link.connection = opened.value;
            void opened.value.closed.then(() => {
                if (links.get(address) === link) {
                    links.delete(address);
                }
            });
        });
        return link;
    };

    const connect = async (address: Address): Promise<Result<PeerConnection, Failure>> => {
        if (closed) {
            return err(failure("unreachable", "connect", address, "this host is stopping"));
        }
        const known = links.get(address);
        const isRetry = known?.failedAtMs !== undefined && clock.now().monoMs - known.failedAtMs > reconnectDelayMs;
        const link = known === undefined || isRetry ? openLink(address) : known;
        return link.opening;
    };

    return {
        connect,
        call: async <T>(address: Address, method: string, params: object, timeoutMs: number) => {
            const connection = await connect(address);
            return connection.isErr() ? err(connection.error) : connection.value.call<T>(method, params, timeoutMs);
        },
        notify: (address, method, params) => {
            links.get(address)?.connection?.notify(method, params);
        },
        close: () => {
            closed = true;
            for (const { connection } of links.values()) {
                connection?.destroy();
            }
        },
    };
}
