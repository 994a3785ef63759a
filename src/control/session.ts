/** What a command of hornbeamctl needs: the agreed state, the hosts and their dumps. */
import { v7 as newOrderedUuid } from "uuid";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Offset, RecordId } from "../model/ids.js";
import { noOffset } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { ChangeNote } from "../config/edits.js";
import type { ConfigDocument } from "../config/document.js";
import type { FoldedState, Verdict } from "../platform/fold.js";
import { emptyState, maxPartBytes, splitSnapshot } from "../platform/fold.js";
import { LogFollower } from "../platform/logFollower.js";
import type { HostListPort, ListedHost, LogPort } from "../platform/logPort.js";
import { publish } from "../platform/publisher.js";
import type { ConfigRecord } from "../platform/records.js";

const readTimeoutMs = 5_000;
const publishTimeoutMs = 10_000;

/** Part of a coordinator's dump that operators' commands read. */
export interface HostDump {
    run: string;
    unready?: string;
    offset: number;
    configOffset?: number;
    /** The same for the entry on the host; absent when no entry runs there. */
    entryConfigOffset?: number;
    logWell: boolean;
    cells: {
        cell: string;
        acting: boolean;
        grants?: {
            fence: number;
            authorityLeftMs: number;
            shards: { shard: number; owner?: string; serving: boolean; moveTo?: string }[];
        };
        work?: { active: number; orders: number };
    }[];
}

/** Port to the operators' interface of the hosts. */
export interface DumpPort {
    dump(host: ListedHost): Promise<Result<HostDump, Failure>>;
}

/** Ports of a session. */
export interface SessionParts {
    log: LogPort;
    hostList: HostListPort;
    dumps: DumpPort;
    clock: Clock;
}

/** A host with its dump, or with why there is none. */
export interface HostReport {
    host: ListedHost;
    dump: Result<HostDump, Failure>;
}

/** One run of hornbeamctl. */
export class ControlSession {
    private readonly follower: LogFollower;

    /** @param parts the ports */
    constructor(private readonly parts: SessionParts) {
        this.follower = new LogFollower(parts.log, parts.clock, () => Promise.resolve(undefined));
    }

    /** Reads the log to its end. */
    async readState(): Promise<Result<FoldedState, Failure>> {
        void this.follower.run();
        const untilMs = this.parts.clock.now().monoMs + readTimeoutMs;
        while (!this.follower.isLogWell || this.follower.state.offset === noOffset) {
            if (this.parts.clock.now().monoMs > untilMs) {
                return this.follower.isLogWell
                    ? ok(this.follower.state)
                    : err(failure("unreachable", "log-read", "log", this.follower.unreadyBecause ?? "the log cannot be read"));
            }
            await Promise.race([this.follower.changed.next(), this.parts.clock.sleep(100)]);
        }
        return ok(this.follower.state);
    }

    /**
     * Publishes a document over the one that it was based on, and finds out whether it won.
     * @param document the new document
     * @param basedOn offset of the configuration that it replaces
     * @param note who and why
     * @returns what the log's order decided
     */
    async publish(document: ConfigDocument, basedOn: Offset, note: ChangeNote): Promise<Result<Verdict, Failure>> {
        const record: ConfigRecord = {
            kind: "config", basedOn, document, ...note,
            recordId: newOrderedUuid() as RecordId,
            publishedWallMs: this.parts.clock.now().wallMs,
        };
        return publish(record, this.parts.log, this.follower, this.parts.clock, publishTimeoutMs);
    }

    /**
     * Appends a snapshot of the empty state, so that readers may start here although older records have expired.
     * @returns the offset up to which the log counts as read
     */
    async appendBeginning(): Promise<Result<Offset, Failure>> {
        const page = await this.parts.log.read(noOffset, 0);
        if (page.isErr()) {
            return err(page.error);
        }
        const upTo = page.value.nextOffset - 1 as Offset;
        const beginning: FoldedState = { ...emptyState, offset: upTo };
        for (const chunk of splitSnapshot(beginning, newOrderedUuid(), maxPartBytes, this.parts.clock.now().wallMs)) {
            const appended = await this.parts.log.append(chunk);
            if (appended.isErr()) {
                return err(appended.error);
            }
        }
        return ok(upTo);
    }

    /** Newest state that this session has read. */
    get state(): FoldedState {
        return this.follower.state;
    }

    /** Asks every live host for its dump. */
    async reports(): Promise<Result<HostReport[], Failure>> {
        const hosts = await this.parts.hostList.list();
        if (hosts.isErr()) {
            return err(hosts.error);
        }
        const live = hosts.value.filter((host) => host.state === "live");
        return ok(await Promise.all(live.map(async (host) => ({ host, dump: await this.parts.dumps.dump(host) }))));
    }

    /**
     * Waits until every live host has a configuration in force.
     * @param offset offset of the configuration
     * @param timeoutMs how long to wait
     * @returns the hosts that do not have it yet; empty when all have
     */
    async hostsWithout(offset: Offset, timeoutMs: number): Promise<Result<HostReport[], Failure>> {
        const untilMs = this.parts.clock.now().monoMs + timeoutMs;
        for (;;) {
            const reports = await this.reports();
            if (reports.isErr()) {
                return reports;
            }
            const without = reports.value.filter(({ dump }) => dump.isErr() || inForceOn(dump.value) < offset);
            if (without.length === 0 || this.parts.clock.now().monoMs >= untilMs) {
                return ok(without);
            }
            await this.parts.clock.sleep(100);
        }
    }

    /** Ends the reading. */
    stop(): void {
        this.follower.stop();
    }
}

/** The older of the configurations that the two daemons of a host have in force. */
function inForceOn(dump: HostDump): number {
    return Math.min(dump.configOffset ?? 0, dump.entryConfigOffset ?? Number.POSITIVE_INFINITY);
}
