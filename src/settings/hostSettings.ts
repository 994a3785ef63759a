/** Settings of a host's daemon, whatever file they came from. */
import type { Address, DataCentreId, HostId } from "../model/names.js";

/** What a daemon must know at its start. */
export interface HostSettings {
    hostId: HostId;
    dataCentreId: DataCentreId;
    /** Where clients connect. */
    clientAddress: Address;
    /** Where the platform's balancer asks whether this host takes clients. */
    readyAddress: Address;
    /** Where other hosts connect. */
    peerAddress: Address;
    /** Metrics, dump and liveness. */
    adminAddress: Address;
    storeAddress: Address;
    /** Share of a core that the process may use. */
    cpuShare: number;
    memoryMb: number;
    maxOpenFiles: number;
    /** Period at which targets renew their entry in the service directory. */
    targetHeartbeatMs: number;
    /** Time after which a draining target must get no new requests. */
    drainMs: number;
    /** Time between the request to stop and the forced end of the process. */
    stopTimeoutMs: number;
    /** Longest lease that a target grants. */
    maxHoldMs: number;
    /** Retries allowed for each first attempt, over all hosts. */
    retryRatio: number;
    retryWindowMs: number;
    /** Retries allowed in a window beyond the ratio, over all hosts. */
    extraRetries: number;
}
