/** Connections to other hosts, opened when they are first needed. */
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { PeerConnection, PeerHandlers } from "./peerConnection.js";
import { connectToPeer } from "./peerConnection.js";

/** After a failed attempt, calls fail at once for this long. */
const reconnectMs = 200;

/** Calls to other hosts. */
export interface PeerLinks {
    /** Calls a method of a host. A failure of kind `unreachable` means that the call was not sent. */
    call<T>(address: Address, method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>>;
    /** Sends a message if a connection to the host is open. */
    notify(address: Address, method: string, params: object): void;
    /** Opens a connection, or gives the open one. */
    connect(address: Address): Promise<Result<PeerConnection, Failure>>;
    close(): void;
}

interface Link {
    opening: Promise<Result<PeerConnection, Failure>>;
    /** Set once the connection is open. */
    open: PeerConnection | undefined;
    failedMs: number | undefined;
}

/**
 * Creates the links.
 * @param handlers what this host offers on every connection
 * @param clock clocks of this process
 */
export function createPeerLinks(handlers: PeerHandlers, clock: Clock): PeerLinks {
    const links = new Map<Address, Link>();
    let closed = false;

    const openLink = (address: Address): Link => {
        const link: Link = { opening: connectToPeer(address, handlers, clock), open: undefined, failedMs: undefined };
        links.set(address, link);
        void link.opening.then((opened) => {
            if (opened.isErr()) {
                link.failedMs = clock.now().monoMs;
                return;
            }
            link.open = opened.value;
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
        const isRetry = known?.failedMs !== undefined && clock.now().monoMs - known.failedMs > reconnectMs;
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
            links.get(address)?.open?.notify(method, params);
        },
        close: () => {
            closed = true;
            for (const { open } of links.values()) {
                open?.destroy();
            }
        },
    };
}
