/** The coordinator: reads the store for all hosts, gives them news, and looks after owners. */
import { setMaxListeners } from "node:events";
import { paceNews } from "./newsPacing.js";
import type { PeerConnection } from "./peerConnection.js";
import type { FollowParams, FollowReply, News, Report, ResignReply } from "./messages.js";
import { clusterMethods } from "./messages.js";
import { watchConfig } from "./configWatch.js";
import type { MemberState } from "./memberList.js";
import { MemberList } from "./memberList.js";
import type { Member, Membership } from "./membership.js";
import type { Offset, TargetId, Term } from "../model/names.js";
import { linkAborts, Signal, waitFor } from "../model/signal.js";
import type { LeavingTarget } from "../model/target.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { FenceCounter } from "../ownership/fences.js";
import { usualHoldMs } from "../ownership/leaseTerms.js";
import type { LeasePort } from "../ownership/leasePort.js";
import type { LedgerChange } from "../ownership/ledger.js";
import { createLedgerWriter } from "../ownership/ledgerWriter.js";
import type { Owners } from "../ownership/owners.js";
import type { OwnershipKeeper, OwnershipKeeperParts, Predecessor } from "../ownership/ownershipKeeper.js";
import { createOwnershipKeeper } from "../ownership/ownershipKeeper.js";
import { TermAuthority } from "../ownership/termAuthority.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { TopicReader } from "../store/topicReader.js";

/** Targets write all the time, so that a held reading would return at once; it is asked for at this period instead. */
const targetsPeriodMs = 450;

/** Nearly all that is appended to the ledger is appended here, so that a held reading would be of no use. */
const ledgerPeriodMs = 650;

/** The term is what must be confirmed soonest after a failure. */
const confirmRetryMs = 120;

/** A host that reported nothing for this long is not at work. */
const memberSilentMs = 1_200;

/** Keys are not moved for balance when the store has confirmed nothing for this long. */
const overdueMs = ledgerPeriodMs + 250;

/** Leases are as long as targets allow once the store has confirmed nothing for this long. */
const storeTroubleMs = 1_000;

/** A coordinator that resigned acts again after this time if nobody has taken over. */
const resignedForMs = 1_200;

/** What a coordinator works with. */
export interface CoordinatorParts {
    term: Term;
    /** When the call was sent by which the store confirmed the term. */
    confirmedAt: Instant;
    /** What an earlier coordinator may still do. */
    predecessor: Predecessor;
    maxHoldMs: number;
    store: StorePort;
    reader: TopicReader;
    view: ClusterView;
    membership: Membership;
    owners: Owners;
    leases: LeasePort;
    clock: Clock;
    log: Log;
    onMove: OwnershipKeeperParts["onMove"];
}

interface Follower {
    member: Member;
    connection: PeerConnection;
    heardMs: number;
    leaving: boolean;
}

/** A coordinator at work. */
export interface Coordinator {
    readonly term: Term;
    /** Works until stopped or until another term is in force. */
    run(signal: AbortSignal): Promise<void>;
    follow(params: FollowParams, from: PeerConnection): FollowReply;
    report(report: Report, from: PeerConnection | undefined): void;
    resign(): ResignReply;
    /** Time since the store last confirmed the term. */
    storeAgeMs(now: Instant): number;
    describe(): object;
}

/**
 * Creates a coordinator for a term that the store has confirmed.
 * @param parts what it works with
 */
export function createCoordinator(parts: CoordinatorParts): Coordinator {
    const { view, clock, log, membership, owners, reader } = parts;
    const authority = new TermAuthority();
    authority.confirm(parts.confirmedAt);
    const followers = new Map<PeerConnection, Follower>();
    const memberList = new MemberList();
    const confirmNow = new Signal();
    /** Start of the process of each target that all hosts were told to leave. */
    const leavingSpread = new Map<TargetId, number>();
    let resignedMs: number | undefined;
    let targetsConfirmedAt: Instant | undefined;
    let isReadingFailing = false;
    /** Changes of the ledger that hosts have not been told yet. */
    let untold: { changes: LedgerChange[]; from: Offset } | undefined;
    const ledgerWritten = new Signal();

    const isDeposed = () => view.ledger.term?.term !== parts.term;
    const mayAct = (now: Instant) => resignedMs === undefined && !isDeposed() && authority.isHeld(now);

    const writer = createLedgerWriter({
        store: parts.store, reader, view, clock, log,
        mayWrite: mayAct,
        isDeposed,
        onWritten: (changes, from, _upTo, sentAt) => {
            authority.confirm(sentAt);
            pushLedger(changes, from);
        },
    });

    const keeper: OwnershipKeeper = createOwnershipKeeper({
        view, clock, log, writer, leases: parts.leases,
        fences: new FenceCounter(parts.term),
        mayGrant: mayAct,
        mayBalance: (now) => mayAct(now) && !isReadingFailing && authority.ageMs(now) < overdueMs && writer.isSound(now.monoMs),
        holdMs: (now) => authority.ageMs(now) > storeTroubleMs ? parts.maxHoldMs : usualHoldMs,
        predecessor: parts.predecessor,
        onOutdated: () => {
            // Only a later term has higher fences; nothing is granted until the store says that there is none.
            authority.drop();
            confirmNow.fire();
        },
        onMove: parts.onMove,
    });

    const newsNow = (more: Partial<News> = {}): News => ({
        term: parts.term,
        storeAgeMs: Math.round(Math.min(1e6, storeAgeMs(clock.now()))),
        configOffset: view.config?.offset ?? -1 as Offset,
        targetsUpTo: view.targetsUpTo,
        targetsDigest: view.targets.digest(),
        ledgerUpTo: view.ledger.upTo,
        membersVersion: memberList.version,
        ...more,
    });

    const storeAgeMs = (now: Instant): number => {
        const targetsAgeMs = targetsConfirmedAt === undefined ? Number.POSITIVE_INFINITY : now.monoMs - targetsConfirmedAt.monoMs;
        return Math.max(authority.ageMs(now), targetsAgeMs);
    };

    /** Tells all hosts; what they have not been told of the ledger goes with it, since every news says how far the ledger goes. */
    const push = (news: News) => {
        const whole = untold === undefined ? news : { ...news, ledger: untold.changes, ledgerFrom: untold.from };
        untold = undefined;
        for (const { connection } of followers.values()) {
            connection.notify(clusterMethods.news, whole);
        }
    };

    const pushLedger = (changes: readonly LedgerChange[], from: Offset) => {
        owners.refresh();
        if (changes.length > 0) {
            untold = { changes: [...untold?.changes ?? [], ...changes], from: untold?.from ?? from };
            ledgerWritten.fire();
        }
    };

    /** All hosts hear of a target that leaves, the one that saw it too: that ends its reports. */
    const spreadLeaving = (leaving: readonly LeavingTarget[], from: PeerConnection | undefined) => {
        view.hearOfLeaving(leaving, clock.now().monoMs);
        view.leavingReports.confirm(leaving);
        const fresh = leaving.filter(({ targetId, bornWallMs }) => leavingSpread.get(targetId) !== bornWallMs);
        fresh.forEach(({ targetId, bornWallMs }) => leavingSpread.set(targetId, bornWallMs));
        if (fresh.length > 0) {
            log.info("targets say that they leave", { targets: fresh.map(({ targetId }) => targetId) });
            push(newsNow({ leavingTargets: fresh }));
        }
        if (leaving.length > fresh.length) {
            from?.notify(clusterMethods.news, newsNow({ leavingTargets: leaving }));
        }
    };

    const membersNow = (): Member[] => [
        ...membership.isLeaving ? [] : [membership.self],
        ...[...followers.values()].filter(({ leaving }) => !leaving).map(({ member }) => member),
    ];

    const updateMembers = () => {
        const members = memberList.replace(membersNow());
        if (members !== undefined) {
            membership.update(memberList.members);
            push(newsNow({ members }));
        }
    };

    const knowsMembers = (known: MemberState | undefined): boolean =>
        known?.term === parts.term && known.version === memberList.version;

    const addFollower = (member: Member, connection: PeerConnection) => {
        followers.set(connection, { member, connection, heardMs: clock.now().monoMs, leaving: false });
        void connection.closed.then(() => {
            followers.delete(connection);
            log.info("host lost", { host: member.hostId });
            updateMembers();
        });
        log.info("host follows", { host: member.hostId, run: member.runId });
        updateMembers();
    };

    const dropSilentFollowers = (nowMs: number) => {
        for (const [connection, { heardMs }] of followers) {
            if (nowMs - heardMs > memberSilentMs) {
                connection.destroy();
            }
        }
    };

    const confirmTerm = async (signal: AbortSignal) => {
        while (!signal.aborted && !isDeposed()) {
            const askedAt = clock.now();
            const from = view.ledger.upTo;
            const reading = await reader.read("ledger", 0);
            isReadingFailing = reading.isErr();
            if (reading.isOk() && !isDeposed()) {
                authority.confirm(askedAt);
                resumeIfNobodyTookOver(askedAt);
                pushLedger(reading.value.ledger, from);
            }
            const pauseMs = reading.isOk() ? ledgerPeriodMs - authority.ageMs(clock.now()) : confirmRetryMs;
            await waitFor(clock, pauseMs, [confirmNow], signal);
        }
    };

    /** Whoever was to take over has claimed the term by now, or never will without waiting for this term's grants to end. */
    const resumeIfNobodyTookOver = (askedAt: Instant) => {
        if (resignedMs !== undefined && askedAt.monoMs - resignedMs > resignedForMs) {
            resignedMs = undefined;
            log.info("acting again", { term: parts.term });
        }
    };

    const readTargets = async (signal: AbortSignal) => {
        while (!signal.aborted && !isDeposed()) {
            const askedAt = clock.now();
            const reading = await reader.read("targets", 0);
            if (reading.isOk()) {
                targetsConfirmedAt = askedAt;
                pushTargets(reading.value.targets);
            }
            await clock.sleep(targetsPeriodMs, signal);
        }
    };

    const pushTargets = (changes: readonly TargetChange[]) => {
        if (changes.length > 0) {
            log.info("targets changed", { changes: changes.map(({ targetId, entry }) => `${targetId} ${entry?.state ?? "gone"}`) });
            push(newsNow({ targets: changes }));
        }
    };

    const tellNews = () => {
        if (isDeposed()) {
            return;
        }
        const nowMs = clock.now().monoMs;
        dropSilentFollowers(nowMs);
        const notice = keeper.notice(nowMs);
        owners.setNotice(notice, nowMs);
        push(newsNow({ notice }));
    };

    return {
        term: parts.term,
        run: async (signal) => {
            const stop = new AbortController();
            const until = linkAborts(signal, stop.signal);
            setMaxListeners(0, until.signal);
            owners.refresh();
            void keeper.run(until.signal);
            void paceNews({ clock, urgent: keeper.moveBegun, soon: [keeper.noticeChanged, ledgerWritten], tell: tellNews }, until.signal);
            void watchConfig({ reader, view, clock, onChanged: () => {
                push(newsNow());
            } }, until.signal);
            void readTargets(until.signal);
            await confirmTerm(until.signal);
            stop.abort();
            until.release();
            authority.drop();
            for (const { connection } of followers.values()) {
                connection.destroy();
            }
        },
        follow: (params, from) => {
            if (!followers.has(from)) {
                addFollower(params.member, from);
            }
            return { accepted: true, news: newsNow({
                targets: view.targets.changesSince(params.targetsFrom),
                ledger: view.ledger.all().filter(({ offset }) => offset >= params.ledgerUpTo),
                ledgerFrom: params.ledgerUpTo,
                ...knowsMembers(params.members) ? {} : { members: memberList.whole() },
                leavingTargets: view.targets.leaving(),
                notice: keeper.notice(clock.now().monoMs),
            }) };
        },
        report: ({ loads, pressures, leavingTargets, leaving }, from) => {
            const nowMs = clock.now().monoMs;
            const follower = from === undefined ? undefined : followers.get(from);
            if (follower !== undefined) {
                follower.heardMs = nowMs;
                if (leaving !== follower.leaving) {
                    follower.leaving = leaving;
                    updateMembers();
                }
            }
            spreadLeaving(leavingTargets ?? [], from);
            keeper.addLoads(loads, nowMs);
            keeper.addPressures(pressures, nowMs);
        },
        resign: () => {
            const now = clock.now();
            if (isDeposed()) {
                return { resigned: false };
            }
            resignedMs = now.monoMs;
            log.info("resigned", { term: parts.term });
            return { resigned: true, grantsLastMs: keeper.grantsLastMs(now.monoMs) };
        },
        storeAgeMs,
        describe: () => ({
            term: parts.term, resigned: resignedMs !== undefined, authorityAgeMs: Math.round(authority.ageMs(clock.now())),
            followers: [...followers.values()].map(({ member }) => member.hostId),
            owners: keeper.describe(clock.now().monoMs),
        }),
    };
}
