/** Claims terms, and computes until when the coordinator of the previous term may still act. */
import type { Offset, RunId, Term } from "../model/names.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { maxTimeToExpiryMs } from "../ownership/leaseTerms.js";
import type { TermRecord } from "../ownership/ledger.js";
import { encodeLedgerRecord, termKey } from "../ownership/ledger.js";
import type { Predecessor } from "../ownership/ownershipManager.js";
import { authorityMs } from "../ownership/termAuthority.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { Member } from "./membership.js";

/** A resignation is relied on only if the claim is acknowledged within this time; after a longer time the coordinator may resume. */
const resignationValidMs = 800;

const noPredecessor: Predecessor = { actsUntilMs: 0, grantsUntilMs: 0 };

/** Answer of a coordinator that resigned. */
export interface Resignation {
    /** Time from the resignation until all of its grants have expired. */
    grantsLastMs: number;
    /** Monotonic time at which the answer was received. */
    receivedAtMs: number;
}

/** A term that this host has claimed. */
export interface ClaimedTerm {
    /** Time at which the call that confirmed the term was sent to the store. */
    confirmedAt: Instant;
    predecessor: Predecessor;
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
    /** Run of a coordinator whose process has certainly ended, since another process listens at its address. */
    private endedRun: RunId | undefined;

    constructor(private readonly dependencies: TermClaimsDependencies) {}

    /** Records the run that has certainly ended; undefined clears it. */
    recordEndedRun(runId: RunId | undefined): void {
        this.endedRun = runId;
    }

    /**
     * Claims the next term.
     * @param resignation answer of the previous coordinator; undefined when it was lost
     * @returns whether the store acknowledged the claim
     */
    async claim(resignation?: Resignation): Promise<boolean> {
        const { self, view, store, reader, clock, log } = this.dependencies;
        const previous = view.ledger.term;
        const record: TermRecord = {
            kind: "term", term: this.nextTerm(previous), hostId: self.hostId, runId: self.runId, peerAddress: self.peerAddress,
        };
        const sentAt = clock.now();
        const outcome = await store.append([encodeLedgerRecord(termKey, record)], view.ledger.upTo);
        log.info("term claim attempted", {
            term: record.term, end: view.ledger.upTo, resigned: resignation !== undefined,
            outcome: outcome.isOk() ? outcome.value.kind : outcome.error.message,
        });
        if (outcome.isErr() || outcome.value.kind === "conflict") {
            await reader.read("ledger", 0);
            return false;
        }
        this.acknowledgedClaim = { confirmedAt: sentAt, predecessor: this.predecessorOf(previous, resignation) };
        const { offset } = outcome.value;
        view.applyLedger([{ offset, key: termKey, record }], offset, offset + 1 as Offset);
        return true;
    }

    /**
     * Returns and forgets the claim that was acknowledged last. A claim that was never acknowledged, but was found in the ledger,
     * counts from now, because it is unknown when it took effect.
     */
    takeClaimedTerm(): ClaimedTerm {
        const claimed = this.acknowledgedClaim
            ?? { confirmedAt: this.dependencies.clock.now(), predecessor: this.predecessorWithoutResignation(false) };
        this.acknowledgedClaim = undefined;
        return claimed;
    }

    /**
     * Returns the number of the term after the previous one. If that can't be read, it is at most the number of records before it, since
     * every term has a record.
     */
    private nextTerm(previous: TermRecord | undefined): Term {
        const { ledger } = this.dependencies.view;
        return (previous?.term ?? (ledger.isTermUnreadable ? ledger.upTo : 0)) + 1 as Term;
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
