/** Hashes the address of a caller. All hosts have to compute the same hash. */
import { hash } from "../model/rendezvous.js";

/** Prefix of an IPv4 address on a socket that also accepts IPv6; the same caller may reach another host by IPv4 only. */
const mappedPrefix = "::ffff:";

/**
 * Returns the 32-bit hash of an address.
 * @param address IP address without a port
 */
export function hashCaller(address: string): number {
    return hash(address.startsWith(mappedPrefix) ? address.slice(mappedPrefix.length) : address);
}
