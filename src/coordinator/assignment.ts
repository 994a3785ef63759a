/** Spreads the cells over the live hosts evenly, and with few changes when hosts come and go. */
import type { CellId, HostId } from "../model/ids.js";
import { rendezvousOrder } from "../model/keyHash.js";

/** Room above an even share; without it, one host that leaves displaces cells of many others. */
const slack = 1.25;

/** A host that may coordinate. */
export interface CoordinatorHost {
    hostId: HostId;
    dataCentre: string;
}

/**
 * Ranks coordinators for every cell: rendezvous hashing with a bound on the cells that one host is first for.
 * @param cells all cells, in any order
 * @param hosts the hosts that may coordinate
 * @param ranks how many coordinators to rank for each cell
 * @returns the ranked hosts of each cell, the first one first
 */
export function assignCoordinators(
    cells: readonly CellId[],
    hosts: readonly CoordinatorHost[],
    ranks: number,
): Map<CellId, HostId[]> {
    const assigned = new Map<CellId, HostId[]>();
    if (hosts.length === 0) {
        return assigned;
    }
    const maxFirst = Math.ceil(cells.length / hosts.length * slack);
    const firstCount = new Map<HostId, number>();
    const dataCentreOf = new Map(hosts.map((host) => [host.hostId, host.dataCentre]));
    for (const cell of [...cells].sort()) {
        const order = rendezvousOrder(cell, hosts.map((host) => host.hostId));
        const first = order.find((host) => (firstCount.get(host) ?? 0) < maxFirst) as HostId;
        firstCount.set(first, (firstCount.get(first) ?? 0) + 1);
        const rest = order.filter((host) => host !== first);
        assigned.set(cell, [first, ...spread(first, rest, dataCentreOf)].slice(0, ranks));
    }
    return assigned;
}

/** Puts successors in other data centres before those that would be lost together with the first. */
function spread(first: HostId, rest: readonly HostId[], dataCentreOf: ReadonlyMap<HostId, string>): HostId[] {
    const elsewhere = (host: HostId) => dataCentreOf.get(host) !== dataCentreOf.get(first);
    return [...rest.filter(elsewhere), ...rest.filter((host) => !elsewhere(host))];
}
