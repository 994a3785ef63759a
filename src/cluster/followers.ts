/** The hosts that follow a coordinator, and the list of running hosts that results from them. */
import type { HostId, Term } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { MemberListUpdate, MemberListVersion } from "./memberList.js";
import { MemberList } from "./memberList.js";
import type { Member, Membership } from "./membership.js";
import type { Report } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

/** A follower that has not reported for this long is disconnected. */
const followerTimeoutMs = 1_200;

const noVersion = Number.NEGATIVE_INFINITY;

interface Follower {
    member: Member;
    connection: PeerConnection;
    lastReportAtMs: number;
    /** Time at which the last report was sent, by the follower's clock; undefined before the first report. */
    lastReportSentAtMs: number | undefined;
    /** Version of its configuration, if it has stated one. */
    configVersion: number;
    leaving: boolean;
}

/** Dependencies of the followers. */
export interface FollowersDependencies {
    term: Term;
    membership: Membership;
    clock: Clock;
    log: Log;
    /** Called with each change of the list of running hosts. */
    onMembersChanged: (update: MemberListUpdate) => void;
}

/** The followers of one coordinator. */
export interface Followers {
    /** Version of the list of running hosts. */
    readonly listVersion: number;
    /** Adds a host, unless it follows over this connection already. It is removed when the connection closes. */
    add(member: Member, connection: PeerConnection): void;
    /** Version of the newest configuration that a follower applies; -Infinity without any. */
    readonly newestConfigVersion: number;
    /** Records what a follower's report tells of the follower itself. Other hosts are ignored. */
    recordReport(from: PeerConnection | undefined, report: Pick<Report, "leaving" | "sentAtMs" | "configVersion">, nowMs: number): void;
    /** Disconnects the followers that have not reported for too long. */
    dropSilent(nowMs: number): void;
    /** Sends a notification to every follower, with the time of sending by the follower's own clock (`News.sentAtMs`). */
    notifyAll(method: string, params: object): void;
    /** Disconnects every follower. */
    disconnectAll(): void;
    /** The whole list of running hosts, or undefined for a host that has it already. */
    listFor(known: MemberListVersion | undefined): MemberListUpdate | undefined;
    hostIds(): HostId[];
}

/** Creates an empty set of followers. */
export function createFollowers({ term, membership, clock, log, onMembersChanged }: FollowersDependencies): Followers {
    const followers = new Map<PeerConnection, Follower>();
    const memberList = new MemberList();

    let newestConfigVersion = noVersion;

    const updateNewestConfigVersion = () => {
        newestConfigVersion = Math.max(noVersion, ...[...followers.values()].map(({ configVersion }) => configVersion));
    };

    const recordConfigVersion = (follower: Follower, configVersion: number) => {
        if (configVersion !== follower.configVersion) {
            follower.configVersion = configVersion;
            updateNewestConfigVersion();
        }
    };

    const listMembers = (): Member[] => [
        ...membership.isLeaving ? [] : [membership.self],
        ...[...followers.values()].filter(({ leaving }) => !leaving).map(({ member }) => member),
    ];

    const updateMembers = () => {
        const members = memberList.replace(listMembers());
        if (members !== undefined) {
            membership.update(memberList.members);
            onMembersChanged(members);
        }
    };

    return {
        get listVersion() {
            return memberList.version;
        },
        get newestConfigVersion() {
            return newestConfigVersion;
        },
        add: (member, connection) => {
            if (followers.has(connection)) {
                return;
            }
            followers.set(connection, {
                member, connection, leaving: false,
                lastReportAtMs: clock.now().monoMs, lastReportSentAtMs: undefined, configVersion: noVersion,
            });
            void connection.closed.then(() => {
                followers.delete(connection);
                updateNewestConfigVersion();
                log.info("follower disconnected", { host: member.hostId });
                updateMembers();
            });
            log.info("follower connected", { host: member.hostId, run: member.runId });
            updateMembers();
        },
        recordReport: (from, { leaving, sentAtMs, configVersion }, nowMs) => {
            const follower = from === undefined ? undefined : followers.get(from);
            if (follower !== undefined) {
                follower.lastReportAtMs = nowMs;
                follower.lastReportSentAtMs = sentAtMs;
                recordConfigVersion(follower, configVersion ?? noVersion);
                if (leaving !== follower.leaving) {
                    follower.leaving = leaving;
                    updateMembers();
                }
            }
        },
        dropSilent: (nowMs) => {
            for (const [connection, { lastReportAtMs }] of followers) {
                if (nowMs - lastReportAtMs > followerTimeoutMs) {
                    connection.destroy();
                }
            }
        },
        notifyAll: (method, params) => {
            const nowMs = clock.now().monoMs;
            for (const { connection, lastReportAtMs, lastReportSentAtMs } of followers.values()) {
                const sentAtMs = lastReportSentAtMs === undefined ? undefined : lastReportSentAtMs + Math.floor(nowMs - lastReportAtMs);
                connection.notify(method, sentAtMs === undefined ? params : { ...params, sentAtMs });
            }
        },
        disconnectAll: () => {
            for (const { connection } of followers.values()) {
                connection.destroy();
            }
        },
        listFor: (known) => known?.term === term && known.version === memberList.version ? undefined : memberList.fullUpdate(),
        hostIds: () => [...followers.values()].map(({ member }) => member.hostId),
    };
}
