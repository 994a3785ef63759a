/** Hashes the address of a caller. All hosts have to compute the same hash. */

const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** Prefix of an IPv4 address on a socket that also accepts IPv6; the same caller may reach another host by IPv4 only. */
const mappedPrefix = "::ffff:";

/**
 * Returns the 32-bit FNV-1a hash of an address.
 * @param address IP address without a port
 */
export function hashCaller(address: string): number {
    let hash = offsetBasis;
    for (let index = address.startsWith(mappedPrefix) ? mappedPrefix.length : 0; index < address.length; index++) {
        hash = Math.imul(hash ^ address.charCodeAt(index), prime);
    }
    return hash >>> 0;
}
