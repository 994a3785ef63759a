/** This host among the others: it coordinates, or follows the coordinator, or takes over. */
import type { QueueKeeper } from "../admission/queueKeeper.js";
import type { Address } from "../model/names.js";
import { linkAborts, Signal, waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { TermRecord } from "../ownership/ledger.js";
import type { LeasePort } from "../ownership/leasePort.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { Owners } from "../ownership/owners.js";
import type { OwnershipKeeperParts } from "../ownership/ownershipKeeper.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { Coordinator } from "./coordinator.js";
import { createCoordinator } from "./coordinator.js";
import type { Member, Membership } from "./membership.js";
import type { ConfigurationReply, FollowParams, FollowReply, News, Report, ResignReply } from "./messages.js";
import { clusterMethods } from "./messages.js";
import { createNewsIntake } from "./newsIntake.js";
import type { PeerConnection, PeerHandlers } from "./peerConnection.js";
import type { PeerLinks } from "./peerLinks.js";
import type { FollowEnd } from "./succession.js";
import { claimAtMs, rankAmong, rankStepMs } from "./succession.js";
import { TermClaims } from "./termClaims.js";

const reportPeriodMs = 300;
const callTimeoutMs = 500;

/** A coordinator from which nothing came for this long is taken as lost. */
const coordinatorSilentMs = 900;

/** This host reads the store itself when what it knows may be older than this. */
const staleAfterMs = 1_400;

const ownReadPeriodMs = 250;
const retryMs = 80;

/** Up to so many hosts each ask a store that is away at their own period. */
const fewHosts = 8;

/** A host that can read the store takes over from a coordinator that cannot, after this time. */
const coordinatorCutOffMs = 1_300;

/** Time for a coordinator to confirm its term when the store has just come back, its pause between two attempts included. */
const storeReturnGraceMs = 350;

const connectionClosed = "connection closed";

/** Queues of a coordinator that fell silent are kept elsewhere for this long. */
const passOverMs = 1_000;

/** What a node works with. */
export interface NodeParts {
    self: Member;
    maxHoldMs: number;
    view: ClusterView;
    store: StorePort;
    reader: TopicReader;
    membership: Membership;
    owners: Owners;
    links: PeerLinks;
    leases: LeasePort;
    loads: LoadMeter;
    queues: QueueKeeper;
    clock: Clock;
    log: Log;
    onMove: OwnershipKeeperParts["onMove"];
}

/** This host among the others. */
export interface ClusterNode {
    handlers(): PeerHandlers;
    run(signal: AbortSignal): Promise<void>;
    /** Asks another host to coordinate, if this one does. */
    handOver(): Promise<void>;
    isCoordinating(): boolean;
    /** Time since what this host knows was confirmed by the store. */
    knowledgeAgeMs(nowMs: number): number;
    describe(): object;
}

/**
 * Creates the node.
 * @param parts what it works with
 */
export function createNode(parts: NodeParts): ClusterNode {
    const { self, view, reader, membership, owners, links, clock, log } = parts;
    let coordinator: Coordinator | undefined;
    let stopCoordinating: AbortController | undefined;
    const termHeard = new Signal();
    /** Monotonic time at which this host itself asked the store for what it knows. */
    let readMs = Number.NEGATIVE_INFINITY;
    let leaving = false;
    /** A later term than the ledger's, as its coordinator made it known. */
    let announced: TermRecord | undefined;

    const nowMs = () => clock.now().monoMs;

    /** The latest term that this host has heard of. */
    const latestTerm = (): TermRecord | undefined => {
        const { term } = view.ledger;
        return announced !== undefined && announced.term > (term?.term ?? 0) ? announced : term;
    };

    const claims = new TermClaims(parts);
    const intake = createNewsIntake({ ...parts, latestTerm: () => latestTerm()?.term });

    /** Reads every topic from the store. */
    const readAll = async (): Promise<boolean> => {
        const askedMs = nowMs();
        // One call shows whether the store answers; all hosts ask while it is away.
        const ledger = await reader.read("ledger", 0);
        const others = ledger.isErr() ? [] : await Promise.all([reader.read("targets", 0), reader.read("configuration", 0)]);
        owners.refresh();
        const whole = [ledger, ...others].every((reading) => reading.isOk());
        readMs = whole ? Math.max(readMs, askedMs) : readMs;
        return whole;
    };

    const knowledgeAgeMs = (atMs: number) =>
        coordinator === undefined ? atMs - Math.max(readMs, intake.confirmedMs) : coordinator.storeAgeMs(clock.now());

    /** Pause before a store that did not answer is asked again: all hosts together ask at about the same rate. */
    const storePauseMs = () => ownReadPeriodMs * Math.max(1, membership.members().length / fewHosts);

    /** Reads the store while the coordinator does not keep this host up to date. */
    const keepFresh = async (signal: AbortSignal) => {
        let pauseMs = ownReadPeriodMs;
        while (!signal.aborted) {
            await clock.sleep(pauseMs, signal);
            const isStale = coordinator === undefined && knowledgeAgeMs(nowMs()) > staleAfterMs;
            pauseMs = isStale && !await readAll() ? storePauseMs() : ownReadPeriodMs;
        }
    };

    /** Follows a coordinator until the connection ends, or until it is lost. */
    const follow = async (term: TermRecord, signal: AbortSignal): Promise<FollowEnd> => {
        const connected = await links.connect(term.peerAddress);
        if (connected.isErr()) {
            return "lost";
        }
        const connection = connected.value;
        const reply = await intake.ask(connection);
        if (reply.isErr()) {
            return "lost";
        }
        if (!reply.value.accepted) {
            claims.noteEnded(reply.value.runId === term.runId ? undefined : term.runId);
            return "lost";
        }
        log.info("following", { coordinator: term.hostId, term: term.term });
        intake.noteFollowing();
        intake.apply(reply.value.news, connection);
        let lostBecause: string | undefined;
        const closed = new Signal();
        void connection.closed.then(() => {
            lostBecause ??= connectionClosed;
            closed.fire();
        });
        while (!signal.aborted && lostBecause === undefined && latestTerm()?.term === term.term) {
            connection.notify(clusterMethods.report, reportNow());
            await waitFor(clock, reportPeriodMs, [closed, termHeard, view.leavingSeen], signal);
            lostBecause ??= nowMs() - connection.lastHeardMs > coordinatorSilentMs ? "silent" : undefined;
            if (isCutOff() && await takeOverFromCutOff(term, connection, signal)) {
                return "superseded";
            }
        }
        if (lostBecause === undefined) {
            return "superseded";
        }
        log.warn("coordinator lost", { coordinator: term.hostId, term: term.term, why: lostBecause });
        connection.destroy();
        if (lostBecause === connectionClosed) {
            return "closed";
        }
        membership.suspect(term.peerAddress, nowMs() + passOverMs);
        return "lost";
    };

    const isCutOff = () => nowMs() - intake.confirmedMs > coordinatorCutOffMs;

    /** The coordinator answers but cannot read the store; the first host that can takes over. */
    const takeOverFromCutOff = async (term: TermRecord, connection: PeerConnection, signal: AbortSignal): Promise<boolean> => {
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId && hostId !== term.hostId);
        await clock.sleep(rankAmong(self, others) * rankStepMs, signal);
        if (leaving || !isCutOff() || !await readAll()) {
            return false;
        }
        // A store that has just come back answers this host a moment before the coordinator.
        await clock.sleep(storeReturnGraceMs, signal);
        if (leaving || !isCutOff() || latestTerm()?.term !== term.term) {
            return false;
        }
        log.info("coordinator cut off from the store", { coordinator: term.hostId, term: term.term });
        return takeOver(connection);
    };

    /** Has the coordinator resign, and claims its term. */
    const takeOver = async (connection: PeerConnection): Promise<boolean> => {
        const reply = await connection.call<ResignReply>(clusterMethods.resign, {}, callTimeoutMs);
        if (reply.isErr() || !reply.value.resigned) {
            return false;
        }
        return claims.claim({ grantsLastMs: reply.value.grantsLastMs, resignedMs: nowMs() });
    };

    const coordinate = async (term: TermRecord, signal: AbortSignal) => {
        const claimed = claims.take();
        const started = createCoordinator({ ...parts, ...claimed, term: term.term });
        coordinator = started;
        log.info("coordinating", { term: term.term, predecessorMs: Math.round(Math.max(0, claimed.predecessor.grantsUntilMs - nowMs())) });
        const stop = new AbortController();
        stopCoordinating = stop;
        void reportToSelf(started, stop.signal);
        void announce(term);
        const until = linkAborts(signal, stop.signal);
        await started.run(until.signal);
        until.release();
        stop.abort();
        coordinator = undefined;
        readMs = nowMs();
        log.info("not coordinating any more", { term: term.term, now: view.ledger.term?.hostId });
    };

    const reportNow = (): Report => {
        const leavingTargets = view.leavingReports.unconfirmed();
        return {
            loads: parts.loads.take(), pressures: parts.queues.pressures(), leaving: membership.isLeaving,
            ...leavingTargets.length > 0 ? { leavingTargets } : {},
        };
    };

    const reportToSelf = async (to: Coordinator, signal: AbortSignal) => {
        while (!signal.aborted) {
            to.report(reportNow(), undefined);
            await waitFor(clock, reportPeriodMs, [view.leavingSeen], signal);
        }
    };

    /** Hosts that cannot read the store would go on following the coordinator before. */
    const announce = async (term: TermRecord) => {
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId);
        await Promise.all(others.map(({ peerAddress }) => links.call(peerAddress, clusterMethods.announce, term, callTimeoutMs)));
    };

    const hearOfTerm = (term: TermRecord) => {
        if (term.term <= (latestTerm()?.term ?? 0)) {
            return;
        }
        log.info("term announced", { coordinator: term.hostId, term: term.term });
        announced = term;
        if (coordinator !== undefined && coordinator.term < term.term) {
            stopCoordinating?.abort();
        }
        termHeard.fire();
    };

    /** Waits for another coordinator, and takes over when it is this host's turn. */
    const succeed = async (lost: TermRecord | undefined, signal: AbortSignal): Promise<void> => {
        const lostSinceMs = nowMs();
        const others = membership.members().filter(({ hostId }) => hostId !== self.hostId && hostId !== lost?.hostId);
        const heard = await countHeard(others);
        const rank = lost?.hostId === self.hostId ? 0 : rankAmong(self, others);
        const atMs = claimAtMs({ lostSinceMs, rank, othersKnown: others.length, othersHeard: heard });
        while (!signal.aborted && !leaving) {
            const isRead = (await reader.read("ledger", 0)).isOk();
            if (latestTerm()?.term !== lost?.term) {
                return;
            }
            if (isRead && nowMs() >= atMs) {
                await claims.claim();
                return;
            }
            // Whoever claims the term first makes it known; until this host's turn there is nothing to ask the store for.
            await waitFor(clock, isRead ? Math.max(1, atMs - nowMs()) : storePauseMs(), [termHeard], signal);
            if (lost !== undefined && nowMs() > atMs + coordinatorSilentMs) {
                return;
            }
        }
    };

    const countHeard = async (others: readonly Member[]): Promise<number> => {
        const replies = await Promise.all(others.map(({ peerAddress }) => links.call(peerAddress, "probe", {}, callTimeoutMs)));
        return replies.filter((reply) => reply.isOk()).length;
    };

    /** A coordinator that leaves has asked this host to take over. */
    const takeOverFrom = async (address: Address) => {
        const connection = await links.connect(address);
        if (connection.isOk() && !leaving) {
            await takeOver(connection.value);
        }
    };

    return {
        handlers: () => ({
            [clusterMethods.follow]: (params: FollowParams, from: PeerConnection): FollowReply =>
                coordinator?.follow(params, from) ?? { accepted: false, runId: self.runId },
            [clusterMethods.news]: (news: News, from: PeerConnection) => {
                intake.apply(news, from);
            },
            [clusterMethods.report]: (report: Report, from: PeerConnection) => {
                coordinator?.report(report, from);
            },
            [clusterMethods.resign]: (): ResignReply => coordinator?.resign() ?? { resigned: false },
            [clusterMethods.succeed]: ({ address }: { address: Address }) => {
                void takeOverFrom(address);
            },
            [clusterMethods.announce]: (term: TermRecord) => {
                hearOfTerm(term);
            },
            [clusterMethods.configuration]: (): ConfigurationReply | undefined =>
                view.config === undefined ? undefined : { config: view.config.config, offset: view.config.offset },
        }),
        run: async (signal) => {
            void keepFresh(signal);
            while (!signal.aborted && !await readAll()) {
                await clock.sleep(retryMs, signal);
            }
            while (!signal.aborted) {
                const term = latestTerm();
                if (term?.runId === self.runId) {
                    await coordinate(term, signal);
                    continue;
                }
                const isOther = term !== undefined && term.hostId !== self.hostId;
                const end = isOther ? await follow(term, signal) : "lost";
                if (end !== "closed" && latestTerm()?.term === term?.term) {
                    await succeed(term, signal);
                }
                await clock.sleep(1, signal);
            }
        },
        handOver: async () => {
            leaving = true;
            membership.leave();
            const successors = membership.reachable(nowMs()).filter(({ hostId }) => hostId !== self.hostId)
                .sort((left, right) => right.cpuShare - left.cpuShare);
            for (const successor of successors) {
                if (coordinator === undefined) {
                    return;
                }
                await links.call(successor.peerAddress, clusterMethods.succeed, { address: self.peerAddress }, callTimeoutMs);
                await waitFor(clock, callTimeoutMs, [view.ledgerChanged]);
                await clock.sleep(retryMs);
            }
        },
        isCoordinating: () => coordinator !== undefined,
        knowledgeAgeMs,
        describe: () => ({
            self, members: membership.members(), term: view.ledger.term, ledgerUpTo: view.ledger.upTo,
            configVersion: view.config?.config.version, configOffset: view.config?.offset,
            knowledgeAgeMs: Math.round(knowledgeAgeMs(nowMs())), targets: [...view.targets.all()],
            coordinator: coordinator?.describe(),
        }),
    };
}
