/** Takes over the coordinator's role: from a coordinator that resigns, or from one that was lost. */
import type { Address } from "../model/names.js";
import { waitFor } from "../model/signal.js";
import type { Clock } from "../model/time.js";
import { isDurationMs } from "../model/valueSchemas.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import type { TopicReader } from "../store/topicReader.js";
import type { DirectReader } from "./directReader.js";
import type { KnownTerm } from "./knownTerm.js";
import type { Member, Membership } from "./membership.js";
import type { ResignReply } from "./messages.js";
import { callTimeoutMs, clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";
import type { PeerLinks } from "./peerLinks.js";
import { claimTimeMs, coordinatorTimeoutMs, successionRank } from "./succession.js";
import type { TargetReach } from "./targetReach.js";
import type { TermClaims } from "./termClaims.js";

/** A host that is cut off from the targets tries to follow the coordinator again after this time, instead of claiming its term. */
const retryFollowingMs = 200;

/** Dependencies of a takeover. */
export interface TakeoverDependencies {
    self: Member;
    membership: Membership;
    links: PeerLinks;
    reader: TopicReader;
    directReader: Pick<DirectReader, "retryDelayMs">;
    claims: TermClaims;
    knownTerm: KnownTerm;
    targetReach: TargetReach;
    clock: Clock;
}

/** Ways in which this host becomes the coordinator. */
export interface Takeover {
    /** Asks the coordinator to resign, and claims the next term if it did; resolves to whether the store acknowledged the claim. */
    takeOver(coordinator: PeerConnection): Promise<boolean>;
    /**
     * Takes over from a coordinator that is leaving, or cut off from targets, and has asked this host to do so.
     * @returns false if this host is no better successor
     */
    takeOverFrom(address: Address): boolean;
    /** Waits until another host has claimed a new term, or claims it when it is this host's turn. */
    succeed(lostTerm: TermRecord | undefined, signal: AbortSignal): Promise<void>;
}

/** Creates the takeover. */
export function createTakeover(
    { self, membership, links, reader, directReader, claims, knownTerm, targetReach, clock }: TakeoverDependencies,
): Takeover {
    const nowMs = () => clock.now().monoMs;

    /**
     * Starts reading the configuration topic, so that the successor plans with the evacuations in force. The claim does not wait for the
     * reading, which may fail on its own.
     */
    const startReadingConfiguration = () => {
        void reader.read("configuration", 0);
    };

    const takeOver = async (coordinator: PeerConnection): Promise<boolean> => {
        startReadingConfiguration();
        const reply = await coordinator.call<ResignReply>(clusterMethods.resign, {}, callTimeoutMs);
        if (reply.isErr() || !reply.value.resigned || !isDurationMs(reply.value.grantsLastMs)) {
            return false;
        }
        return claims.claim({ grantsLastMs: reply.value.grantsLastMs, receivedAtMs: nowMs() });
    };

    /** Tells whether another host that claimed a term answers; it may be about to coordinate. */
    const isAnswering = async ({ hostId, peerAddress }: TermRecord): Promise<boolean> =>
        hostId !== self.hostId && (await links.call(peerAddress, "probe", {}, callTimeoutMs)).isOk();

    const countReachable = async (others: readonly Member[]): Promise<number> => {
        const replies = await Promise.all(others.map(({ peerAddress }) => links.call(peerAddress, "probe", {}, callTimeoutMs)));
        return replies.filter((reply) => reply.isOk()).length;
    };

    return {
        takeOver,
        takeOverFrom: (address) => {
            if (membership.isLeaving || targetReach.isCutOff()) {
                return false;
            }
            void links.connect(address).then((connection) => connection.isOk() && !membership.isLeaving && takeOver(connection.value));
            return true;
        },
        succeed: async (lostTerm, signal) => {
            if (targetReach.isCutOff() && lostTerm !== undefined && await isAnswering(lostTerm)) {
                await clock.sleep(retryFollowingMs, signal);
                return;
            }
            const lostAtMs = nowMs();
            const others = membership.members().filter(({ hostId }) => hostId !== self.hostId && hostId !== lostTerm?.hostId);
            const reachableCount = await countReachable(others);
            const rank = lostTerm?.hostId === self.hostId ? 0 : successionRank(self, others);
            const claimAtMs = claimTimeMs({
                lostAtMs, rank, knownPeerCount: others.length, reachablePeerCount: reachableCount,
                isCutOffFromTargets: targetReach.isCutOff(),
            });
            while (!signal.aborted && !membership.isLeaving) {
                const isRead = (await reader.read("ledger", 0)).isOk();
                if (knownTerm.latest?.term !== lostTerm?.term) {
                    return;
                }
                if (isRead && nowMs() >= claimAtMs) {
                    startReadingConfiguration();
                    await claims.claim();
                    return;
                }
                // The host that claims the term announces it, and a host without current news reads the ledger anyway.
                const pauseMs = isRead ? Math.max(1, claimAtMs - nowMs()) : directReader.retryDelayMs();
                await waitFor(clock, pauseMs, [knownTerm.announced, knownTerm.termRead], signal);
                if (lostTerm !== undefined && nowMs() > claimAtMs + coordinatorTimeoutMs) {
                    return;
                }
            }
        },
    };
}
