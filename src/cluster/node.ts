/** This host's role in the cluster: it coordinates, follows the coordinator, or takes over from a coordinator that was lost. */
import type { AdmissionServer } from "../admission/admissionServer.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import { linkAborts, waitFor } from "../model/signal.js";
import { eraOf, offsetInEra } from "../model/storePosition.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { runRestartedTasks } from "../observe/tasks.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import type { LeasePort } from "../ownership/leasePort.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { OwnershipManagerDependencies } from "../ownership/ownershipManager.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import { ConfigAge } from "./configAge.js";
import { createConfigFetcher } from "./configFetcher.js";
import type { Coordinator } from "./coordinator.js";
import { createCoordinator } from "./coordinator.js";
import { recordWhileAlone, watchCrashRecords } from "./crashRecording.js";
import { createDirectReader } from "./directReader.js";
import { createFollowing } from "./following.js";
import { createReport, reportPeriodMs } from "./hostReports.js";
import { KnownTerm } from "./knownTerm.js";
import type { Member, Membership } from "./membership.js";
import { createMessageChecks } from "./messageChecks.js";
import { callTimeoutMs, clusterMethods } from "./messages.js";
import { createNewsReceiver } from "./newsReceiver.js";
import { createNodeHandlers } from "./nodeHandlers.js";
import type { PeerHandlers } from "./peerConnection.js";
import type { PeerLinks } from "./peerLinks.js";
import { createRoleHandover } from "./roleHandover.js";
import type { StateAges } from "./stateAges.js";
import { createStateAges } from "./stateAges.js";
import { createTakeover } from "./takeover.js";
import type { TargetReach } from "./targetReach.js";
import { TermClaims } from "./termClaims.js";

const retryDelayMs = 80;

/** Dependencies of a node. */
export interface NodeDependencies {
    self: Member;
    maxHoldMs: number;
    /** Time within which a new configuration must be in force at every host. */
    configApplyMs: number;
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
    targetReach: TargetReach;
    clock: Clock;
    log: Log;
    onMove: OwnershipManagerDependencies["onMove"];
}

/** This host as a member of the cluster. */
export interface ClusterNode extends Pick<StateAges, "knowledgeAgeMs" | "configAgeMs"> {
    handlers(): PeerHandlers;
    run(signal: AbortSignal): Promise<void>;
    /** Takes this host out of the cluster; if it coordinates, asks other hosts in turn to take over. */
    handOver(): Promise<void>;
    isCoordinating(): boolean;
    /** Tells whether this host coordinates, or has heard from the coordinator that it follows a moment ago. */
    isInContact(nowMs: number): boolean;
    /** Asks the coordinator whether a request may run once after its quarantine. */
    requestTrial(params: TrialParams): Promise<TrialReply>;
    /** Tells the coordinator that the request of a trial certainly did not run; without a coordinator the trial is used up. */
    returnTrial(params: TrialReturn): void;
    describe(): object;
}

/** Creates the node. */
export function createNode(dependencies: NodeDependencies): ClusterNode {
    const { self, view, membership, crashEvidence, crashObserver, links, clock, log } = dependencies;
    let coordinator: Coordinator | undefined;
    let stopCoordinating: AbortController | undefined;
    const nowMs = () => clock.now().monoMs;

    const knownTerm = new KnownTerm(view);
    const claims = new TermClaims(dependencies);
    const configAge = new ConfigAge();
    const checks = createMessageChecks(log);
    const configFetcher = createConfigFetcher({ view, checks, log });
    const newsReceiver = createNewsReceiver({
        ...dependencies, checks, configAge, configFetcher, latestTerm: () => knownTerm.latest?.term,
    });
    const directReader = createDirectReader({ ...dependencies, configAge });
    const ages = createStateAges({ view, configAge, directReader, newsReceiver, clock, coordinator: () => coordinator });
    const takeover = createTakeover({ ...dependencies, directReader, claims, knownTerm });
    const following = createFollowing({
        ...dependencies, claims, configAge, knownTerm, newsReceiver, directReader, takeover, createReport: () => createReport(dependencies),
    });

    const roleHandover = createRoleHandover({ ...dependencies, isCoordinating: () => coordinator !== undefined });

    const coordinate = async (term: TermRecord, signal: AbortSignal) => {
        const claimed = claims.takeClaimedTerm();
        const newCoordinator = createCoordinator({
            ...dependencies, ...claimed, configFetcher, term, claimAnew: (held) => claims.claimAnew(held),
        });
        coordinator = newCoordinator;
        configAge.recordJoined();
        log.info("started coordinating", {
            term: term.term, predecessorMs: Math.round(Math.max(0, claimed.predecessor.grantsUntilMs - nowMs())),
        });
        const stop = new AbortController();
        stopCoordinating = stop;
        void runRestartedTasks({ "own reports": (ended) => reportLocally(newCoordinator, ended) }, clock, log, stop.signal);
        void announceTerm(term);
        void roleHandover.whileCutOff(stop.signal);
        const linkedAbort = linkAborts(signal, stop.signal);
        try {
            await newCoordinator.run(linkedAbort.signal);
        }
        finally {
            linkedAbort.release();
            stop.abort();
            configAge.confirm(nowMs() - newCoordinator.configAgeMs(nowMs()));
            coordinator = undefined;
        }
        directReader.recordRead(nowMs());
        log.info("stopped coordinating", { term: term.term, now: view.ledger.term?.hostId });
    };

    const reportLocally = async (localCoordinator: Coordinator, signal: AbortSignal) => {
        while (!signal.aborted) {
            localCoordinator.report(createReport(dependencies), undefined);
            await waitFor(clock, reportPeriodMs, [view.leavingObserved, crashObserver.observed], signal);
        }
    };

    /** Announces the term to all hosts. Those that cannot read the store would otherwise go on following the previous coordinator. */
    const announceTerm = async (term: TermRecord) => {
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId);
        await Promise.all(others.map(({ peerAddress }) => links.call(peerAddress, clusterMethods.announce, term, callTimeoutMs)));
    };

    const handleAnnouncedTerm = (term: TermRecord) => {
        if (term.term <= (knownTerm.latest?.term ?? 0)) {
            return;
        }
        log.info("term announcement received", { coordinator: term.hostId, term: term.term });
        knownTerm.recordAnnounced(term);
        if (coordinator !== undefined && coordinator.term < term.term) {
            stopCoordinating?.abort();
        }
        knownTerm.announced.fire();
    };

    return {
        handlers: () => createNodeHandlers({
            self, view, checks, newsReceiver, takeover, coordinator: () => coordinator, onTermAnnounced: handleAnnouncedTerm,
        }),
        run: async (signal) => {
            watchCrashRecords(view, crashEvidence, clock);
            const aloneRecording = {
                store: dependencies.store, evidence: crashEvidence, observer: crashObserver, self: self.hostId, clock, log,
                isConnected: () => coordinator !== undefined || following.isConnected,
            };
            void runRestartedTasks({
                "direct reading": (stop) => directReader.readWhenStale(ages.isStale, stop),
                "records without a coordinator": (stop) => recordWhileAlone(aloneRecording, stop),
            }, clock, log, signal);
            while (!signal.aborted && !await directReader.readAllTopics()) {
                await clock.sleep(retryDelayMs, signal);
            }
            while (!signal.aborted) {
                const term = knownTerm.latest;
                if (term?.runId === self.runId && !knownTerm.isOutdated) {
                    await coordinate(term, signal);
                    continue;
                }
                const isOther = term !== undefined && term.hostId !== self.hostId;
                const end = isOther ? await following.follow(term, signal) : "lost";
                following.recordEnd();
                if (end !== "closed" && knownTerm.latest?.term === term?.term) {
                    await takeover.succeed(term, signal);
                }
                await clock.sleep(1, signal);
            }
        },
        handOver: async () => {
            membership.leave();
            await roleHandover.offer();
        },
        isCoordinating: () => coordinator !== undefined,
        isInContact: (atMs) => coordinator !== undefined || following.isInContact(atMs),
        requestTrial: async (params) => coordinator === undefined ? following.requestTrial(params) : coordinator.grantTrial(params),
        returnTrial: (params) => {
            if (coordinator === undefined) {
                following.returnTrial(params);
                return;
            }
            void coordinator.takeBackTrial(params);
        },
        knowledgeAgeMs: ages.knowledgeAgeMs,
        configAgeMs: ages.configAgeMs,
        describe: () => ({
            self, members: membership.members(), term: view.ledger.term, ledgerUpTo: offsetInEra(view.ledger.upTo),
            storeEra: eraOf(view.ledger.upTo), configVersion: view.config?.config.version, configOffset: view.config?.offset,
            evacuated: view.evacuations.inForce().map(({ dataCentreId }) => dataCentreId),
            knowledgeAgeMs: Math.round(ages.knowledgeAgeMs(nowMs())), targets: [...view.targets.all()],
            coordinator: coordinator?.describe(),
        }),
    };
}
