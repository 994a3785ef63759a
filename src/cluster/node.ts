/** This host's role in the cluster: it coordinates, follows the coordinator, or takes over from a coordinator that was lost. */
import type { Result } from "neverthrow";
import type { AdmissionServer } from "../admission/admissionServer.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { TrialParams, TrialReply } from "../crashes/trial.js";
import { trialGrantValidMs } from "../crashes/trial.js";
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import { linkAborts, Signal, waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import { isDurationMs } from "../model/valueSchemas.js";
import type { Log } from "../observe/log.js";
import type { TermRecord } from "../ownership/ledger.js";
import type { LeasePort } from "../ownership/leasePort.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { OwnershipManagerDependencies } from "../ownership/ownershipManager.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import { ConfigAge } from "./configAge.js";
import type { Coordinator } from "./coordinator.js";
import { recordWhileAlone, watchCrashRecords } from "./crashRecording.js";
import { createCoordinator } from "./coordinator.js";
import type { Member, Membership } from "./membership.js";
import { createMessageChecks } from "./messageChecks.js";
import type { ConfigurationReply, FollowParams, FollowReply, News, Report, ResignReply } from "./messages.js";
import { clusterMethods } from "./messages.js";
import { createNewsReceiver } from "./newsReceiver.js";
import type { PeerConnection, PeerHandlers } from "./peerConnection.js";
import type { PeerLinks } from "./peerLinks.js";
import type { FollowEnd } from "./succession.js";
import { claimTimeMs, successionRank, claimStaggerMs } from "./succession.js";
import { TermClaims } from "./termClaims.js";

const reportPeriodMs = 300;
const callTimeoutMs = 500;

/** A coordinator that has sent nothing for this long counts as lost. */
const coordinatorTimeoutMs = 900;

/** Two updates of the coordinator are less than this apart, unless it or the path to it is disturbed. */
const contactValidMs = 600;

/** A host that does not coordinate reads the store itself once its state may be older than this. */
const staleAfterMs = 1_400;

/** Period at which this host checks whether its state is stale, and reads the store while it is. */
const directReadPeriodMs = 250;
const retryDelayMs = 80;

/** Largest cluster in which each host retries an unavailable store at the normal period; in larger ones hosts retry less often. */
const fullRateHostCount = 8;

/** A host that can read the store takes over when the coordinator has had no confirmation from the store for this long. */
const coordinatorConfirmationTimeoutMs = 1_300;

/** Time that a coordinator needs to confirm its term once the store is available again, including its pause between two attempts. */
const storeRecoveryGraceMs = 350;

const connectionClosed = "connection closed";

/** A coordinator that stopped sending is avoided for this long; other hosts keep its admission queues meanwhile. */
const suspicionMs = 1_000;

/** Dependencies of a node. */
export interface NodeDependencies {
    self: Member;
    maxHoldMs: number;
    view: ClusterView;
    store: StorePort;
    reader: TopicReader;
    membership: Membership;
    owners: OwnerLookup;
    links: PeerLinks;
    leases: LeasePort;
    loads: LoadMeter;
    admissionServer: AdmissionServer;
    crashEvidence: CrashEvidence;
    crashObserver: Pick<CrashObserver, "takeUnreported" | "observed">;
    clock: Clock;
    log: Log;
    onMove: OwnershipManagerDependencies["onMove"];
}

/** This host as a member of the cluster. */
export interface ClusterNode {
    handlers(): PeerHandlers;
    run(signal: AbortSignal): Promise<void>;
    /** Takes this host out of the cluster; if it coordinates, asks other hosts in turn to take over. */
    handOver(): Promise<void>;
    isCoordinating(): boolean;
    /** Tells whether this host coordinates, or has heard from the coordinator that it follows a moment ago. */
    isInContact(nowMs: number): boolean;
    /** Asks the coordinator whether a request may run once after its quarantine. */
    requestTrial(params: TrialParams): Promise<TrialReply>;
    /** Time since the store last confirmed the state that this host acts on. */
    knowledgeAgeMs(nowMs: number): number;
    /** Time since it was last confirmed that no newer configuration is in force; see `ConfigAge.ageMs`. */
    configAgeMs(nowMs: number): number;
    describe(): object;
}

/** Creates the node. */
export function createNode(dependencies: NodeDependencies): ClusterNode {
    const { self, view, reader, membership, owners, crashEvidence, crashObserver, links, clock, log } = dependencies;
    let coordinator: Coordinator | undefined;
    let stopCoordinating: AbortController | undefined;
    const termAnnounced = new Signal();
    /** Monotonic time at which this host sent its last complete reading of the store. */
    let lastReadAtMs = Number.NEGATIVE_INFINITY;
    let isLeaving = false;
    /** Connection to the coordinator that this host follows. */
    let coordinatorConnection: PeerConnection | undefined;
    /** Latest term that its coordinator announced to this host; it may be later than the ledger's. */
    let announcedTerm: TermRecord | undefined;

    const nowMs = () => clock.now().monoMs;

    /** The latest term that this host knows, from the ledger or an announcement. */
    const latestTerm = (): TermRecord | undefined => {
        const { term } = view.ledger;
        return announcedTerm !== undefined && announcedTerm.term > (term?.term ?? 0) ? announcedTerm : term;
    };

    const claims = new TermClaims(dependencies);
    const configAge = new ConfigAge();
    const checks = createMessageChecks(log);
    const newsReceiver = createNewsReceiver({ ...dependencies, checks, configAge, latestTerm: () => latestTerm()?.term });

    /** Reads every topic from the store; resolves to whether all could be read. */
    const readAllTopics = async (): Promise<boolean> => {
        const askedAtMs = nowMs();
        // All hosts try while the store is unavailable, so the other topics are read only if this first call succeeds.
        const ledger = await reader.read("ledger", 0);
        const others = ledger.isErr() ? [] : await Promise.all([reader.read("targets", 0), reader.read("configuration", 0)]);
        owners.refresh();
        const isComplete = [ledger, ...others].every((reading) => reading.isOk());
        if (isComplete) {
            lastReadAtMs = Math.max(lastReadAtMs, askedAtMs);
            configAge.confirm(askedAtMs);
        }
        return isComplete;
    };

    const knowledgeAgeMs = (atMs: number) =>
        coordinator === undefined ? atMs - Math.max(lastReadAtMs, newsReceiver.confirmedAtMs) : coordinator.storeAgeMs(clock.now());

    const configAgeMs = (atMs: number) => {
        if (view.isConfigUnreadable) {
            return Number.POSITIVE_INFINITY;
        }
        const ageMs = configAge.ageMs(view.platformConfigVersion, atMs);
        return coordinator === undefined || !Number.isFinite(ageMs) ? ageMs : Math.min(ageMs, coordinator.configAgeMs(atMs));
    };

    /** Delay before the store is tried again. It grows with the cluster, so that the rate of all hosts together is bounded. */
    const storeRetryDelayMs = () => directReadPeriodMs * Math.max(1, membership.members().length / fullRateHostCount);

    /** Reads the store whenever this host's state is stale because the coordinator does not update it. */
    const readStoreWhenStale = async (signal: AbortSignal) => {
        let pauseMs = directReadPeriodMs;
        while (!signal.aborted) {
            await clock.sleep(pauseMs, signal);
            const isStale = coordinator === undefined && knowledgeAgeMs(nowMs()) > staleAfterMs;
            pauseMs = isStale && !await readAllTopics() ? storeRetryDelayMs() : directReadPeriodMs;
        }
    };

    /** Follows a coordinator until it is lost, its connection closes, another term is in force, or this host stops. */
    const follow = async (term: TermRecord, signal: AbortSignal): Promise<FollowEnd> => {
        const connected = await links.connect(term.peerAddress);
        if (connected.isErr()) {
            return "lost";
        }
        const connection = connected.value;
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
        newsReceiver.apply(reply.value.news, connection);
        if (!crashEvidence.isEmpty) {
            connection.notify(clusterMethods.report, { ...createReport(), crashEvidence: crashEvidence.snapshot(nowMs()) });
        }
        let lossReason: string | undefined;
        const closed = new Signal();
        void connection.closed.then(() => {
            lossReason ??= connectionClosed;
            closed.fire();
        });
        while (!signal.aborted && lossReason === undefined && latestTerm()?.term === term.term) {
            connection.notify(clusterMethods.report, createReport());
            await waitFor(clock, reportPeriodMs, [closed, termAnnounced, view.leavingObserved, crashObserver.observed], signal);
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

    const isCoordinatorCutOff = () => nowMs() - newsReceiver.confirmedAtMs > coordinatorConfirmationTimeoutMs;

    /** Takes over from a coordinator that answers but cannot read the store. The hosts try in order of rank. */
    const takeOverIfCutOff = async (term: TermRecord, connection: PeerConnection, signal: AbortSignal): Promise<boolean> => {
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId && hostId !== term.hostId);
        await clock.sleep(successionRank(self, others) * claimStaggerMs, signal);
        if (isLeaving || !isCoordinatorCutOff() || !await readAllTopics()) {
            return false;
        }
        // A store that has just become available again may answer this host shortly before it answers the coordinator.
        await clock.sleep(storeRecoveryGraceMs, signal);
        if (isLeaving || !isCoordinatorCutOff() || latestTerm()?.term !== term.term) {
            return false;
        }
        log.info("coordinator cut off from the store", { coordinator: term.hostId, term: term.term });
        return takeOver(connection);
    };

    /** Asks the coordinator to resign, and claims the next term if it did. */
    const takeOver = async (connection: PeerConnection): Promise<boolean> => {
        const reply = await connection.call<ResignReply>(clusterMethods.resign, {}, callTimeoutMs);
        if (reply.isErr() || !reply.value.resigned || !isDurationMs(reply.value.grantsLastMs)) {
            return false;
        }
        return claims.claim({ grantsLastMs: reply.value.grantsLastMs, receivedAtMs: nowMs() });
    };

    const coordinate = async (term: TermRecord, signal: AbortSignal) => {
        const claimed = claims.takeClaimedTerm();
        const newCoordinator = createCoordinator({ ...dependencies, ...claimed, term: term.term });
        coordinator = newCoordinator;
        configAge.recordJoined();
        log.info("started coordinating", {
            term: term.term, predecessorMs: Math.round(Math.max(0, claimed.predecessor.grantsUntilMs - nowMs())),
        });
        const stop = new AbortController();
        stopCoordinating = stop;
        void reportLocally(newCoordinator, stop.signal);
        void announceTerm(term);
        const linkedAbort = linkAborts(signal, stop.signal);
        await newCoordinator.run(linkedAbort.signal);
        linkedAbort.release();
        stop.abort();
        configAge.confirm(nowMs() - newCoordinator.configAgeMs(nowMs()));
        coordinator = undefined;
        lastReadAtMs = nowMs();
        log.info("stopped coordinating", { term: term.term, now: view.ledger.term?.hostId });
    };

    const createReport = (): Report => {
        const leavingTargets = view.leavingReports.unconfirmed();
        const observations = crashObserver.takeUnreported();
        return {
            loads: dependencies.loads.takeReport(), pressures: dependencies.admissionServer.pressures(), leaving: membership.isLeaving,
            ...leavingTargets.length > 0 ? { leavingTargets } : {},
            ...observations === undefined ? {} : { crashEvidence: observations },
        };
    };

    const reportLocally = async (localCoordinator: Coordinator, signal: AbortSignal) => {
        while (!signal.aborted) {
            localCoordinator.report(createReport(), undefined);
            await waitFor(clock, reportPeriodMs, [view.leavingObserved, crashObserver.observed], signal);
        }
    };

    /** Announces the term to all hosts. Those that cannot read the store would otherwise go on following the previous coordinator. */
    const announceTerm = async (term: TermRecord) => {
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId);
        await Promise.all(others.map(({ peerAddress }) => links.call(peerAddress, clusterMethods.announce, term, callTimeoutMs)));
    };

    const handleAnnouncedTerm = (term: TermRecord) => {
        if (term.term <= (latestTerm()?.term ?? 0)) {
            return;
        }
        log.info("term announcement received", { coordinator: term.hostId, term: term.term });
        announcedTerm = term;
        if (coordinator !== undefined && coordinator.term < term.term) {
            stopCoordinating?.abort();
        }
        termAnnounced.fire();
    };

    /** Waits until another host has claimed a new term, or claims it when it is this host's turn. */
    const runSuccession = async (lostTerm: TermRecord | undefined, signal: AbortSignal): Promise<void> => {
        const lostAtMs = nowMs();
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId && hostId !== lostTerm?.hostId);
        const reachableCount = await countReachable(others);
        const rank = lostTerm?.hostId === self.hostId ? 0 : successionRank(self, others);
        const claimAtMs = claimTimeMs({ lostAtMs, rank, knownPeerCount: others.length, reachablePeerCount: reachableCount });
        while (!signal.aborted && !isLeaving) {
            const isRead = (await reader.read("ledger", 0)).isOk();
            if (latestTerm()?.term !== lostTerm?.term) {
                return;
            }
            if (isRead && nowMs() >= claimAtMs) {
                await claims.claim();
                return;
            }
            // The host that claims the term announces it, so the store need not be read again before this host's turn.
            await waitFor(clock, isRead ? Math.max(1, claimAtMs - nowMs()) : storeRetryDelayMs(), [termAnnounced], signal);
            if (lostTerm !== undefined && nowMs() > claimAtMs + coordinatorTimeoutMs) {
                return;
            }
        }
    };

    const countReachable = async (others: readonly Member[]): Promise<number> => {
        const replies = await Promise.all(others.map(({ peerAddress }) => links.call(peerAddress, "probe", {}, callTimeoutMs)));
        return replies.filter((reply) => reply.isOk()).length;
    };

    /** Takes over from a coordinator that is leaving and has asked this host to do so. */
    const takeOverFrom = async (address: Address) => {
        const connection = await links.connect(address);
        if (connection.isOk() && !isLeaving) {
            await takeOver(connection.value);
        }
    };

    return {
        handlers: () => ({
            [clusterMethods.follow]: (params: FollowParams, from: PeerConnection): FollowReply =>
                coordinator?.follow(unwrapOrThrow(checks.follow(params, from.address)), from) ?? { accepted: false, runId: self.runId },
            [clusterMethods.news]: (news: News, from: PeerConnection) => {
                newsReceiver.apply(news, from);
            },
            [clusterMethods.report]: (report: Report, from: PeerConnection) => {
                const checked = coordinator === undefined ? undefined : checks.report(report, from.address);
                if (checked !== undefined) {
                    coordinator?.report(checked, from);
                }
            },
            [clusterMethods.resign]: (): ResignReply => coordinator?.resign() ?? { resigned: false },
            [clusterMethods.trial]: (params: TrialParams, from: PeerConnection): Promise<TrialReply> | TrialReply =>
                coordinator?.grantTrial(unwrapOrThrow(checks.trial(params, from.address))) ?? { kind: "unavailable" },
            [clusterMethods.succeed]: ({ address }: { address: Address }) => {
                void takeOverFrom(address);
            },
            [clusterMethods.announce]: (term: TermRecord, from: PeerConnection) => {
                handleAnnouncedTerm(unwrapOrThrow(checks.term(term, from.address)));
            },
            [clusterMethods.configuration]: (): ConfigurationReply | undefined =>
                view.config === undefined ? undefined : { config: view.config.config, offset: view.config.offset },
        }),
        run: async (signal) => {
            void readStoreWhenStale(signal);
            watchCrashRecords(view, crashEvidence, clock);
            void recordWhileAlone({
                store: dependencies.store, evidence: crashEvidence, observer: crashObserver, self: self.hostId, clock, log,
                isConnected: () => coordinator !== undefined || coordinatorConnection !== undefined,
            }, signal);
            while (!signal.aborted && !await readAllTopics()) {
                await clock.sleep(retryDelayMs, signal);
            }
            while (!signal.aborted) {
                const term = latestTerm();
                if (term?.runId === self.runId) {
                    await coordinate(term, signal);
                    continue;
                }
                const isOther = term !== undefined && term.hostId !== self.hostId;
                const end = isOther ? await follow(term, signal) : "lost";
                coordinatorConnection = undefined;
                if (end !== "closed" && latestTerm()?.term === term?.term) {
                    await runSuccession(term, signal);
                }
                await clock.sleep(1, signal);
            }
        },
        handOver: async () => {
            isLeaving = true;
            membership.leave();
            const successors = membership.reachable(nowMs()).filter(({ hostId }) => hostId !== self.hostId)
                .sort((left, right) => right.cpuShare - left.cpuShare);
            for (const successor of successors) {
                if (coordinator === undefined) {
                    return;
                }
                await links.call(successor.peerAddress, clusterMethods.succeed, { address: self.peerAddress }, callTimeoutMs);
                await waitFor(clock, callTimeoutMs, [view.ledgerChanged]);
                await clock.sleep(retryDelayMs);
            }
        },
        isCoordinating: () => coordinator !== undefined,
        isInContact: (atMs) => coordinator !== undefined
            || (coordinatorConnection !== undefined && atMs - coordinatorConnection.lastReceivedAtMs < contactValidMs),
        requestTrial: async (params) => {
            if (coordinator !== undefined) {
                return coordinator.grantTrial(params);
            }
            const reply = await coordinatorConnection?.call<TrialReply>(clusterMethods.trial, params, trialGrantValidMs);
            return reply?.isOk() === true ? reply.value : { kind: "unavailable" };
        },
        knowledgeAgeMs,
        configAgeMs,
        describe: () => ({
            self, members: membership.members(), term: view.ledger.term, ledgerUpTo: view.ledger.upTo,
            configVersion: view.config?.config.version, configOffset: view.config?.offset,
            knowledgeAgeMs: Math.round(knowledgeAgeMs(nowMs())), targets: [...view.targets.all()],
            coordinator: coordinator?.describe(),
        }),
    };
}

/** Returns a checked message. A failure is thrown, so that the calling host gets it as the answer to its call. */
function unwrapOrThrow<T>(checked: Result<T, Failure>): T {
    if (checked.isErr()) {
        throw new Error(describeFailure(checked.error));
    }
    return checked.value;
}
