/** Reads the store directly at a host that gets no current state from a coordinator. */
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { TopicReader } from "../store/topicReader.js";
import type { ConfigAge } from "./configAge.js";
import type { Membership } from "./membership.js";

/** Period at which this host checks whether its state is stale, and reads the store while it is. */
const directReadPeriodMs = 250;

/** Largest cluster in which each host retries an unavailable store at the normal period; in larger ones hosts retry less often. */
const fullRateHostCount = 8;

/**
 * Share of the time within which a new configuration must be in force after which a host retries at the latest, however many hosts there
 * are: the store may fail for this host alone.
 */
const maxRetryDelayShare = 0.4;

/** Dependencies of a direct reader. */
export interface DirectReaderDependencies {
    reader: TopicReader;
    owners: OwnerLookup;
    membership: Membership;
    configAge: ConfigAge;
    /** Time within which a new configuration must be in force at every host. */
    configApplyMs: number;
    clock: Clock;
    log: Log;
}

/** Reads the store on behalf of this host alone. */
export interface DirectReader {
    /** Monotonic time at which this host sent its last complete reading of the store. */
    readonly lastReadAtMs: number;
    /** Counts the state as read at the given monotonic time. */
    recordRead(atMs: number): void;
    /** Reads every topic from the store; resolves to whether all could be read. */
    readAllTopics(): Promise<boolean>;
    /** Delay before the store is tried again. It grows with the cluster, up to a share of the time for a new configuration. */
    retryDelayMs(): number;
    /** Reads the store whenever this host's state is stale, until `signal` aborts. */
    readWhenStale(isStale: (nowMs: number) => boolean, signal: AbortSignal): Promise<void>;
}

/** Creates the reader. */
export function createDirectReader(
    { reader, owners, membership, configAge, configApplyMs, clock, log }: DirectReaderDependencies,
): DirectReader {
    let lastReadAtMs = Number.NEGATIVE_INFINITY;
    const nowMs = () => clock.now().monoMs;

    const readAllTopics = async (): Promise<boolean> => {
        const askedAtMs = nowMs();
        // All hosts try while the store is unavailable, so the other topics are read only if this first call succeeds.
        const ledger = await reader.read("ledger", 0);
        const others = ledger.isErr() ? [] : await Promise.all([reader.read("targets", 0), reader.read("configuration", 0)]);
        owners.refresh();
        const isComplete = [ledger, ...others].every((reading) => reading.isOk());
        if (isComplete) {
            lastReadAtMs = Math.max(lastReadAtMs, askedAtMs);
            configAge.confirm(askedAtMs);
        }
        return isComplete;
    };

    const retryDelayMs = () => Math.min(
        configApplyMs * maxRetryDelayShare, directReadPeriodMs * Math.max(1, membership.members().length / fullRateHostCount));

    return {
        get lastReadAtMs() {
            return lastReadAtMs;
        },
        recordRead: (atMs) => {
            lastReadAtMs = atMs;
        },
        readAllTopics,
        retryDelayMs,
        readWhenStale: async (isStale, signal) => {
            let isFailing = false;
            while (!signal.aborted) {
                await clock.sleep(isFailing ? retryDelayMs() : directReadPeriodMs, signal);
                const wasFailing: boolean = isFailing;
                isFailing = isStale(nowMs()) && !await readAllTopics();
                if (isFailing !== wasFailing) {
                    log.info(isFailing ? "direct reading of the store failed" : "direct reading of the store no longer fails", {
                        retryAfterMs: isFailing ? Math.round(retryDelayMs()) : undefined,
                    });
                }
            }
        },
    };
}
