/** The latest term that a host knows. */
import { Signal } from "../model/signal.js";
import { eraOf } from "../model/storePosition.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import { eraOfTerm } from "../ownership/termNumbers.js";
import type { ClusterView } from "../store/clusterView.js";

/** The latest term that this host knows, from the ledger or an announcement. */
export class KnownTerm {
    /** Fires after a later term was announced. */
    readonly announced = new Signal();
    /** Fires after another term was read in the ledger. */
    readonly termRead = new Signal();
    /** Latest term that its coordinator announced to this host; it may be later than the ledger's. */
    private announcedTerm: TermRecord | undefined;

    constructor(private readonly view: ClusterView) {
        let readTerm = view.ledger.term?.term;
        view.ledgerChanged.listen(() => {
            const term = view.ledger.term?.term;
            if (term !== readTerm) {
                readTerm = term;
                this.termRead.fire();
            }
        });
    }

    /** The term, or undefined before the first one. */
    get latest(): TermRecord | undefined {
        const { term } = this.view.ledger;
        return this.announcedTerm !== undefined && this.announcedTerm.term > (term?.term ?? 0) ? this.announcedTerm : term;
    }

    /** True if the store has come back from an older copy since the latest term was claimed, as far as this host knows. */
    get isOutdated(): boolean {
        return this.latest !== undefined && eraOfTerm(this.latest.term) < eraOf(this.view.ledger.upTo);
    }

    /** Records an announced term that is later than the latest one. */
    recordAnnounced(term: TermRecord): void {
        this.announcedTerm = term;
    }
}
