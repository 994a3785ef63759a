/** The coordinator: reads the store on behalf of all hosts, sends them updates, and manages the ownership of keys. */
import { setMaxListeners } from "node:events";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import type { Term } from "../model/names.js";
import { linkAborts } from "../model/signal.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { Task } from "../observe/tasks.js";
import { runRestartedTasks } from "../observe/tasks.js";
import { FenceCounter } from "../ownership/fences.js";
import type { LeasePort } from "../ownership/leasePort.js";
import { defaultHoldMs, maxTimeToExpiryMs } from "../ownership/leaseTerms.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import { createLedgerWriter } from "../ownership/ledgerWriter.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { OwnershipManager, OwnershipManagerDependencies } from "../ownership/ownershipManager.js";
import { createOwnershipManager } from "../ownership/ownershipManager.js";
import type { Predecessor } from "../ownership/predecessor.js";
import { authorityMs } from "../ownership/termAuthority.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { TopicReader } from "../store/topicReader.js";
import type { ConfigFetcher } from "./configFetcher.js";
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
import type { RenewalPermission, TermHeldBefore } from "./termClaims.js";
import { settleTerm } from "./termSettling.js";
import { createTrialGranter } from "./trialGrants.js";

/** Keys are not moved for balance once the store has not confirmed the term for this long. */
const balancingStopsAfterMs = ledgerReadPeriodMs + 250;

/** Leases of the longest permitted duration are granted once the store has not confirmed the term for this long. */
const longLeasesAfterMs = 1_000;

/** Dependencies and initial state of a coordinator. */
export interface CoordinatorDependencies {
    term: TermRecord;
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
    configFetcher: ConfigFetcher;
    onMove: OwnershipManagerDependencies["onMove"];
    /** Claims the next term after the store came back from an older copy. Called before the hosts lose contact. */
    claimAnew: (held: TermHeldBefore | undefined) => Promise<boolean>;
    /** The term that this host held until the store came back from an older copy, if leases granted under it may be renewed. */
    heldBefore?: TermHeldBefore | undefined;
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
    /** Tells whether another configuration is in force than this host applies: one that it can't decode, or that a follower applies. */
    isConfigOutdated(): boolean;
    /** Time since the store last confirmed that no newer configuration is in force; infinite while the configuration is outdated. */
    configAgeMs(nowMs: number): number;
    describe(): object;
}

/** Creates a coordinator for a term that the store has confirmed. */
export function createCoordinator(dependencies: CoordinatorDependencies): Coordinator {
    const { view, clock, log, membership, owners, crashEvidence, reader, predecessor } = dependencies;
    const { term } = dependencies.term;
    let targetsConfirmedAt: Instant | undefined;
    let configConfirmedAtMs = Number.NEGATIVE_INFINITY;

    const storeAgeMs = (now: Instant): number => {
        const targetsAgeMs = targetsConfirmedAt === undefined ? Number.POSITIVE_INFINITY : now.monoMs - targetsConfirmedAt.monoMs;
        return Math.max(heldTerm.ageMs(now), targetsAgeMs);
    };

    const isConfigOutdated = () => view.isConfigUnreadable || followers.newestConfigVersion > view.platformConfigVersion;

    const configAgeMs = (nowMs: number): number => isConfigOutdated() ? Number.POSITIVE_INFINITY : nowMs - configConfirmedAtMs;

    const heldTerm = createHeldTerm({
        ...dependencies, term,
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

    /** Set once a later term of this host has this one renew its leases. */
    let renewal: RenewalPermission | undefined;

    const holdMs = (now: Instant) => heldTerm.ageMs(now) > longLeasesAfterMs ? dependencies.maxHoldMs : defaultHoldMs;

    const mayGrant = (now: Instant) => mayAct(now) && now.monoMs >= (predecessor.grantsFromMs ?? Number.NEGATIVE_INFINITY);

    const ownershipManager: OwnershipManager = createOwnershipManager({
        view, clock, log, writer, leases: dependencies.leases,
        fences: new FenceCounter(term),
        mayGrant: (now) => renewal === undefined ? mayGrant(now) : renewal.mayRenew(now),
        mayUseNewFences: () => renewal === undefined,
        mayBalance: (now) => mayAct(now) && !heldTerm.isLedgerReadFailing && heldTerm.ageMs(now) < balancingStopsAfterMs
            && writer.isStoreResponding(now.monoMs),
        holdMs: (now) => renewal?.holdMs(now) ?? holdMs(now),
        maxHoldMs: dependencies.maxHoldMs,
        predecessor,
        onOutdated: () => {
            // Only a later term has higher fencing tokens, so nothing is granted until the store confirms that there is none.
            heldTerm.requestConfirmation();
        },
        onMove: dependencies.onMove,
    });

    /** Broadcasts changes that had not been read for `unreadForMs` at most. */
    const broadcastTargets = (changes: readonly TargetChange[], unreadForMs: number | undefined) => {
        if (changes.length > 0) {
            log.info("targets changed", { changes: changes.map(({ targetId, entry }) => `${targetId} ${entry?.state ?? "gone"}`), unreadForMs });
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

    /** Has this host's earlier term renew its leases until this one may grant some itself. */
    const renewLeasesOfHeldTerm = async (signal: AbortSignal) => {
        const { heldBefore: held } = dependencies;
        held?.renewLeases({ mayRenew: mayAct, holdMs });
        await clock.sleep((predecessor.grantsFromMs ?? 0) - clock.now().monoMs, signal);
        held?.stop();
    };

    const startTasks = (signal: AbortSignal, leaseSignal: AbortSignal) => {
        const pacing = {
            clock, urgent: ownershipManager.moveStarted,
            deferrable: [ownershipManager.noticeChanged, news.ledgerChangesQueued, news.evidenceQueued],
            send: sendNotice,
        };
        const onConfigConfirmed = (atMs: number) => {
            configConfirmedAtMs = atMs;
        };
        const onConfigChanged = () => {
            news.broadcast({});
        };
        const onTargetsRead = (askedAt: Instant, changes: readonly TargetChange[]) => {
            const unreadForMs = targetsConfirmedAt === undefined ? undefined : Math.round(clock.now().monoMs - targetsConfirmedAt.monoMs);
            targetsConfirmedAt = askedAt;
            broadcastTargets(changes, unreadForMs);
        };
        const stopListening = view.evacuationsChanged.listen(() => {
            news.broadcastEvacuations();
        });
        signal.addEventListener("abort", stopListening, { once: true });
        const runs: Record<string, Task["run"]> = {
            "renewals of the term before a store's return": renewLeasesOfHeldTerm,
            "ownership": (stop) => ownershipManager.run(stop, leaseSignal),
            "updates of followers": (stop) => paceNews(pacing, stop),
            "configuration": (stop) => watchConfig({ reader, view, clock, onConfirmed: onConfigConfirmed, onChanged: onConfigChanged }, stop),
            "targets": (stop) => watchTargets({ reader, clock, isSuperseded, onRead: onTargetsRead }, stop),
            "records of crashes": (stop) =>
                recordCrashes({ view, evidence: crashEvidence, self: membership.self.hostId, writer, clock, log }, stop),
            "repair of records": (stop) => repairRecords({ view, writer, clock, log }, stop),
            "settling of the term": (stop) => settleTerm({ view, writer, clock, log, predecessor }, stop),
        };
        void runRestartedTasks(runs, clock, log, signal);
    };

    /**
     * Describes this term after the store has come back from an older copy, if it was confirmed recently. The store may have lost the claim
     * of a later coordinator, who began moves only after this one's authority had ended, and assigned ranges without a word to their owners
     * only after the longest lease; so leases may be renewed for as long, under the fencing tokens that such a coordinator has outdated.
     */
    const describeHeld = (now: Instant, stopLeases: () => void): TermHeldBefore | undefined => {
        const isSettled = now.monoMs >= (predecessor.grantsFromMs ?? Number.NEGATIVE_INFINITY);
        const ageMs = heldTerm.ageMs(now);
        return heldTerm.isResigned || !isSettled || ageMs >= maxTimeToExpiryMs(dependencies.maxHoldMs) ? undefined : {
            term,
            canHaveLostMoves: ageMs >= authorityMs,
            grantsLastMs: () => ownershipManager.grantsLastMs(clock.now().monoMs),
            grantsUntilMsOf: (targetId) => ownershipManager.grantedUntilMs(targetId, clock.now().monoMs),
            renewLeases: (permission) => {
                renewal = permission;
            },
            stop: stopLeases,
        };
    };

    /** Claims the next term if the store has come back from an older copy, and ends the leases unless they are to be renewed under it. */
    const endTerm = async (signal: AbortSignal, leases: AbortController) => {
        const held = describeHeld(clock.now(), () => {
            leases.abort();
        });
        const isClaimed = view.ledger.isTermOutdated && !signal.aborted && await dependencies.claimAnew(held);
        if (!isClaimed || held?.canHaveLostMoves !== true) {
            leases.abort();
        }
    };

    return {
        term,
        run: async (signal) => {
            const stop = new AbortController();
            const linkedAbort = linkAborts(signal, stop.signal);
            setMaxListeners(0, linkedAbort.signal);
            owners.refresh();
            const leases = new AbortController();
            setMaxListeners(0, leases.signal);
            view.ledger.isSoleWriter = true;
            startTasks(linkedAbort.signal, leases.signal);
            try {
                await heldTerm.keepConfirmed(linkedAbort.signal).finally(() => {
                    stop.abort();
                    linkedAbort.release();
                    view.ledger.isSoleWriter = false;
                });
                await endTerm(signal, leases);
            }
            catch (error) {
                leases.abort();
                throw error;
            }
            finally {
                heldTerm.drop();
                followers.disconnectAll();
            }
        },
        follow: (params, from) => {
            followers.add(params.member, from);
            return { accepted: true, news: news.fullNews(params, () => ownershipManager.notice(clock.now().monoMs)) };
        },
        report: (report, from) => {
            const { loads, pressures, leavingTargets, crashEvidence: observations, storeEra } = report;
            const nowMs = clock.now().monoMs;
            if (storeEra !== undefined) {
                heldTerm.checkEra(storeEra);
            }
            followers.recordReport(from, report, nowMs);
            if (from !== undefined && (report.configVersion ?? Number.NEGATIVE_INFINITY) > view.platformConfigVersion) {
                void dependencies.configFetcher.fetchFrom(from);
            }
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
        isConfigOutdated,
        configAgeMs,
        describe: () => ({
            term, resigned: heldTerm.isResigned, authorityAgeMs: Math.round(heldTerm.ageMs(clock.now())),
            followers: followers.hostIds(),
            owners: ownershipManager.describe(clock.now().monoMs),
        }),
    };
}
