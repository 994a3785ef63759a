/** Composes a coordinator's updates and sends them to its followers. */
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashEvidenceUpdate } from "../crashes/crashReport.js";
import { CrashUpdateQueue } from "../crashes/crashReport.js";
import type { Offset, TargetId, Term } from "../model/names.js";
import { Signal } from "../model/signal.js";
import { eraOf } from "../model/storePosition.js";
import type { LeavingTarget } from "../model/target.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { LedgerChange } from "../ownership/ledgerRecords.js";
import type { OwnerLookup, OwnershipNotice } from "../ownership/ownerLookup.js";
import type { ClusterView } from "../store/clusterView.js";
import type { Followers } from "./followers.js";
import type { EvacuationList, FollowParams, News } from "./messages.js";
import { clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

/** Longest age that news state; older knowledge is of no use. */
const maxStatedAgeMs = 1_000_000;

/** Dependencies of a sender. */
export interface NewsSenderDependencies {
    term: Term;
    view: ClusterView;
    owners: OwnerLookup;
    crashEvidence: CrashEvidence;
    followers: Followers;
    clock: Clock;
    log: Log;
    /** See `Coordinator`. */
    storeAgeMs: (now: Instant) => number;
    /** See `Coordinator`. */
    configAgeMs: (nowMs: number) => number;
}

/** Sends the updates of one coordinator. */
export interface NewsSender {
    /** Fires when changes of the ledger wait for the next update. */
    readonly ledgerChangesQueued: Signal;
    /** Fires when evidence of crashes waits for the next update. */
    readonly evidenceQueued: Signal;
    /** Sends an update to all followers. It includes the unsent changes of the ledger, since it states the ledger's end. */
    broadcast(content: Partial<News>): void;
    /** Sends the notice of owners, with the evidence of crashes that was not sent yet. */
    broadcastNotice(notice: OwnershipNotice): void;
    /** Broadcasts that targets are leaving. The reporting host gets it too, as the confirmation that ends its reports. */
    broadcastLeaving(leaving: readonly LeavingTarget[], from: PeerConnection | undefined): void;
    /** Sends the evacuations in force to all followers. */
    broadcastEvacuations(): void;
    /** Queues changes of the ledger that begin at an offset. */
    queueLedgerChanges(changes: readonly LedgerChange[], from: Offset): void;
    /** Queues what a host has reported, as far as it is new. Observations of this host are in its evidence already, and always new. */
    queueEvidence(reported: CrashEvidenceUpdate | undefined, isOwn: boolean): void;
    /** Composes everything that a new follower lacks. */
    fullNews(params: FollowParams, createNotice: () => OwnershipNotice): News;
}

/** Creates the sender. */
export function createNewsSender(dependencies: NewsSenderDependencies): NewsSender {
    const { term, view, owners, crashEvidence, followers, clock, log, storeAgeMs, configAgeMs } = dependencies;
    /** Targets whose leaving was broadcast to all hosts, each with the start time of its process (`bornWallMs`). */
    const announcedLeaving = new Map<TargetId, number>();
    /** Changes of the ledger that were not sent to the hosts yet, and the offset from which they are complete. */
    let unsentLedger: { changes: LedgerChange[]; from: Offset } | undefined;
    const ledgerChangesQueued = new Signal();
    /** Evidence of crashes that was not sent to the hosts yet. */
    const unsentEvidence = new CrashUpdateQueue();
    const evidenceQueued = new Signal();

    const createNews = (content: Partial<News>): News => ({
        term,
        storeAgeMs: Math.round(Math.min(maxStatedAgeMs, storeAgeMs(clock.now()))),
        configAgeMs: Math.round(Math.min(maxStatedAgeMs, configAgeMs(clock.now().monoMs))),
        configOffset: view.config?.offset ?? -1 as Offset,
        configVersion: view.platformConfigVersion,
        targetsUpTo: view.targetsUpTo,
        targetsDigest: view.targets.digest(),
        ledgerUpTo: view.ledger.upTo,
        membersVersion: followers.listVersion,
        ...content,
    });

    const broadcast = (content: Partial<News>) => {
        const news = createNews(content);
        const message = unsentLedger === undefined ? news : { ...news, ledger: unsentLedger.changes, ledgerFrom: unsentLedger.from };
        unsentLedger = undefined;
        followers.notifyAll(clusterMethods.news, message);
    };

    const evacuations = (): EvacuationList => ({ upTo: view.configUpTo, inForce: view.evacuations.inForce() });

    const takeUnsentEvidence = (): Pick<News, "crashEvidence"> => {
        const taken = unsentEvidence.take(clock.now().monoMs);
        return taken === undefined ? {} : { crashEvidence: taken };
    };

    return {
        ledgerChangesQueued,
        evidenceQueued,
        broadcast,
        broadcastNotice: (notice) => {
            broadcast({ notice, ...takeUnsentEvidence() });
        },
        broadcastLeaving: (leaving, from) => {
            view.applyLeaving(leaving, clock.now().monoMs);
            view.leavingReports.confirm(leaving);
            const newlyLeaving = leaving.filter(({ targetId, bornWallMs }) => announcedLeaving.get(targetId) !== bornWallMs);
            newlyLeaving.forEach(({ targetId, bornWallMs }) => announcedLeaving.set(targetId, bornWallMs));
            if (newlyLeaving.length > 0) {
                log.info("targets announced that they are leaving", { targets: newlyLeaving.map(({ targetId }) => targetId) });
                broadcast({ leavingTargets: newlyLeaving });
            }
            if (leaving.length > newlyLeaving.length) {
                from?.notify(clusterMethods.news, createNews({ leavingTargets: leaving }));
            }
        },
        broadcastEvacuations: () => {
            broadcast({ evacuations: evacuations() });
        },
        queueLedgerChanges: (changes, from) => {
            owners.refresh();
            if (changes.length > 0) {
                unsentLedger = { changes: [...unsentLedger?.changes ?? [], ...changes], from: unsentLedger?.from ?? from };
                ledgerChangesQueued.fire();
            }
        },
        queueEvidence: (reported, isOwn) => {
            const nowMs = clock.now().monoMs;
            const added = reported === undefined || isOwn ? reported : crashEvidence.merge(reported, nowMs);
            if (added !== undefined) {
                unsentEvidence.add(added, nowMs);
                evidenceQueued.fire();
            }
        },
        fullNews: (params, createNotice) => {
            const members = followers.listFor(params.members);
            const ledgerFrom = eraOf(params.ledgerUpTo) < eraOf(view.ledger.upTo) ? 0 as Offset : params.ledgerUpTo;
            return createNews({
                targets: view.targets.changesSince(params.targetsFrom),
                ledger: view.ledger.all().filter(({ offset }) => offset >= ledgerFrom),
                ledgerFrom,
                ...members === undefined ? {} : { members },
                leavingTargets: view.targets.leaving(),
                evacuations: evacuations(),
                ...crashEvidence.isEmpty ? {} : { crashEvidence: crashEvidence.snapshot(clock.now().monoMs) },
                notice: createNotice(),
            });
        },
    };
}
