/** Applies the updates that a coordinator sends, and requests from it what this host has missed. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { Offset, Term } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { ClusterView } from "../store/clusterView.js";
import type { TopicReader } from "../store/topicReader.js";
import type { ConfigAge } from "./configAge.js";
import { MemberListCopy } from "./memberList.js";
import { sentAtMsOf } from "./hostReports.js";
import type { Membership } from "./membership.js";
import type { MessageChecks } from "./messageChecks.js";
import type { ConfigurationReply, FollowParams, FollowReply, News } from "./messages.js";
import { callTimeoutMs, clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

/** Least time between two requests for all targets, made while this host's targets differ from the coordinator's. */
const allTargetsRequestGapMs = 1_000;

/** Dependencies of a receiver. */
export interface NewsReceiverDependencies {
    view: ClusterView;
    reader: TopicReader;
    membership: Membership;
    owners: OwnerLookup;
    crashEvidence: CrashEvidence;
    configAge: ConfigAge;
    clock: Clock;
    checks: MessageChecks;
    log: Log;
    /** Latest term that this host knows. */
    latestTerm: () => Term | undefined;
}

/** Receives a coordinator's updates at one host. */
export interface NewsReceiver {
    /** Monotonic time at which the store last confirmed the coordinator's state. */
    readonly confirmedAtMs: number;
    /** Counts the state as confirmed now; used when following begins, while the age of the coordinator's state is not known. */
    assumeConfirmedNow(): void;
    /** Applies what can be meant of an update, unless this host knows a later term. */
    apply(news: News, from: PeerConnection): void;
    /** Asks a coordinator for everything that this host lacks. */
    requestState(from: PeerConnection): Promise<Result<FollowReply, Failure>>;
}

/** Creates the receiver. */
export function createNewsReceiver(
    { view, reader, membership, owners, crashEvidence, configAge, clock, checks, log, latestTerm }: NewsReceiverDependencies,
): NewsReceiver {
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let isCatchingUp = false;
    let allTargetsRequestedAtMs = Number.NEGATIVE_INFINITY;
    const memberList = new MemberListCopy();
    const nowMs = () => clock.now().monoMs;

    const apply = (received: News, from: PeerConnection) => {
        const news = checks.news(received, from.address);
        if (news === undefined || news.term < (latestTerm() ?? 0)) {
            return;
        }
        confirmedAtMs = Math.max(confirmedAtMs, nowMs() - news.storeAgeMs);
        view.applyTargets(news.targets ?? [], news.targetsUpTo, nowMs());
        if (news.leavingTargets !== undefined) {
            view.applyLeaving(news.leavingTargets, nowMs());
            view.leavingReports.confirm(news.leavingTargets);
        }
        if (news.crashEvidence !== undefined) {
            crashEvidence.merge(news.crashEvidence, nowMs());
        }
        if (news.ledger !== undefined) {
            view.applyLedger(news.ledger, news.ledgerFrom ?? news.ledgerUpTo, news.ledgerUpTo);
            owners.refresh();
        }
        if (news.notice !== undefined) {
            owners.setNotice(news.notice, nowMs());
            view.notifyTargetsChanged();
        }
        const members = news.members === undefined ? undefined : memberList.apply(news.term, news.membersVersion, news.members);
        if (members !== undefined) {
            membership.update(members);
        }
        const coordinatorVersion = configVersionOf(news);
        // The news may have waited to be read; it was sent after the report that it names.
        const sentAfterMs = Math.min(nowMs(), news.reportSentAtMs ?? Number.POSITIVE_INFINITY);
        configAge.recordNews(coordinatorVersion, view.platformConfigVersion, sentAfterMs - (news.configAgeMs ?? Number.POSITIVE_INFINITY));
        const isWrittenAgain = coordinatorVersion === view.platformConfigVersion && news.configOffset > (view.config?.offset ?? -1);
        if (coordinatorVersion > view.platformConfigVersion || isWrittenAgain) {
            void fetchConfig(from, coordinatorVersion);
        }
        const targetsDiffer = news.targetsDigest !== view.targets.digest() && nowMs() - allTargetsRequestedAtMs > allTargetsRequestGapMs;
        if (news.ledgerUpTo > view.ledger.upTo || targetsDiffer || memberList.isBehind(news.term, news.membersVersion)) {
            void catchUp(from, targetsDiffer);
        }
    };

    /**
     * Requests what this host lacks. This happens when an update overtakes the answer to `follow`, and when this host's targets
     * differ: hosts that read the store at different times may have treated different entries as removed.
     */
    const catchUp = async (from: PeerConnection, allTargets: boolean) => {
        if (isCatchingUp) {
            return;
        }
        isCatchingUp = true;
        allTargetsRequestedAtMs = allTargets ? nowMs() : allTargetsRequestedAtMs;
        const reply = await requestState(from, allTargets);
        isCatchingUp = false;
        if (reply.isOk() && reply.value.accepted) {
            apply(reply.value.news, from);
        }
    };

    const requestState = (from: PeerConnection, allTargets = false) => {
        const params: FollowParams = {
            member: membership.self, ledgerUpTo: view.ledger.upTo, targetsFrom: allTargets ? 0 as Offset : view.targetsUpTo,
            members: memberList.version, sentAtMs: sentAtMsOf(clock),
        };
        return from.call<FollowReply>(clusterMethods.follow, params, callTimeoutMs);
    };

    /** Returns the version of the coordinator's configuration. A host of an earlier version of the router states its offset only. */
    const configVersionOf = ({ configVersion, configOffset }: News): number => {
        const isLater = configOffset > (view.config?.offset ?? -1);
        return configVersion ?? (isLater ? Number.POSITIVE_INFINITY : view.platformConfigVersion);
    };

    /** Reads the configuration from the store, which is its primary source, or from the coordinator if it is not there. */
    const fetchConfig = async (from: PeerConnection, coordinatorVersion: number) => {
        await reader.read("configuration", 0);
        if (view.platformConfigVersion >= coordinatorVersion) {
            return;
        }
        const reply = await from.call<ConfigurationReply | undefined>(clusterMethods.configuration, {}, callTimeoutMs);
        if (reply.isOk() && reply.value !== undefined) {
            checks.configuration(reply.value, from.address).match(({ config, offset }) => {
                view.applyConfig(config, offset, view.configUpTo);
            }, (failed) => {
                log.warn("configuration of another host cannot be meant", { peer: failed.peer, why: failed.message });
            });
        }
    };

    return {
        get confirmedAtMs() {
            return confirmedAtMs;
        },
        assumeConfirmedNow: () => {
            confirmedAtMs = nowMs();
        },
        apply,
        requestState: (from) => requestState(from),
    };
}
