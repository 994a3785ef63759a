/** Claims terms, and works out what the coordinator of the term before may still do. */
import type { Offset, RunId, Term } from "../model/names.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import { holdBoundMs } from "../ownership/leaseTerms.js";
import type { TermRecord } from "../ownership/ledger.js";
import { encodeLedgerRecord, termKey } from "../ownership/ledger.js";
import type { Predecessor } from "../ownership/ownershipKeeper.js";
import { authorityMs } from "../ownership/termAuthority.js";
import type { ClusterView } from "../store/clusterView.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { Member } from "./membership.js";

/** A claim counts as taken over from a coordinator that resigned only if it was acknowledged this soon. */
const resignedClaimMs = 800;

const noPredecessor: Predecessor = { actsUntilMs: 0, grantsUntilMs: 0 };

/** What a coordinator said when it resigned. */
export interface Resignation {
    /** Time from then until none of its grants counts any more. */
    grantsLastMs: number;
    /** Monotonic time at which it said so. */
    resignedMs: number;
}

/** On which terms a host coordinates. */
export interface ClaimedTerm {
    /** When the call was sent by which the store confirmed the term. */
    confirmedAt: Instant;
    predecessor: Predecessor;
}

/** What claims work with. */
export interface TermClaimsParts {
    self: Member;
    /** Longest lease that any coordinator grants. */
    maxHoldMs: number;
    view: ClusterView;
    store: StorePort;
    reader: TopicReader;
    clock: Clock;
    log: Log;
}

/** Claims of this host. */
export class TermClaims {
    private claimed: ClaimedTerm | undefined;
    /** Run of a coordinator that certainly has ended, since another process has its address. */
    private endedRun: RunId | undefined;

    constructor(private readonly parts: TermClaimsParts) {}

    /** Notes whether the run that coordinates in a term has certainly ended. */
    noteEnded(runId: RunId | undefined): void {
        this.endedRun = runId;
    }

    /**
     * Claims the next term.
     * @param resignation of the coordinator before; undefined when it was lost
     * @returns whether the term is this host's
     */
    async claim(resignation?: Resignation): Promise<boolean> {
        const { self, view, store, reader, clock, log } = this.parts;
        const before = view.ledger.term;
        const record: TermRecord = {
            kind: "term", term: (before?.term ?? 0) + 1 as Term, hostId: self.hostId, runId: self.runId, peerAddress: self.peerAddress,
        };
        const sentAt = clock.now();
        const outcome = await store.append([encodeLedgerRecord(termKey, record)], view.ledger.upTo);
        log.info("term claimed", {
            term: record.term, end: view.ledger.upTo, resigned: resignation !== undefined,
            outcome: outcome.isOk() ? outcome.value.kind : outcome.error.message,
        });
        if (outcome.isErr() || outcome.value.kind === "conflict") {
            await reader.read("ledger", 0);
            return false;
        }
        this.claimed = { confirmedAt: sentAt, predecessor: this.predecessorOf(before, resignation) };
        const { offset } = outcome.value;
        view.applyLedger([{ offset, key: termKey, record }], offset, offset + 1 as Offset);
        return true;
    }

    /**
     * Takes the claim that was acknowledged last. A claim that was only read in the ledger, without an answer to it, counts
     * from now: nothing is known of what happened meanwhile.
     */
    take(): ClaimedTerm {
        const claimed = this.claimed ?? { confirmedAt: this.parts.clock.now(), predecessor: this.lostPredecessor(false) };
        this.claimed = undefined;
        return claimed;
    }

    private predecessorOf(before: TermRecord | undefined, resignation: Resignation | undefined): Predecessor {
        if (before === undefined) {
            return noPredecessor;
        }
        const nowMs = this.parts.clock.now().monoMs;
        if (resignation !== undefined && nowMs - resignation.resignedMs < resignedClaimMs) {
            return { actsUntilMs: nowMs, grantsUntilMs: nowMs + resignation.grantsLastMs };
        }
        return this.lostPredecessor(before.hostId === this.parts.self.hostId || before.runId === this.endedRun);
    }

    private lostPredecessor(hasEnded: boolean): Predecessor {
        const actsUntilMs = this.parts.clock.now().monoMs + (hasEnded ? 0 : authorityMs);
        return { actsUntilMs, grantsUntilMs: actsUntilMs + holdBoundMs(this.parts.maxHoldMs) };
    }
}
