/** Settings of a host, independent of the file format that they are read from. */
import type { Address, DataCentreId, HostId } from "../model/names.js";

/** Settings that the daemon needs at startup. */
export interface HostSettings {
    hostId: HostId;
    dataCentreId: DataCentreId;
    /** Address that clients connect to. */
    clientAddress: Address;
    /** Address of the readiness check that the platform's load balancer calls. */
    readyAddress: Address;
    /** Address that other hosts connect to. */
    peerAddress: Address;
    /** Address of the pages for operators: liveness, readiness, dump and metrics. */
    adminAddress: Address;
    storeAddress: Address;
    /** CPU limit of the process, as a share of one core. */
    cpuShare: number;
    memoryMb: number;
    maxOpenFiles: number;
    /** Interval at which targets renew their entries in the service directory. */
    targetHeartbeatMs: number;
    /** Time after which a draining target must not receive new requests. */
    drainMs: number;
    /** Time within which a new configuration must be in force at every host. */
    configApplyMs: number;
    /** Time after a stop request at which the platform kills the process. */
    stopTimeoutMs: number;
    /** Maximum duration of a lease that may be granted to a target. */
    maxHoldMs: number;
    /** Allowed retries per first attempt, over all hosts together. */
    retryRatio: number;
    /** Length of the window that `extraRetries` applies to. */
    retryWindowMs: number;
    /** Allowed retries per window in addition to the ratio, over all hosts together. */
    extraRetries: number;
    /** True if the deployment asks for load management: placement by the expected cost of requests and the backlog of targets. */
    loadManagement: boolean;
    /** True if capacity that does not suffice for all is to be shared by priority and among callers. */
    sharesScarceCapacity: boolean;
    /** Time within which an evacuated data centre must get no more requests. */
    evacuationMs: number;
}
