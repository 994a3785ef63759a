/** How old the state and the configuration are that a host acts on. */
import type { Clock } from "../model/time.js";
import type { ClusterView } from "../store/clusterView.js";
import type { ConfigAge } from "./configAge.js";
import type { Coordinator } from "./coordinator.js";
import type { DirectReader } from "./directReader.js";
import type { NewsReceiver } from "./newsReceiver.js";

/** A host that does not coordinate reads the store itself once its state may be older than this. */
const staleAfterMs = 1_400;

/** Dependencies of the ages. */
export interface StateAgesDependencies {
    view: ClusterView;
    configAge: ConfigAge;
    directReader: Pick<DirectReader, "lastReadAtMs">;
    newsReceiver: Pick<NewsReceiver, "confirmedAtMs" | "ledgerConfirmedAtMs">;
    clock: Clock;
    /** The coordinator at this host, while it coordinates. */
    coordinator: () => Coordinator | undefined;
}

/** Ages at one host. */
export interface StateAges {
    /** Time since the store last confirmed the state that this host acts on. */
    knowledgeAgeMs(nowMs: number): number;
    /** Time since it was last confirmed that no newer configuration is in force; see `ConfigAge.ageMs`. */
    configAgeMs(nowMs: number): number;
    /** Tells whether this host has to read the store itself, because no coordinator updates its state. */
    isStale(nowMs: number): boolean;
}

/** Creates the ages. */
export function createStateAges(
    { view, configAge, directReader, newsReceiver, clock, coordinator }: StateAgesDependencies,
): StateAges {
    const knowledgeAgeMs = (nowMs: number) =>
        coordinator()?.storeAgeMs(clock.now()) ?? nowMs - Math.max(directReader.lastReadAtMs, newsReceiver.confirmedAtMs);

    /** Time since the store certainly confirmed that this host knows the whole ledger. */
    const ledgerAgeMs = (nowMs: number) =>
        coordinator()?.storeAgeMs(clock.now()) ?? nowMs - Math.max(directReader.lastReadAtMs, newsReceiver.ledgerConfirmedAtMs);

    return {
        knowledgeAgeMs,
        configAgeMs: (nowMs) => {
            if (view.isConfigUnreadable || coordinator()?.isConfigOutdated() === true) {
                return Number.POSITIVE_INFINITY;
            }
            const ageMs = configAge.ageMs(view.platformConfigVersion, nowMs);
            const coordinatorAgeMs = coordinator()?.configAgeMs(nowMs);
            const topicAgeMs = coordinatorAgeMs === undefined || !Number.isFinite(ageMs) ? ageMs : Math.min(ageMs, coordinatorAgeMs);
            // The document stands in the ledger.
            return view.isDocumentConfig ? Math.max(topicAgeMs, ledgerAgeMs(nowMs)) : topicAgeMs;
        },
        isStale: (nowMs) => coordinator() === undefined && knowledgeAgeMs(nowMs) > staleAfterMs,
    };
}
