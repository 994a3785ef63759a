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
import type { ConfigFetcher } from "./configFetcher.js";
import { MemberListCopy } from "./memberList.js";
import type { Membership } from "./membership.js";
import type { MessageChecks } from "./messageChecks.js";
import type { EvacuationList, FollowParams, FollowReply, News } from "./messages.js";
import { callTimeoutMs, clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

/** Least time between two requests for all targets, made while this host's targets differ from the coordinator's. */
const allTargetsRequestGapMs = 1_000;

/** Time for which the store's answer is awaited before the coordinator is asked for a configuration too. */
const storeAnswerMs = 300;

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
    configFetcher: ConfigFetcher;
    log: Log;
    /** Latest term that this host knows. */
    latestTerm: () => Term | undefined;
}

/** Receives a coordinator's updates at one host. */
export interface NewsReceiver {
    /** Monotonic time at which the store last confirmed the coordinator's state. */
    readonly confirmedAtMs: number;
    /** Monotonic time at which the store had certainly confirmed that this host knows the whole ledger. */
    readonly ledgerConfirmedAtMs: number;
    /** Counts the state as confirmed now; used when following begins, while the age of the coordinator's state is not known. */
    assumeConfirmedNow(): void;
    /**
     * Applies what can be meant of an update, unless this host knows a later term.
     * @param sentAtMs monotonic time at which the update was sent at the earliest; undefined if only the update itself tells
     */
    apply(news: News, from: PeerConnection, sentAtMs?: number): void;
    /** Asks a coordinator for everything that this host lacks. */
    requestState(from: PeerConnection): Promise<Result<FollowReply, Failure>>;
}

/** Creates the receiver. */
export function createNewsReceiver(
    { view, reader, membership, owners, crashEvidence, configAge, clock, checks, configFetcher, log, latestTerm }: NewsReceiverDependencies,
): NewsReceiver {
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let ledgerConfirmedAtMs = Number.NEGATIVE_INFINITY;
    let isCatchingUp = false;
    let isFetchingConfig = false;
    let allTargetsRequestedAtMs = Number.NEGATIVE_INFINITY;
    /** Latest term whose coordinator sends evacuations; one of an earlier version does not. */
    let evacuationsTerm: Term | undefined;
    const memberList = new MemberListCopy();
    const nowMs = () => clock.now().monoMs;

    const apply = (received: News, from: PeerConnection, sentAtMs?: number) => {
        const news = checks.news(received, from.address);
        if (news === undefined || news.term < (latestTerm() ?? 0)) {
            return;
        }
        // The time that an update spent on its way, or unread at this host, adds to the ages that it states.
        const knownSentAtMs = sentAtMs ?? news.sentAtMs;
        const stateAtMs = Math.min(nowMs(), knownSentAtMs ?? Number.NEGATIVE_INFINITY);
        confirmedAtMs = Math.max(confirmedAtMs, (knownSentAtMs === undefined ? nowMs() : stateAtMs) - news.storeAgeMs);
        applyTargets(news);
        if (news.leavingTargets !== undefined) {
            view.applyLeaving(news.leavingTargets, nowMs());
            view.leavingReports.confirm(news.leavingTargets);
        }
        if (news.evacuations !== undefined) {
            evacuationsTerm = news.term;
            applyEvacuations(news.evacuations);
        }
        if (news.crashEvidence !== undefined) {
            crashEvidence.merge(news.crashEvidence, nowMs());
        }
        if (news.ledger !== undefined) {
            view.applyLedger(news.ledger, news.ledgerFrom ?? news.ledgerUpTo, news.ledgerUpTo);
            owners.refresh();
        }
        if (news.targetsDigest === view.targets.digest()) {
            view.targets.confirm(stateAtMs - news.storeAgeMs);
        }
        if (news.term === evacuationsTerm && news.configAgeMs !== undefined) {
            view.evacuations.confirm(stateAtMs - news.configAgeMs);
        }
        if (news.ledgerUpTo <= view.ledger.upTo) {
            ledgerConfirmedAtMs = Math.max(ledgerConfirmedAtMs, stateAtMs - news.storeAgeMs);
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
        configAge.recordNews(coordinatorVersion, view.platformConfigVersion, stateAtMs - (news.configAgeMs ?? Number.POSITIVE_INFINITY));
        if (isNewerConfig(coordinatorVersion, news.configOffset)) {
            void fetchConfig(from, coordinatorVersion, news.configOffset);
        }
        const targetsDiffer = news.targetsDigest !== view.targets.digest() && nowMs() - allTargetsRequestedAtMs > allTargetsRequestGapMs;
        if (news.ledgerUpTo > view.ledger.upTo || targetsDiffer || memberList.isBehind(news.term, news.membersVersion)) {
            void catchUp(from, targetsDiffer);
        }
    };

    /** Applies changes of targets; logs which ones leave, and for how long that may have been so. */
    const applyTargets = ({ targets, targetsUpTo }: News) => {
        const { confirmedAtMs: knownUntilMs } = view.targets;
        const leaving = view.applyTargets(targets ?? [], targetsUpTo, nowMs()).filter(({ entry }) => entry?.state !== "ready");
        if (leaving.length > 0) {
            log.info("targets leave", { targets: leaving.map(({ targetId }) => targetId), unknownForMs: describeAge(nowMs() - knownUntilMs) });
        }
    };

    /** Applies a list of evacuations. One that is older than this host's own reading could bring back evacuations that have ended. */
    const applyEvacuations = ({ inForce, upTo }: EvacuationList) => {
        if (upTo >= view.configUpTo) {
            view.applyEvacuations(view.evacuations.replace(inForce, upTo, nowMs()), nowMs());
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
        const askedAtMs = nowMs();
        const reply = await requestState(from, allTargets);
        isCatchingUp = false;
        if (reply.isOk() && reply.value.accepted) {
            apply(reply.value.news, from, askedAtMs);
        }
    };

    const requestState = (from: PeerConnection, allTargets = false) => {
        const params: FollowParams = {
            member: membership.self, ledgerUpTo: view.ledger.upTo, targetsFrom: allTargets ? 0 as Offset : view.targetsUpTo,
            members: memberList.version,
        };
        return from.call<FollowReply>(clusterMethods.follow, params, callTimeoutMs);
    };

    /**
     * Returns the version of the coordinator's configuration. A host of an earlier version of the router states its offset only; a later
     * configuration then has a higher version.
     */
    const configVersionOf = ({ configVersion, configOffset }: News): number => {
        const isLater = configOffset > (view.config?.offset ?? -1);
        return configVersion ?? (isLater ? view.platformConfigVersion + 1 : view.platformConfigVersion);
    };

    /** Tells whether a configuration is newer than this host's: of a higher version, or written again under the same one. */
    const isNewerConfig = (version: number, offset: Offset): boolean => version > view.platformConfigVersion
        || (version === view.platformConfigVersion && offset > (view.config?.offset ?? -1));

    /** Reads the configuration from the store, which is its primary source, or from the coordinator if the store does not give it soon. */
    const fetchConfig = async (from: PeerConnection, version: number, offset: Offset) => {
        if (isFetchingConfig) {
            return;
        }
        isFetchingConfig = true;
        try {
            const reading = reader.read("configuration", 0);
            await Promise.race([reading, clock.sleep(storeAnswerMs)]);
            if (isNewerConfig(version, offset)) {
                await configFetcher.fetchFrom(from);
            }
            await reading;
        }
        finally {
            isFetchingConfig = false;
        }
    };

    return {
        get confirmedAtMs() {
            return confirmedAtMs;
        },
        get ledgerConfirmedAtMs() {
            return ledgerConfirmedAtMs;
        },
        assumeConfirmedNow: () => {
            confirmedAtMs = nowMs();
        },
        apply,
        requestState: (from) => requestState(from),
    };
}

/** Rounds an age for the log; undefined if it is infinite. */
function describeAge(ageMs: number): number | undefined {
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
