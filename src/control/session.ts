/** Gives the commands of hornbeamctl access to the ledger and to the hosts' admin pages. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address, ServiceId } from "../model/names.js";
import type { RoutingConfig } from "../model/routing.js";
import type { Clock } from "../model/time.js";
import type { LedgerRecord } from "../ownership/ledgerRecords.js";
import { encodeLedgerRecord } from "../ownership/ledgerRecords.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";

const maxAppendAttempts = 5;
const retryDelayMs = 200;

/** The fields of a host's dump that commands read. */
export interface HostDump {
    self: { hostId: string; runId: string; dataCentreId: string; peerAddress: string };
    members: { hostId: string; dataCentreId: string; peerAddress: string }[];
    unready?: string;
    configVersion?: number;
    ledgerUpTo: number;
    /** How often the store has come back from an older copy; absent in dumps of earlier versions. */
    storeEra?: number;
    /** Data centres that are evacuated, as far as the host knows; absent in dumps of earlier versions. */
    evacuated?: string[];
    /** Targets as the host knows them; absent in dumps that were made by hand. */
    targets?: { targetId: string; dataCentreId: string }[];
    knowledgeAgeMs: number;
    pending: number;
    /** Absent in dumps of earlier versions. */
    crashes?: {
        standings: { fingerprint: string; kind: "suspected" | "trial-due" | "quarantined"; crashCount: number; remainingMs?: number; targets: string[] }[];
    };
    /** How the host's admission queues share scarce capacity; absent in dumps of earlier versions. */
    sharing?: {
        group: { kind: string; targetId?: string; serviceId?: string; dataCentreId?: string };
        reservedSlots: number;
        lentSlots: number;
        callersAboveShare: number;
        kinds: { priority: number; offeredSlots: number; servedShare: number; running: number }[];
    }[];
    coordinator?: {
        term: number;
        owners: { targets: { targetId: string; standing: string; ranges: { from: number; to: number }[]; freeInMs: number }[] };
    };
}

/** Access to the hosts' dumps. */
export interface DumpPort {
    /** @param address IP address and TCP port of the host's admin pages */
    dump(address: Address): Promise<Result<HostDump, Failure>>;
}

/** Dependencies of a session. */
export interface SessionDependencies {
    store: StorePort;
    reader: TopicReader;
    view: ClusterView;
    dumps: DumpPort;
    clock: Clock;
    /** TCP port of the hosts' admin pages. */
    adminPort: number;
}

/** A host with its dump, or with the failure to get it. */
export interface HostReport {
    hostId: string;
    dump: Result<HostDump, Failure>;
}

/** Session of one hornbeamctl command. */
export interface ControlSession {
    readonly view: ClusterView;
    readonly clock: Clock;
    /** Reads the ledger to its end. */
    read(): Promise<Result<void, Failure>>;
    /**
     * Appends records to the ledger. If another writer appends first, the ledger is read again and the append is retried.
     * @param buildRecords computes the records to append from the current ledger, anew at each attempt; a failure ends the append
     */
    append(
        buildRecords: () => Result<readonly { key: string; record: LedgerRecord | undefined }[], Failure>,
    ): Promise<Result<void, Failure>>;
    /** Reads the platform's configuration and the services that have targets. */
    readDirectory(): Promise<Result<{ config: RoutingConfig | undefined; servicesWithTargets: ReadonlySet<ServiceId> }, Failure>>;
    /** Gets the dumps of the running hosts: first the coordinator's, then those of the members that it lists. */
    reports(): Promise<Result<HostReport[], Failure>>;
}

/** Creates a session. */
export function createSession({ store, reader, view, dumps, clock, adminPort }: SessionDependencies): ControlSession {
    const read = async (): Promise<Result<void, Failure>> => (await reader.read("ledger", 0)).map(() => undefined);
    const adminAddressOf = (peerAddress: string) => `${peerAddress.split(":", 1)[0] as string}:${String(adminPort)}` as Address;

    return {
        view, clock, read,
        append: async (buildRecords) => {
            for (let attempt = 0; attempt < maxAppendAttempts; attempt++) {
                const readResult = await read();
                if (readResult.isErr()) {
                    return err(readResult.error);
                }
                const records = buildRecords();
                if (records.isErr()) {
                    return err(records.error);
                }
                const encoded = records.value.map(({ key, record }) => encodeLedgerRecord(key, record));
                const outcome = await store.append(encoded, view.ledger.upTo);
                if (outcome.isErr() || outcome.value.kind === "appended") {
                    return outcome.map(() => undefined);
                }
                await clock.sleep(retryDelayMs);
            }
            return err(failure("refused", "publish", "ledger", "other writers appended first at every attempt; try again"));
        },
        readDirectory: async () => {
            const readings = await Promise.all([reader.read("configuration", 0), reader.read("targets", 0)]);
            const failed = readings.find((reading) => reading.isErr());
            return failed?.isErr() === true ? err(failed.error) : ok({
                config: view.config?.config,
                servicesWithTargets: new Set([...view.targets.all()].filter(({ state }) => state !== "gone").map(({ serviceId }) => serviceId)),
            });
        },
        reports: async () => {
            const readResult = await read();
            if (readResult.isErr()) {
                return err(readResult.error);
            }
            const { term } = view.ledger;
            if (term === undefined) {
                return err(failure("unreachable", "admin-call", "coordinator", "no host has become coordinator yet"));
            }
            const coordinatorDump = await dumps.dump(adminAddressOf(term.peerAddress));
            if (coordinatorDump.isErr()) {
                return err(coordinatorDump.error);
            }
            const otherMembers = coordinatorDump.value.members.filter(({ hostId }) => hostId !== coordinatorDump.value.self.hostId);
            const otherReports = await Promise.all(otherMembers.map(async ({ hostId, peerAddress }) =>
                ({ hostId, dump: await dumps.dump(adminAddressOf(peerAddress)) })));
            return ok([{ hostId: coordinatorDump.value.self.hostId, dump: coordinatorDump }, ...otherReports]);
        },
    };
}
