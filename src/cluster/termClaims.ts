/** Claims terms, and computes until when the coordinator of the previous term may still act. */
import type { HostId, Offset, RunId, TargetId, Term } from "../model/names.js";
import { hash } from "../model/rendezvous.js";
import { eraOf, offsetInEra } from "../model/storePosition.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { maxTimeToExpiryMs } from "../ownership/leaseTerms.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import { encodeLedgerRecord, termKey } from "../ownership/ledgerRecords.js";
import type { DraftedRecord } from "../ownership/ownershipDraft.js";
import type { Predecessor } from "../ownership/predecessor.js";
import { authorityMs } from "../ownership/termAuthority.js";
import { nextTerm } from "../ownership/termNumbers.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { Member } from "./membership.js";

/** A resignation is relied on only if the claim is acknowledged within this time; after a longer time the coordinator may resume. */
const resignationValidMs = 800;

/** The pause after a failed claim doubles from the first to the second value. */
const firstRetryMs = 80;
const maxRetryMs = 1_000;

/** Hashes are below this number. */
const hashRange = 2 ** 32;

/** Key of records without content, which only make the ledger longer. */
const paddingKey = "-";

/** Limit on such records in one claim; a copy that is seconds old lacks fewer. */
const maxPaddingCount = 20_000;

const noPredecessor: Predecessor = { actsUntilMs: 0, grantsUntilMs: 0 };

/** Answer of a coordinator that resigned. */
export interface Resignation {
    /** Time from the resignation until all of its grants have expired. */
    grantsLastMs: number;
    /** Monotonic time at which the answer was received. */
    receivedAtMs: number;
}

/** The term that a coordinator held when the store came back from an older copy. */
export interface TermHeldBefore {
    term: Term;
    /** True if the store may have lost moves of a later coordinator. */
    canHaveLostMoves: boolean;
    /** Returns the time from now until all leases granted under it have expired. */
    grantsLastMs(): number;
    /** Returns until when a target may hold leases granted under it, in monotonic time. */
    grantsUntilMsOf(targetId: TargetId): number;
    /** Renews the leases that stand, each under its fencing token, until `stop` is called. */
    renewLeases(permission: RenewalPermission): void;
    /** Ends the renewal. */
    stop(): void;
}

/** Permission of a later term to renew the leases of an earlier one. */
export interface RenewalPermission {
    mayRenew(now: Instant): boolean;
    /** Returns the duration of a lease that is renewed now. */
    holdMs(now: Instant): number;
}

/** A term that this host has claimed. */
export interface ClaimedTerm {
    /** Time at which the call that confirmed the term was sent to the store. */
    confirmedAt: Instant;
    predecessor: Predecessor;
    /** The term that this host held before, if its leases are to be renewed. */
    heldBefore?: TermHeldBefore | undefined;
}

/** Dependencies of `TermClaims`. */
export interface TermClaimsDependencies {
    self: Member;
    /** Longest lease that any coordinator grants. */
    maxHoldMs: number;
    view: ClusterView;
    store: StorePort;
    reader: TopicReader;
    clock: Clock;
    log: Log;
}

/** Claims terms for this host. */
export class TermClaims {
    private acknowledgedClaim: ClaimedTerm | undefined;
    private heldBefore: TermHeldBefore | undefined;
    private failedCount = 0;
    /** Run of a coordinator whose process has certainly ended, since another process listens at its address. */
    private endedRun: RunId | undefined;

    constructor(private readonly dependencies: TermClaimsDependencies) {}

    /** Records the run that has certainly ended; undefined clears it. */
    recordEndedRun(runId: RunId | undefined): void {
        this.endedRun = runId;
    }

    /**
     * Claims the next term after the store came back from an older copy.
     * @param heldBefore the term of this host's coordinator, if no other coordinator can have moved keys; otherwise undefined
     * @returns whether the store acknowledged the claim
     */
    claimAnew(heldBefore: TermHeldBefore | undefined): Promise<boolean> {
        this.heldBefore = heldBefore;
        return this.claim();
    }

    /**
     * Claims the next term, and records again what the store has lost. Resolves after a pause if the claim fails.
     * @param resignation answer of the previous coordinator; undefined when it was lost
     * @returns whether the store acknowledged the claim
     */
    async claim(resignation?: Resignation): Promise<boolean> {
        const { self, view, store, reader, clock, log } = this.dependencies;
        const previous = view.ledger.term;
        const end = view.ledger.upTo;
        const mayBeUnsettled = view.ledger.isTermOutdated || previous?.unsettled === true;
        const record: TermRecord = {
            kind: "term", term: this.nextTerm(previous), hostId: self.hostId, runId: self.runId, peerAddress: self.peerAddress,
            ...mayBeUnsettled ? { unsettled: true } : {},
        };
        const lost = view.ledger.lost();
        const records = withPadding([{ key: termKey, record }, ...lost], end, view.ledger.highestEnd);
        const sentAt = clock.now();
        const outcome = await store.append(records.map((draft) => encodeLedgerRecord(draft.key, draft.record)), end);
        log.info("term claim attempted", {
            term: record.term, era: eraOf(end), end: offsetInEra(end), resigned: resignation !== undefined,
            recordedAgain: lost.map(({ key }) => key),
            outcome: outcome.isOk() ? outcome.value.kind : outcome.error.message,
        });
        if (outcome.isErr() || outcome.value.kind === "conflict") {
            await reader.read("ledger", 0);
            await clock.sleep(retryDelayMs(self.hostId, this.failedCount));
            this.failedCount += 1;
            return false;
        }
        this.failedCount = 0;
        const predecessor = mayBeUnsettled ? this.predecessorBeforeReturn(previous) : this.predecessorOf(previous, resignation);
        this.acknowledgedClaim = { confirmedAt: sentAt, predecessor, heldBefore: this.heldBeforeOf(previous) };
        this.heldBefore = undefined;
        const { offset } = outcome.value;
        const changes = records.map((draft, index) => ({ ...draft, offset: offset + index as Offset }));
        view.applyLedger(changes, offset, offset + records.length as Offset);
        return true;
    }

    /**
     * Returns and forgets the claim that was acknowledged last. A claim that was never acknowledged, but was found in the ledger,
     * counts from now, because it is unknown when it took effect.
     */
    takeClaimedTerm(): ClaimedTerm {
        const { clock, view } = this.dependencies;
        const { term } = view.ledger;
        const claimed = this.acknowledgedClaim ?? {
            confirmedAt: clock.now(),
            predecessor: term?.unsettled === true ? this.predecessorBeforeReturn(term) : this.predecessorWithoutResignation(false),
        };
        this.acknowledgedClaim = undefined;
        return claimed;
    }

    /**
     * Returns the number of the term after the previous one. If that can't be read, it is at most the number of records before it, since
     * every term has a record.
     */
    private nextTerm(previous: TermRecord | undefined): Term {
        const { ledger } = this.dependencies.view;
        return nextTerm(previous?.term ?? (ledger.isTermUnreadable ? offsetInEra(ledger.upTo) : 0), eraOf(ledger.upTo));
    }

    /** Returns the term that this host held before the store came back from an older copy, if that was the latest term. */
    private heldBeforeOf(previous: TermRecord | undefined): TermHeldBefore | undefined {
        return this.heldBefore?.term === previous?.term ? this.heldBefore : undefined;
    }

    /**
     * A store that came back from an older copy may have lost the claim of a coordinator that still acts, and the records on which it
     * granted leases, unless this host is the coordinator that held the term until then.
     */
    private predecessorBeforeReturn(previous: TermRecord | undefined): Predecessor {
        const { clock, maxHoldMs, view } = this.dependencies;
        const nowMs = clock.now().monoMs;
        const held = this.heldBeforeOf(previous);
        if (held?.canHaveLostMoves === false) {
            const grantsUntilMsOf = (targetId: TargetId) => held.grantsUntilMsOf(targetId);
            return { actsUntilMs: nowMs, grantsUntilMs: nowMs + held.grantsLastMs(), grantsUntilMsOf };
        }
        // The store confirmed a lost term before it came back. An unsettled one may have been confirmed until now.
        const confirmedUntilMs = previous?.unsettled === true ? nowMs : view.returnSeenMs(eraOf(view.ledger.upTo)) ?? nowMs;
        const actsUntilMs = confirmedUntilMs + authorityMs;
        const grantsUntilMs = actsUntilMs + maxTimeToExpiryMs(maxHoldMs);
        return {
            actsUntilMs, grantsUntilMs, grantsFromMs: grantsUntilMs,
            ...held === undefined ? {} : { grantsUntilMsOf: (targetId) => Math.max(grantsUntilMs, held.grantsUntilMsOf(targetId)) },
        };
    }

    private predecessorOf(previous: TermRecord | undefined, resignation: Resignation | undefined): Predecessor {
        if (previous === undefined) {
            return this.dependencies.view.ledger.isTermUnreadable ? this.predecessorWithoutResignation(false) : noPredecessor;
        }
        const nowMs = this.dependencies.clock.now().monoMs;
        if (resignation !== undefined && nowMs - resignation.receivedAtMs < resignationValidMs) {
            return { actsUntilMs: nowMs, grantsUntilMs: nowMs + resignation.grantsLastMs };
        }
        return this.predecessorWithoutResignation(previous.hostId === this.dependencies.self.hostId || previous.runId === this.endedRun);
    }

    private predecessorWithoutResignation(hasEnded: boolean): Predecessor {
        const actsUntilMs = this.dependencies.clock.now().monoMs + (hasEnded ? 0 : authorityMs);
        return { actsUntilMs, grantsUntilMs: actsUntilMs + maxTimeToExpiryMs(this.dependencies.maxHoldMs) };
    }
}

/** Returns the pause after a failed claim: half of it depends on the host, so that hosts do not try again all at once. */
function retryDelayMs(hostId: HostId, failedCount: number): number {
    const longestMs = Math.min(maxRetryMs, firstRetryMs * 2 ** failedCount);
    return longestMs * (1 + hash(`${hostId} ${String(failedCount)}`) / hashRange) / 2;
}

/**
 * Makes an append so long that the ledger ends behind every offset of an earlier era. An append that was sent then and arrives late would
 * otherwise take effect if the ledger happened to end where it expects.
 */
function withPadding(records: readonly DraftedRecord[], end: Offset, highestEnd: number): DraftedRecord[] {
    const missingCount = highestEnd + 1 - offsetInEra(end) - records.length;
    const paddingCount = Math.min(maxPaddingCount, Math.max(0, missingCount));
    return [...records, ...Array.from({ length: paddingCount }, () => ({ key: paddingKey, record: undefined }))];
}
