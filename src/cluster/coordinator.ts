/** The coordinator: reads the store on behalf of all hosts, sends them updates, and manages the ownership of keys. */
import { setMaxListeners } from "node:events";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import type { Term } from "../model/names.js";
import { linkAborts } from "../model/signal.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { FenceCounter } from "../ownership/fences.js";
import type { LeasePort } from "../ownership/leasePort.js";
import { defaultHoldMs } from "../ownership/leaseTerms.js";
import { createLedgerWriter } from "../ownership/ledgerWriter.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { OwnershipManager, OwnershipManagerDependencies, Predecessor } from "../ownership/ownershipManager.js";
import { createOwnershipManager } from "../ownership/ownershipManager.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { TopicReader } from "../store/topicReader.js";
import { watchConfig } from "./configWatch.js";
import { recordCrashes } from "./crashRecording.js";
import { createFollowers } from "./followers.js";
import { createHeldTerm, ledgerReadPeriodMs } from "./heldTerm.js";
import type { Membership } from "./membership.js";
import type { FollowParams, FollowReply, Report, ResignReply } from "./messages.js";
import { paceNews } from "./newsPacing.js";
import { createNewsSender } from "./newsSender.js";
import type { PeerConnection } from "./peerConnection.js";
import { repairRecords } from "./recordRepair.js";
import { watchTargets } from "./targetsWatch.js";
import { createTrialGranter } from "./trialGrants.js";

/** Keys are not moved for balance once the store has not confirmed the term for this long. */
const balancingStopsAfterMs = ledgerReadPeriodMs + 250;

/** Leases of the longest permitted duration are granted once the store has not confirmed the term for this long. */
const longLeasesAfterMs = 1_000;

/** Dependencies and initial state of a coordinator. */
export interface CoordinatorDependencies {
    term: Term;
    /** Time at which the call that confirmed the term was sent to the store. */
    confirmedAt: Instant;
    /** Until when an earlier coordinator may still act, and its grants may be valid. */
    predecessor: Predecessor;
    maxHoldMs: number;
    store: StorePort;
    reader: TopicReader;
    view: ClusterView;
    membership: Membership;
    owners: OwnerLookup;
    crashEvidence: CrashEvidence;
    leases: LeasePort;
    clock: Clock;
    log: Log;
    onMove: OwnershipManagerDependencies["onMove"];
}

/** A coordinator of one term. */
export interface Coordinator {
    readonly term: Term;
    /** Runs until stopped or until another term is in force. */
    run(signal: AbortSignal): Promise<void>;
    follow(params: FollowParams, from: PeerConnection): FollowReply;
    report(report: Report, from: PeerConnection | undefined): void;
    resign(): ResignReply;
    /** Decides whether a request may run once after its quarantine. */
    grantTrial(params: TrialParams): Promise<TrialReply>;
    /** Takes back a trial whose request certainly did not run. */
    takeBackTrial(params: TrialReturn): Promise<void>;
    /** Time since the store last confirmed the term, or since the targets were last read, whichever is longer. */
    storeAgeMs(now: Instant): number;
    /** Time since the store last confirmed that no newer configuration is in force; infinite if the newest one can't be decoded. */
    configAgeMs(nowMs: number): number;
    describe(): object;
}

/** Creates a coordinator for a term that the store has confirmed. */
export function createCoordinator(dependencies: CoordinatorDependencies): Coordinator {
    const { term, view, clock, log, membership, owners, crashEvidence, reader } = dependencies;
    let targetsConfirmedAt: Instant | undefined;
    let configConfirmedAtMs = Number.NEGATIVE_INFINITY;

    const storeAgeMs = (now: Instant): number => {
        const targetsAgeMs = targetsConfirmedAt === undefined ? Number.POSITIVE_INFINITY : now.monoMs - targetsConfirmedAt.monoMs;
        return Math.max(heldTerm.ageMs(now), targetsAgeMs);
    };

    const configAgeMs = (nowMs: number): number => view.isConfigUnreadable ? Number.POSITIVE_INFINITY : nowMs - configConfirmedAtMs;

    const heldTerm = createHeldTerm({
        ...dependencies,
        onLedgerRead: (changes, from) => {
            news.queueLedgerChanges(changes, from);
        },
    });
    const { isSuperseded, mayAct } = heldTerm;

    const followers = createFollowers({
        term, membership, clock, log,
        onMembersChanged: (members) => {
            news.broadcast({ members });
        },
    });

    const news = createNewsSender({ term, view, owners, crashEvidence, followers, clock, log, storeAgeMs, configAgeMs });

    const writer = createLedgerWriter({
        store: dependencies.store, reader, view, clock, log,
        mayWrite: mayAct,
        isSuperseded,
        onWritten: (changes, from, _upTo, sentAt) => {
            heldTerm.confirm(sentAt);
            news.queueLedgerChanges(changes, from);
        },
    });

    const trialGranter = createTrialGranter({
        evidence: crashEvidence, recordedTrials: () => view.ledger.trials(), writer, mayAct, clock, log,
    });

    const ownershipManager: OwnershipManager = createOwnershipManager({
        view, clock, log, writer, leases: dependencies.leases,
        fences: new FenceCounter(term),
        mayGrant: mayAct,
        mayBalance: (now) => mayAct(now) && !heldTerm.isLedgerReadFailing && heldTerm.ageMs(now) < balancingStopsAfterMs
            && writer.isStoreResponding(now.monoMs),
        holdMs: (now) => heldTerm.ageMs(now) > longLeasesAfterMs ? dependencies.maxHoldMs : defaultHoldMs,
        maxHoldMs: dependencies.maxHoldMs,
        predecessor: dependencies.predecessor,
        onOutdated: () => {
            // Only a later term has higher fencing tokens, so nothing is granted until the store confirms that there is none.
            heldTerm.requestConfirmation();
        },
        onMove: dependencies.onMove,
    });

    const broadcastTargets = (changes: readonly TargetChange[]) => {
        if (changes.length > 0) {
            log.info("targets changed", { changes: changes.map(({ targetId, entry }) => `${targetId} ${entry?.state ?? "gone"}`) });
            news.broadcast({ targets: changes });
        }
    };

    const sendNotice = () => {
        if (isSuperseded()) {
            return;
        }
        const nowMs = clock.now().monoMs;
        followers.dropSilent(nowMs);
        const notice = ownershipManager.notice(nowMs);
        owners.setNotice(notice, nowMs);
        news.broadcastNotice(notice);
    };

    const startTasks = (signal: AbortSignal) => {
        void ownershipManager.run(signal);
        void paceNews({
            clock, urgent: ownershipManager.moveStarted,
            deferrable: [ownershipManager.noticeChanged, news.ledgerChangesQueued, news.evidenceQueued],
            send: sendNotice,
        }, signal);
        void watchConfig({
            reader, view, clock,
            onConfirmed: (atMs) => {
                configConfirmedAtMs = atMs;
            },
            onChanged: () => {
                news.broadcast({});
            },
        }, signal);
        void watchTargets({
            reader, clock, isSuperseded,
            onRead: (askedAt, changes) => {
                targetsConfirmedAt = askedAt;
                broadcastTargets(changes);
            },
        }, signal);
        void recordCrashes({ view, evidence: crashEvidence, self: membership.self.hostId, writer, clock, log }, signal);
        void repairRecords({ view, writer, clock, log }, signal);
    };

    return {
        term,
        run: async (signal) => {
            const stop = new AbortController();
            const linkedAbort = linkAborts(signal, stop.signal);
            setMaxListeners(0, linkedAbort.signal);
            owners.refresh();
            startTasks(linkedAbort.signal);
            await heldTerm.keepConfirmed(linkedAbort.signal);
            stop.abort();
            linkedAbort.release();
            heldTerm.drop();
            followers.disconnectAll();
        },
        follow: (params, from) => {
            followers.add(params.member, from);
            return { accepted: true, news: news.fullNews(params, () => ownershipManager.notice(clock.now().monoMs)) };
        },
        report: ({ loads, pressures, leavingTargets, crashEvidence: observations, leaving }, from) => {
            const nowMs = clock.now().monoMs;
            followers.recordReport(from, leaving, nowMs);
            news.broadcastLeaving(leavingTargets ?? [], from);
            news.queueEvidence(observations, from === undefined);
            ownershipManager.addLoads(loads, nowMs);
            ownershipManager.addPressures(pressures, nowMs);
        },
        resign: () => {
            const now = clock.now();
            if (isSuperseded()) {
                return { resigned: false };
            }
            heldTerm.resign(now.monoMs);
            return { resigned: true, grantsLastMs: ownershipManager.grantsLastMs(now.monoMs) };
        },
        grantTrial: (params) => trialGranter.grant(params),
        takeBackTrial: (params) => trialGranter.takeBack(params),
        storeAgeMs,
        configAgeMs,
        describe: () => ({
            term, resigned: heldTerm.isResigned, authorityAgeMs: Math.round(heldTerm.ageMs(clock.now())),
            followers: followers.hostIds(),
            owners: ownershipManager.describe(clock.now().monoMs),
        }),
    };
}
