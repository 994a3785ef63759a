/** The hosts that follow a coordinator, and the list of running hosts that results from them. */
import type { HostId, Term } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { MemberListUpdate, MemberListVersion } from "./memberList.js";
import { MemberList } from "./memberList.js";
import type { Member, Membership } from "./membership.js";
import type { FollowParams, News, Report } from "./messages.js";
import { clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

/** A follower that has not reported for this long is disconnected. */
const followerTimeoutMs = 1_200;

interface Follower {
    member: Member;
    connection: PeerConnection;
    lastReportAtMs: number;
    /** Time at which the follower sent its last report, by its own clock. */
    reportSentAtMs: number | undefined;
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
    /** Adds a host that asks to follow, unless it follows over this connection already. It is removed when the connection closes. */
    add(params: Pick<FollowParams, "member" | "sentAtMs">, connection: PeerConnection): void;
    /** Records that a follower has reported, and whether it is leaving. Other hosts are ignored. */
    recordReport(from: PeerConnection | undefined, report: Pick<Report, "leaving" | "sentAtMs">, nowMs: number): void;
    /** Disconnects the followers that have not reported for too long. */
    dropSilent(nowMs: number): void;
    /** Sends an update to every follower. */
    sendToAll(news: News): void;
    /** Sends an update to one follower. */
    sendTo(connection: PeerConnection, news: News): void;
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

    const sendTo = (connection: PeerConnection, news: News) => {
        const reportSentAtMs = followers.get(connection)?.reportSentAtMs;
        connection.notify(clusterMethods.news, reportSentAtMs === undefined ? news : { ...news, reportSentAtMs });
    };

    return {
        get listVersion() {
            return memberList.version;
        },
        add: ({ member, sentAtMs }, connection) => {
            const known = followers.get(connection);
            if (known !== undefined) {
                known.reportSentAtMs = sentAtMs;
                return;
            }
            followers.set(connection, { member, connection, lastReportAtMs: clock.now().monoMs, reportSentAtMs: sentAtMs, leaving: false });
            void connection.closed.then(() => {
                followers.delete(connection);
                log.info("follower disconnected", { host: member.hostId });
                updateMembers();
            });
            log.info("follower connected", { host: member.hostId, run: member.runId });
            updateMembers();
        },
        recordReport: (from, { leaving, sentAtMs }, nowMs) => {
            const follower = from === undefined ? undefined : followers.get(from);
            if (follower !== undefined) {
                follower.lastReportAtMs = nowMs;
                follower.reportSentAtMs = sentAtMs;
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
        sendToAll: (news) => {
            for (const connection of followers.keys()) {
                sendTo(connection, news);
            }
        },
        sendTo,
        disconnectAll: () => {
            for (const { connection } of followers.values()) {
                connection.destroy();
            }
        },
        listFor: (known) => known?.term === term && known.version === memberList.version ? undefined : memberList.fullUpdate(),
        hostIds: () => [...followers.values()].map(({ member }) => member.hostId),
    };
}
