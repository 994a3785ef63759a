/** The latest term that a host knows. */
import { Signal } from "../model/signal.js";
import type { TermRecord } from "../ownership/ledger.js";
import type { ClusterView } from "../store/clusterView.js";

/** The latest term that this host knows, from the ledger or an announcement. */
export class KnownTerm {
    /** Fires after a later term was announced. */
    readonly announced = new Signal();
    /** Latest term that its coordinator announced to this host; it may be later than the ledger's. */
    private announcedTerm: TermRecord | undefined;

    constructor(private readonly view: ClusterView) {}

    /** The term, or undefined before the first one. */
    get latest(): TermRecord | undefined {
        const { term } = this.view.ledger;
        return this.announcedTerm !== undefined && this.announcedTerm.term > (term?.term ?? 0) ? this.announcedTerm : term;
    }

    /** Records an announced term that is later than the latest one. */
    recordAnnounced(term: TermRecord): void {
        this.announcedTerm = term;
    }
}
