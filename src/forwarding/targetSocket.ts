/** Opens sockets to targets. */
import type net from "node:net";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { openSocket } from "../adapters/socketReader.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import { parseAddress } from "../model/valueSchemas.js";

/**
 * Opens a socket to a target.
 * @param address the target's address
 * @param timeoutMs time within which it must be open
 * @returns the socket, which is to be read by `readSocket` and whose two directions end independently, or a failure of kind `unreachable`
 */
export function openTargetSocket(address: Address, timeoutMs: number): Promise<Result<net.Socket, Failure>> {
    const endpoint = parseAddress(address);
    if (endpoint === undefined) {
        return Promise.resolve(err(failure("unreachable", "connect", address, "the address has no host or no valid port")));
    }
    return new Promise((resolve) => {
        const socket = openSocket({ ...endpoint, noDelay: true, allowHalfOpen: true });
        const fail = (reason: string, refused = false) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(err(failure("unreachable", "connect", address, reason, refused)));
        };
        const timer = setTimeout(fail, timeoutMs, "timed out");
        const onError = (error: NodeJS.ErrnoException) => {
            fail(error.message, error.code === "ECONNREFUSED");
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            resolve(ok(socket));
        });
    });
}
