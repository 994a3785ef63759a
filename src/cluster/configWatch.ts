/**
 * Keeps the coordinator's configuration up to date by long polling: the store holds the call until there is a new record.
 *
 * A store may be unavailable without refusing connections. A long poll that gets no answer then lasts for its waiting time plus
 * the timeout of a call, even if the store is available again meanwhile; so the first call after a failure does not wait. Nor does the
 * first one after a change, which only shows how recent the last reading was.
 */
import type { Clock } from "../model/time.js";
import type { ClusterView } from "../store/clusterView.js";
import type { TopicReader } from "../store/topicReader.js";

/**
 * Waiting time of a long poll. Together with the timeout of a call it must stay well below the time within which a new
 * configuration must be applied.
 */
const longPollMs = 900;

/** Delay before the next call after one that failed. */
const retryDelayMs = 400;

/** Dependencies of the watch. */
export interface ConfigWatchDependencies {
    reader: Pick<TopicReader, "read">;
    view: ClusterView;
    clock: Clock;
    /** Called after each successful reading with the latest monotonic time at which it certainly held all that was in the store. */
    onConfirmed: (atMs: number) => void;
    /** Called when a new configuration has been applied. */
    onChanged: () => void;
}

/** Watches the configuration until `signal` aborts. */
export async function watchConfig(
    { reader, view, clock, onConfirmed, onChanged }: ConfigWatchDependencies, signal: AbortSignal,
): Promise<void> {
    let waitMs = 0;
    while (!signal.aborted) {
        const previousOffset = view.config?.offset;
        const previousUpTo = view.configUpTo;
        const askedAtMs = clock.now().monoMs;
        const reading = await reader.read("configuration", waitMs);
        if (reading.isErr()) {
            waitMs = 0;
            await clock.sleep(retryDelayMs, signal);
            continue;
        }
        const isChanged = view.config?.offset !== previousOffset;
        // A call that brought no record was held for all of its waiting time.
        const isHeld = view.configUpTo === previousUpTo && clock.now().monoMs - askedAtMs >= waitMs;
        onConfirmed(isHeld ? askedAtMs + waitMs : askedAtMs);
        waitMs = isChanged ? 0 : longPollMs;
        if (isChanged) {
            onChanged();
        }
    }
}
