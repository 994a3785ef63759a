/**
 * Keeps the coordinator's configuration up to date by long polling: the store holds the call until there is a new record.
 *
 * A store may be unavailable without refusing connections. A long poll that gets no answer then lasts for its waiting time plus
 * the timeout of a call, even if the store is available again meanwhile; so the first call after a failure does not wait.
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
    /** Called when a new configuration has been applied. */
    onChanged: () => void;
}

/** Watches the configuration until `signal` aborts. */
export async function watchConfig({ reader, view, clock, onChanged }: ConfigWatchDependencies, signal: AbortSignal): Promise<void> {
    let waitMs = 0;
    while (!signal.aborted) {
        const previousOffset = view.config?.offset;
        const reading = await reader.read("configuration", waitMs);
        waitMs = reading.isOk() ? longPollMs : 0;
        if (reading.isErr()) {
            await clock.sleep(retryDelayMs, signal);
        }
        else if (view.config?.offset !== previousOffset) {
            onChanged();
        }
    }
}
