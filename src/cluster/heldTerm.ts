/** The term that a coordinator holds: it is confirmed by reading the ledger, and ends when another host claims a later term. */
import type { Era, Offset, Term } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import { eraOf } from "../model/storePosition.js";
import type { Clock, Instant } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { LedgerChange } from "../ownership/ledgerRecords.js";
import { TermAuthority } from "../ownership/termAuthority.js";
import type { ClusterView } from "../store/clusterView.js";
import type { TopicReader } from "../store/topicReader.js";

/** Period of reading the ledger. A long poll would be of no use, since the coordinator itself appends nearly every record. */
export const ledgerReadPeriodMs = 650;

/** Pause after a failed reading of the ledger. It is short, because after a failure the term must be confirmed before anything else. */
const confirmRetryMs = 120;

/** A coordinator that resigned resumes after this time if no other host has taken over. */
const resignationTimeoutMs = 1_200;

/** Dependencies of a held term. */
export interface HeldTermDependencies {
    term: Term;
    /** Time at which the call that confirmed the term was sent to the store. */
    confirmedAt: Instant;
    view: ClusterView;
    reader: TopicReader;
    clock: Clock;
    log: Log;
    /** Called after each successful reading of the ledger while the term is in force. */
    onLedgerRead: (changes: readonly LedgerChange[], from: Offset) => void;
}

/** A term that this host holds. */
export interface HeldTerm {
    /** True if the last reading of the ledger failed. */
    readonly isLedgerReadFailing: boolean;
    /** True while this coordinator has resigned. */
    readonly isResigned: boolean;
    /** Tells whether another term is in force, or this one has to be claimed anew since the store came back from an older copy. */
    isSuperseded(): boolean;
    /** Tells whether this coordinator may write records and grant leases. */
    mayAct(now: Instant): boolean;
    /** Time since the store last confirmed the term. */
    ageMs(now: Instant): number;
    /** The store has confirmed the term by answering a call that was sent at the given time. */
    confirm(sentAt: Instant): void;
    /** Nothing may be done under the term until the store confirms it again. */
    drop(): void;
    /** Drops the term, and asks the store at once to confirm it. */
    requestConfirmation(): void;
    /** Another host has read the ledger of a later era: reads it at once, also while an earlier reading has no answer. */
    checkEra(era: Era): void;
    /** This coordinator does not act any more, unless no other host takes over. */
    resign(nowMs: number): void;
    /** Reads the ledger again and again, until `signal` aborts or another term is in force. */
    keepConfirmed(signal: AbortSignal): Promise<void>;
}

/** Creates a term that the store has confirmed. */
export function createHeldTerm({ term, confirmedAt, view, reader, clock, log, onLedgerRead }: HeldTermDependencies): HeldTerm {
    const authority = new TermAuthority();
    authority.confirm(confirmedAt);
    const confirmRequested = new Signal();
    let resolveOutdated: () => void = () => undefined;
    const outdated = new Promise<undefined>((resolve) => {
        resolveOutdated = () => {
            resolve(undefined);
        };
    });
    let isCheckingEra = false;
    let resignedAtMs: number | undefined;
    let isLedgerReadFailing = false;

    const isSuperseded = () => view.ledger.term?.term !== term || view.ledger.isTermOutdated;

    /**
     * Resumes if no host has taken over. A host that claims the next term later than that can no longer rely on the resignation,
     * but waits until the grants of this term have expired.
     */
    const resumeIfNotReplaced = (askedAt: Instant) => {
        if (resignedAtMs !== undefined && askedAt.monoMs - resignedAtMs > resignationTimeoutMs) {
            resignedAtMs = undefined;
            log.info("resumed after resignation", { term });
        }
    };

    return {
        get isLedgerReadFailing() {
            return isLedgerReadFailing;
        },
        get isResigned() {
            return resignedAtMs !== undefined;
        },
        isSuperseded,
        mayAct: (now) => resignedAtMs === undefined && !isSuperseded() && authority.isHeld(now),
        ageMs: (now) => authority.ageMs(now),
        confirm: (sentAt) => {
            authority.confirm(sentAt);
        },
        drop: () => {
            authority.drop();
        },
        requestConfirmation: () => {
            authority.drop();
            confirmRequested.fire();
        },
        checkEra: (era) => {
            if (era > eraOf(view.ledger.upTo) && !isCheckingEra) {
                isCheckingEra = true;
                void reader.read("ledger", 0).then(() => {
                    isCheckingEra = false;
                    if (view.ledger.isTermOutdated) {
                        resolveOutdated();
                        confirmRequested.fire();
                    }
                });
            }
        },
        resign: (nowMs) => {
            resignedAtMs = nowMs;
            log.info("coordinator resigned", { term });
        },
        keepConfirmed: async (signal) => {
            while (!signal.aborted && !isSuperseded()) {
                const askedAt = clock.now();
                const from = view.ledger.upTo;
                const reading = await Promise.race([reader.read("ledger", 0), outdated]);
                if (reading === undefined) {
                    return;
                }
                isLedgerReadFailing = reading.isErr();
                if (reading.isOk() && !isSuperseded()) {
                    authority.confirm(askedAt);
                    resumeIfNotReplaced(askedAt);
                    onLedgerRead(reading.value.ledger, from);
                }
                const pauseMs = reading.isOk() ? ledgerReadPeriodMs - authority.ageMs(clock.now()) : confirmRetryMs;
                await waitFor(clock, pauseMs, [confirmRequested], signal);
            }
        },
    };
}
