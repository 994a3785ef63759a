/** Ports to the platform: its append-only log and its list of hosts. */
import type { Result } from "neverthrow";
import type { HostId, Offset } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import type { StoredRecord } from "./records.js";

/** One page of the log. */
export interface LogPage {
    records: StoredRecord[];
    /** Offset of the oldest record that is still kept. */
    firstOffset: Offset;
    /** Offset that the next append will get. */
    nextOffset: Offset;
}

/** Port to the platform's log. */
export interface LogPort {
    append(payload: object): Promise<Result<Offset, Failure>>;
    /**
     * Reads on from an offset.
     * @param from first offset wanted
     * @param waitMs how long the log may wait for a record when there is none yet
     */
    read(from: Offset, waitMs: number): Promise<Result<LogPage, Failure>>;
}

/** One entry host as the platform lists it. */
export interface ListedHost {
    hostId: HostId;
    dataCentre: string;
    /** IP number and port of the host's coordinator. */
    coordinatorAddress: string;
    /** IP number and port of the coordinator's operators' interface. */
    adminAddress: string;
    state: "live" | "leaving";
}

/** Port to the platform's list of hosts, which lags. */
export interface HostListPort {
    list(): Promise<Result<ListedHost[], Failure>>;
}
