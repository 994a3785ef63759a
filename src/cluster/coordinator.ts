/** The coordinator: reads the store on behalf of all hosts, sends them updates, and manages the ownership of keys. */
import { setMaxListeners } from "node:events";
import { paceNews } from "./newsPacing.js";
import type { PeerConnection } from "./peerConnection.js";
import type { FollowParams, FollowReply, News, Report, ResignReply } from "./messages.js";
import { clusterMethods } from "./messages.js";
import { watchConfig } from "./configWatch.js";
import { recordCrashes } from "./crashRecording.js";
import type { MemberListVersion } from "./memberList.js";
import { MemberList } from "./memberList.js";
import { createTrialGranter } from "./trialGrants.js";
import type { Member, Membership } from "./membership.js";
import { repairRecords } from "./recordRepair.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashEvidenceUpdate } from "../crashes/crashReport.js";
import { CrashUpdateQueue } from "../crashes/crashReport.js";
import type { TrialParams, TrialReply } from "../crashes/trial.js";
import type { Offset, TargetId, Term } from "../model/names.js";
import { linkAborts, Signal, waitFor } from "../model/signal.js";
import type { LeavingTarget } from "../model/target.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { FenceCounter } from "../ownership/fences.js";
import { defaultHoldMs } from "../ownership/leaseTerms.js";
import type { LeasePort } from "../ownership/leasePort.js";
import type { LedgerChange } from "../ownership/ledger.js";
import { createLedgerWriter } from "../ownership/ledgerWriter.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { OwnershipManager, OwnershipManagerDependencies, Predecessor } from "../ownership/ownershipManager.js";
import { createOwnershipManager } from "../ownership/ownershipManager.js";
import { TermAuthority } from "../ownership/termAuthority.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { TopicReader } from "../store/topicReader.js";

/** Period of reading the targets topic. Targets write to it all the time, so a long poll would return at once. */
const targetsReadPeriodMs = 450;

/** Period of reading the ledger. A long poll would be of no use, since the coordinator itself appends nearly every record. */
const ledgerReadPeriodMs = 650;

/** Pause after a failed reading of the ledger. It is short, because after a failure the term must be confirmed before anything else. */
const confirmRetryMs = 120;

/** A follower that has not reported for this long is disconnected. */
const followerTimeoutMs = 1_200;

/** Keys are not moved for balance once the store has not confirmed the term for this long. */
const balancingStopsAfterMs = ledgerReadPeriodMs + 250;

/** Leases of the longest permitted duration are granted once the store has not confirmed the term for this long. */
const longLeasesAfterMs = 1_000;

/** Longest age that news state; older knowledge is of no use. */
const maxStatedAgeMs = 1_000_000;

/** A coordinator that resigned resumes after this time if no other host has taken over. */
const resignationTimeoutMs = 1_200;

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

interface Follower {
    member: Member;
    connection: PeerConnection;
    lastReportAtMs: number;
    leaving: boolean;
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
    /** Time since the store last confirmed the term, or since the targets were last read, whichever is longer. */
    storeAgeMs(now: Instant): number;
    /** Time since the store last confirmed that no newer configuration is in force; infinite if the newest one can't be decoded. */
    configAgeMs(nowMs: number): number;
    describe(): object;
}

/** Creates a coordinator for a term that the store has confirmed. */
export function createCoordinator(dependencies: CoordinatorDependencies): Coordinator {
    const { view, clock, log, membership, owners, crashEvidence, reader } = dependencies;
    const authority = new TermAuthority();
    authority.confirm(dependencies.confirmedAt);
    const followers = new Map<PeerConnection, Follower>();
    const memberList = new MemberList();
    const confirmRequested = new Signal();
    /** Targets whose leaving was broadcast to all hosts, each with the start time of its process (`bornWallMs`). */
    const announcedLeaving = new Map<TargetId, number>();
    let resignedAtMs: number | undefined;
    let targetsConfirmedAt: Instant | undefined;
    let configConfirmedAtMs = Number.NEGATIVE_INFINITY;
    let isLedgerReadFailing = false;
    /** Changes of the ledger that were not sent to the hosts yet, and the offset from which they are complete. */
    let unsentLedger: { changes: LedgerChange[]; from: Offset } | undefined;
    const ledgerChangesQueued = new Signal();
    /** Evidence of crashes that was not sent to the hosts yet. */
    const unsentEvidence = new CrashUpdateQueue();
    const evidenceQueued = new Signal();

    const isSuperseded = () => view.ledger.term?.term !== dependencies.term;
    const mayAct = (now: Instant) => resignedAtMs === undefined && !isSuperseded() && authority.isHeld(now);

    const writer = createLedgerWriter({
        store: dependencies.store, reader, view, clock, log,
        mayWrite: mayAct,
        isSuperseded,
        onWritten: (changes, from, _upTo, sentAt) => {
            authority.confirm(sentAt);
            queueLedgerChanges(changes, from);
        },
    });

    const trialGranter = createTrialGranter({ evidence: crashEvidence, writer, mayAct, clock, log });

    const ownershipManager: OwnershipManager = createOwnershipManager({
        view, clock, log, writer, leases: dependencies.leases,
        fences: new FenceCounter(dependencies.term),
        mayGrant: mayAct,
        mayBalance: (now) =>
            mayAct(now) && !isLedgerReadFailing && authority.ageMs(now) < balancingStopsAfterMs && writer.isStoreResponding(now.monoMs),
        holdMs: (now) => authority.ageMs(now) > longLeasesAfterMs ? dependencies.maxHoldMs : defaultHoldMs,
        maxHoldMs: dependencies.maxHoldMs,
        predecessor: dependencies.predecessor,
        onOutdated: () => {
            // Only a later term has higher fencing tokens, so nothing is granted until the store confirms that there is none.
            authority.drop();
            confirmRequested.fire();
        },
        onMove: dependencies.onMove,
    });

    const createNews = (extra: Partial<News> = {}): News => ({
        term: dependencies.term,
        storeAgeMs: Math.round(Math.min(maxStatedAgeMs, storeAgeMs(clock.now()))),
        configAgeMs: Math.round(Math.min(maxStatedAgeMs, configAgeMs(clock.now().monoMs))),
        configOffset: view.config?.offset ?? -1 as Offset,
        configVersion: view.platformConfigVersion,
        targetsUpTo: view.targetsUpTo,
        targetsDigest: view.targets.digest(),
        ledgerUpTo: view.ledger.upTo,
        membersVersion: memberList.version,
        ...extra,
    });

    const storeAgeMs = (now: Instant): number => {
        const targetsAgeMs = targetsConfirmedAt === undefined ? Number.POSITIVE_INFINITY : now.monoMs - targetsConfirmedAt.monoMs;
        return Math.max(authority.ageMs(now), targetsAgeMs);
    };

    const configAgeMs = (nowMs: number): number => view.isConfigUnreadable ? Number.POSITIVE_INFINITY : nowMs - configConfirmedAtMs;

    /** Sends an update to all followers. It includes the unsent changes of the ledger, since it states the ledger's end. */
    const broadcast = (news: News) => {
        const message = unsentLedger === undefined ? news : { ...news, ledger: unsentLedger.changes, ledgerFrom: unsentLedger.from };
        unsentLedger = undefined;
        for (const { connection } of followers.values()) {
            connection.notify(clusterMethods.news, message);
        }
    };

    const queueLedgerChanges = (changes: readonly LedgerChange[], from: Offset) => {
        owners.refresh();
        if (changes.length > 0) {
            unsentLedger = { changes: [...unsentLedger?.changes ?? [], ...changes], from: unsentLedger?.from ?? from };
            ledgerChangesQueued.fire();
        }
    };

    /** Broadcasts that targets are leaving. The reporting host gets it too, as the confirmation that ends its reports. */
    const broadcastLeaving = (leaving: readonly LeavingTarget[], from: PeerConnection | undefined) => {
        view.applyLeaving(leaving, clock.now().monoMs);
        view.leavingReports.confirm(leaving);
        const newlyLeaving = leaving.filter(({ targetId, bornWallMs }) => announcedLeaving.get(targetId) !== bornWallMs);
        newlyLeaving.forEach(({ targetId, bornWallMs }) => announcedLeaving.set(targetId, bornWallMs));
        if (newlyLeaving.length > 0) {
            log.info("targets announced that they are leaving", { targets: newlyLeaving.map(({ targetId }) => targetId) });
            broadcast(createNews({ leavingTargets: newlyLeaving }));
        }
        if (leaving.length > newlyLeaving.length) {
            from?.notify(clusterMethods.news, createNews({ leavingTargets: leaving }));
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
            broadcast(createNews({ members }));
        }
    };

    const hasCurrentMembers = (known: MemberListVersion | undefined): boolean =>
        known?.term === dependencies.term && known.version === memberList.version;

    const addFollower = (member: Member, connection: PeerConnection) => {
        followers.set(connection, { member, connection, lastReportAtMs: clock.now().monoMs, leaving: false });
        void connection.closed.then(() => {
            followers.delete(connection);
            log.info("follower disconnected", { host: member.hostId });
            updateMembers();
        });
        log.info("follower connected", { host: member.hostId, run: member.runId });
        updateMembers();
    };

    const dropSilentFollowers = (nowMs: number) => {
        for (const [connection, { lastReportAtMs }] of followers) {
            if (nowMs - lastReportAtMs > followerTimeoutMs) {
                connection.destroy();
            }
        }
    };

    const confirmTerm = async (signal: AbortSignal) => {
        while (!signal.aborted && !isSuperseded()) {
            const askedAt = clock.now();
            const from = view.ledger.upTo;
            const reading = await reader.read("ledger", 0);
            isLedgerReadFailing = reading.isErr();
            if (reading.isOk() && !isSuperseded()) {
                authority.confirm(askedAt);
                resumeIfNotReplaced(askedAt);
                queueLedgerChanges(reading.value.ledger, from);
            }
            const pauseMs = reading.isOk() ? ledgerReadPeriodMs - authority.ageMs(clock.now()) : confirmRetryMs;
            await waitFor(clock, pauseMs, [confirmRequested], signal);
        }
    };

    /**
     * Resumes if no host has taken over. A host that claims the next term later than that can no longer rely on the resignation,
     * but waits until the grants of this term have expired.
     */
    const resumeIfNotReplaced = (askedAt: Instant) => {
        if (resignedAtMs !== undefined && askedAt.monoMs - resignedAtMs > resignationTimeoutMs) {
            resignedAtMs = undefined;
            log.info("resumed after resignation", { term: dependencies.term });
        }
    };

    const readTargets = async (signal: AbortSignal) => {
        while (!signal.aborted && !isSuperseded()) {
            const askedAt = clock.now();
            const reading = await reader.read("targets", 0);
            if (reading.isOk()) {
                targetsConfirmedAt = askedAt;
                broadcastTargets(reading.value.targets);
            }
            await clock.sleep(targetsReadPeriodMs, signal);
        }
    };

    const broadcastTargets = (changes: readonly TargetChange[]) => {
        if (changes.length > 0) {
            log.info("targets changed", { changes: changes.map(({ targetId, entry }) => `${targetId} ${entry?.state ?? "gone"}`) });
            broadcast(createNews({ targets: changes }));
        }
    };

    /** Queues what a host has reported, as far as it is new. Observations of this host are in its evidence already, and always new. */
    const queueEvidence = (reported: CrashEvidenceUpdate | undefined, isOwn: boolean) => {
        const nowMs = clock.now().monoMs;
        const added = reported === undefined || isOwn ? reported : crashEvidence.merge(reported, nowMs);
        if (added !== undefined) {
            unsentEvidence.add(added, nowMs);
            evidenceQueued.fire();
        }
    };

    const takeUnsentEvidence = (): Pick<News, "crashEvidence"> => {
        const taken = unsentEvidence.take(clock.now().monoMs);
        return taken === undefined ? {} : { crashEvidence: taken };
    };

    const sendNotice = () => {
        if (isSuperseded()) {
            return;
        }
        const nowMs = clock.now().monoMs;
        dropSilentFollowers(nowMs);
        const notice = ownershipManager.notice(nowMs);
        owners.setNotice(notice, nowMs);
        broadcast(createNews({ notice, ...takeUnsentEvidence() }));
    };

    return {
        term: dependencies.term,
        run: async (signal) => {
            const stop = new AbortController();
            const linkedAbort = linkAborts(signal, stop.signal);
            setMaxListeners(0, linkedAbort.signal);
            owners.refresh();
            void ownershipManager.run(linkedAbort.signal);
            void paceNews({
                clock, urgent: ownershipManager.moveStarted,
                deferrable: [ownershipManager.noticeChanged, ledgerChangesQueued, evidenceQueued],
                send: sendNotice,
            }, linkedAbort.signal);
            void watchConfig({
                reader, view, clock,
                onConfirmed: (atMs) => {
                    configConfirmedAtMs = atMs;
                },
                onChanged: () => {
                    broadcast(createNews());
                },
            }, linkedAbort.signal);
            void readTargets(linkedAbort.signal);
            void recordCrashes({
                view, evidence: crashEvidence, self: membership.self.hostId, writer, clock, log,
            }, linkedAbort.signal);
            void repairRecords({ view, writer, clock, log }, linkedAbort.signal);
            await confirmTerm(linkedAbort.signal);
            stop.abort();
            linkedAbort.release();
            authority.drop();
            for (const { connection } of followers.values()) {
                connection.destroy();
            }
        },
        follow: (params, from) => {
            if (!followers.has(from)) {
                addFollower(params.member, from);
            }
            return { accepted: true, news: createNews({
                targets: view.targets.changesSince(params.targetsFrom),
                ledger: view.ledger.all().filter(({ offset }) => offset >= params.ledgerUpTo),
                ledgerFrom: params.ledgerUpTo,
                ...hasCurrentMembers(params.members) ? {} : { members: memberList.fullUpdate() },
                leavingTargets: view.targets.leaving(),
                ...crashEvidence.isEmpty ? {} : { crashEvidence: crashEvidence.snapshot(clock.now().monoMs) },
                notice: ownershipManager.notice(clock.now().monoMs),
            }) };
        },
        report: ({ loads, pressures, leavingTargets, crashEvidence: observations, leaving }, from) => {
            const nowMs = clock.now().monoMs;
            const follower = from === undefined ? undefined : followers.get(from);
            if (follower !== undefined) {
                follower.lastReportAtMs = nowMs;
                if (leaving !== follower.leaving) {
                    follower.leaving = leaving;
                    updateMembers();
                }
            }
            broadcastLeaving(leavingTargets ?? [], from);
            queueEvidence(observations, from === undefined);
            ownershipManager.addLoads(loads, nowMs);
            ownershipManager.addPressures(pressures, nowMs);
        },
        resign: () => {
            const now = clock.now();
            if (isSuperseded()) {
                return { resigned: false };
            }
            resignedAtMs = now.monoMs;
            log.info("coordinator resigned", { term: dependencies.term });
            return { resigned: true, grantsLastMs: ownershipManager.grantsLastMs(now.monoMs) };
        },
        grantTrial: (params) => trialGranter.grant(params),
        storeAgeMs,
        configAgeMs,
        describe: () => ({
            term: dependencies.term, resigned: resignedAtMs !== undefined, authorityAgeMs: Math.round(authority.ageMs(clock.now())),
            followers: [...followers.values()].map(({ member }) => member.hostId),
            owners: ownershipManager.describe(clock.now().monoMs),
        }),
    };
}
