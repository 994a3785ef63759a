/** Takes in what a coordinator says, and asks it for what this host has missed. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Offset, Term } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { Owners } from "../ownership/owners.js";
import type { ClusterView } from "../store/clusterView.js";
import type { TopicReader } from "../store/topicReader.js";
import { MemberCopy } from "./memberList.js";
import type { Membership } from "./membership.js";
import type { ConfigurationReply, FollowParams, FollowReply, News } from "./messages.js";
import { clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

const callTimeoutMs = 500;

/** Period at which a host that knows other targets than the coordinator asks for all of them. */
const catchUpPeriodMs = 1_000;

/** What an intake works with. */
export interface NewsIntakeParts {
    view: ClusterView;
    reader: TopicReader;
    membership: Membership;
    owners: Owners;
    clock: Clock;
    /** Term in force, as far as this host has heard. */
    latestTerm: () => Term | undefined;
}

/** Intake of one host. */
export interface NewsIntake {
    /** Monotonic time at which the store confirmed what the coordinator knows. */
    readonly confirmedMs: number;
    /** Notes that a coordinator was found, whose own knowledge is not known yet. */
    noteFollowing(): void;
    /** Takes news in, unless a later term is in force. */
    apply(news: News, from: PeerConnection): void;
    /** Asks a coordinator for all that this host has not heard. */
    ask(from: PeerConnection): Promise<Result<FollowReply, Failure>>;
}

/**
 * Creates the intake.
 * @param parts what it works with
 */
export function createNewsIntake({ view, reader, membership, owners, clock, latestTerm }: NewsIntakeParts): NewsIntake {
    let confirmedMs = Number.NEGATIVE_INFINITY;
    let catchingUp = false;
    let caughtUpMs = Number.NEGATIVE_INFINITY;
    const memberCopy = new MemberCopy();
    const nowMs = () => clock.now().monoMs;

    const apply = (news: News, from: PeerConnection) => {
        if (news.term < (latestTerm() ?? 0)) {
            return;
        }
        confirmedMs = Math.max(confirmedMs, nowMs() - news.storeAgeMs);
        view.applyTargets(news.targets ?? [], news.targetsUpTo, nowMs());
        if (news.leavingTargets !== undefined) {
            view.hearOfLeaving(news.leavingTargets, nowMs());
            view.leavingReports.confirm(news.leavingTargets);
        }
        if (news.ledger !== undefined) {
            view.applyLedger(news.ledger, news.ledgerFrom ?? news.ledgerUpTo, news.ledgerUpTo);
            owners.refresh();
        }
        if (news.notice !== undefined) {
            owners.setNotice(news.notice, nowMs());
            view.touchTargets();
        }
        const members = news.members === undefined ? undefined : memberCopy.take(news.term, news.membersVersion, news.members);
        if (members !== undefined) {
            membership.update(members);
        }
        if (news.configOffset > (view.config?.offset ?? -1)) {
            void fetchConfig(from);
        }
        const differs = news.targetsDigest !== view.targets.digest() && nowMs() - caughtUpMs > catchUpPeriodMs;
        if (news.ledgerUpTo > view.ledger.upTo || differs || memberCopy.isBehind(news.term, news.membersVersion)) {
            void catchUp(from, differs);
        }
    };

    /**
     * Asks for what is missing. News may overtake the answer to the first question, and hosts that read the store at other
     * times may have taken other entries for lapsed.
     */
    const catchUp = async (from: PeerConnection, allTargets: boolean) => {
        if (catchingUp) {
            return;
        }
        catchingUp = true;
        caughtUpMs = allTargets ? nowMs() : caughtUpMs;
        const reply = await ask(from, allTargets);
        catchingUp = false;
        if (reply.isOk() && reply.value.accepted) {
            apply(reply.value.news, from);
        }
    };

    const ask = (from: PeerConnection, allTargets = false) => {
        const params: FollowParams = {
            member: membership.self, ledgerUpTo: view.ledger.upTo, targetsFrom: allTargets ? 0 as Offset : view.targetsUpTo,
            members: memberCopy.state,
        };
        return from.call<FollowReply>(clusterMethods.follow, params, callTimeoutMs);
    };

    /** The store is the nearest source of a configuration; the coordinator helps when it cannot be read. */
    const fetchConfig = async (from: PeerConnection) => {
        const before = view.config?.offset;
        await reader.read("configuration", 0);
        if (view.config?.offset !== before) {
            return;
        }
        const reply = await from.call<ConfigurationReply | undefined>(clusterMethods.configuration, {}, callTimeoutMs);
        if (reply.isOk() && reply.value !== undefined) {
            view.applyConfig(reply.value.config, reply.value.offset, view.configUpTo);
        }
    };

    return {
        get confirmedMs() {
            return confirmedMs;
        },
        noteFollowing: () => {
            confirmedMs = nowMs();
        },
        apply,
        ask: (from) => ask(from),
    };
}
