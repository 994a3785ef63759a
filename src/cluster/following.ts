/** Follows the coordinator: receives its updates, reports to it, and notices when it is lost or cut off from the store. */
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import { trialGrantValidMs } from "../crashes/trial.js";
import { Signal, waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import type { ClusterView } from "../store/clusterView.js";
import type { ConfigAge } from "./configAge.js";
import type { DirectReader } from "./directReader.js";
import { reportPeriodMs } from "./hostReports.js";
import type { KnownTerm } from "./knownTerm.js";
import type { Member, Membership } from "./membership.js";
import type { Report } from "./messages.js";
import { clusterMethods } from "./messages.js";
import type { NewsReceiver } from "./newsReceiver.js";
import type { PeerConnection } from "./peerConnection.js";
import type { PeerLinks } from "./peerLinks.js";
import type { FollowEnd } from "./succession.js";
import { claimStaggerMs, coordinatorTimeoutMs, successionRank } from "./succession.js";
import type { Takeover } from "./takeover.js";
import type { TermClaims } from "./termClaims.js";

/** Two updates of the coordinator are less than this apart, unless it or the path to it is disturbed. */
const contactValidMs = 600;

/** A host that can read the store takes over when the coordinator has had no confirmation from the store for this long. */
const coordinatorConfirmationTimeoutMs = 1_300;

/** Time that a coordinator needs to confirm its term once the store is available again, including its pause between two attempts. */
const storeRecoveryGraceMs = 350;

const connectionClosed = "connection closed";

/** A coordinator that stopped sending is avoided for this long; other hosts keep its admission queues meanwhile. */
const suspicionMs = 1_000;

/** Dependencies of following. */
export interface FollowingDependencies {
    self: Member;
    view: ClusterView;
    membership: Membership;
    links: PeerLinks;
    claims: TermClaims;
    configAge: ConfigAge;
    knownTerm: KnownTerm;
    newsReceiver: NewsReceiver;
    directReader: Pick<DirectReader, "readAllTopics">;
    takeover: Pick<Takeover, "takeOver">;
    crashEvidence: CrashEvidence;
    crashObserver: Pick<CrashObserver, "observed">;
    clock: Clock;
    log: Log;
    createReport: () => Report;
}

/** This host as a follower. */
export interface Following {
    /** True while this host follows a coordinator. */
    readonly isConnected: boolean;
    /** Follows a coordinator until it is lost, its connection closes, another term is in force, or this host stops. */
    follow(term: TermRecord, signal: AbortSignal): Promise<FollowEnd>;
    /** Records that this host has stopped following. */
    recordEnd(): void;
    /** Tells whether this host has heard from the coordinator a moment ago. */
    isInContact(nowMs: number): boolean;
    /** Asks the coordinator whether a request may run once after its quarantine. */
    requestTrial(params: TrialParams): Promise<TrialReply>;
    /** Tells the coordinator that the request of a trial certainly did not run. */
    returnTrial(params: TrialReturn): void;
}

/** Creates a follower that follows no coordinator yet. */
export function createFollowing(dependencies: FollowingDependencies): Following {
    const {
        self, view, membership, links, claims, configAge, knownTerm, newsReceiver, directReader, takeover, crashEvidence, crashObserver,
        clock, log, createReport,
    } = dependencies;
    /** Connection to the coordinator that this host follows. */
    let coordinatorConnection: PeerConnection | undefined;
    const nowMs = () => clock.now().monoMs;

    const isCoordinatorCutOff = () => nowMs() - newsReceiver.confirmedAtMs > coordinatorConfirmationTimeoutMs;

    /** Takes over from a coordinator that answers but cannot read the store. The hosts try in order of rank. */
    const takeOverIfCutOff = async (term: TermRecord, connection: PeerConnection, signal: AbortSignal): Promise<boolean> => {
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId && hostId !== term.hostId);
        await clock.sleep(successionRank(self, others) * claimStaggerMs, signal);
        if (membership.isLeaving || !isCoordinatorCutOff() || !await directReader.readAllTopics()) {
            return false;
        }
        if (knownTerm.isOutdated) {
            connection.notify(clusterMethods.report, createReport());
        }
        // A store that has just become available again may answer this host shortly before it answers the coordinator.
        await clock.sleep(storeRecoveryGraceMs, signal);
        if (membership.isLeaving || !isCoordinatorCutOff() || knownTerm.latest?.term !== term.term) {
            return false;
        }
        log.info("coordinator cut off from the store", { coordinator: term.hostId, term: term.term });
        return takeover.takeOver(connection);
    };

    const follow = async (term: TermRecord, signal: AbortSignal): Promise<FollowEnd> => {
        const connected = await links.connect(term.peerAddress);
        if (connected.isErr()) {
            return "lost";
        }
        const connection = connected.value;
        const askedAtMs = nowMs();
        const reply = await newsReceiver.requestState(connection);
        if (reply.isErr()) {
            return "lost";
        }
        if (!reply.value.accepted) {
            claims.recordEndedRun(reply.value.runId === term.runId ? undefined : term.runId);
            return "lost";
        }
        coordinatorConnection = connection;
        configAge.recordJoined();
        log.info("following coordinator", { coordinator: term.hostId, term: term.term });
        newsReceiver.assumeConfirmedNow();
        newsReceiver.apply(reply.value.news, connection, askedAtMs);
        if (!crashEvidence.isEmpty) {
            connection.notify(clusterMethods.report, { ...createReport(), crashEvidence: crashEvidence.snapshot(nowMs()) });
        }
        let lossReason: string | undefined;
        const closed = new Signal();
        void connection.closed.then(() => {
            lossReason ??= connectionClosed;
            closed.fire();
        });
        while (!signal.aborted && lossReason === undefined && knownTerm.latest?.term === term.term) {
            connection.notify(clusterMethods.report, createReport());
            await waitFor(clock, reportPeriodMs, [closed, knownTerm.announced, view.leavingObserved, crashObserver.observed], signal);
            lossReason ??= nowMs() - connection.lastReceivedAtMs > coordinatorTimeoutMs ? "silent" : undefined;
            if (isCoordinatorCutOff() && await takeOverIfCutOff(term, connection, signal)) {
                return "superseded";
            }
        }
        if (lossReason === undefined) {
            return "superseded";
        }
        log.warn("coordinator lost", { coordinator: term.hostId, term: term.term, why: lossReason });
        connection.destroy();
        if (lossReason === connectionClosed) {
            return "closed";
        }
        membership.suspect(term.peerAddress, nowMs() + suspicionMs);
        return "lost";
    };

    return {
        get isConnected() {
            return coordinatorConnection !== undefined;
        },
        follow,
        recordEnd: () => {
            coordinatorConnection = undefined;
        },
        isInContact: (atMs) => coordinatorConnection !== undefined && atMs - coordinatorConnection.lastReceivedAtMs < contactValidMs,
        requestTrial: async (params) => {
            const reply = await coordinatorConnection?.call<TrialReply>(clusterMethods.trial, params, trialGrantValidMs);
            return reply?.isOk() === true ? reply.value : { kind: "unavailable" };
        },
        returnTrial: (params) => {
            coordinatorConnection?.notify(clusterMethods.trialReturn, params);
        },
    };
}
