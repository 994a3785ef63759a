/**
 * Keeps the coordinator's configuration up to date. The store holds the call back until there is a new one.
 *
 * Load pattern: a store that is away without refusing connections. A call that is held back and gets no answer lasts for its own
 * wait and the time limit of a call, also when the store is back meanwhile; so after a failure calls are not held back.
 */
import type { Clock } from "../model/time.js";
import type { ClusterView } from "../store/clusterView.js";
import type { TopicReader } from "../store/topicReader.js";

/** The store holds a call back for this long; with the time limit of a call it must stay well below a configuration's bound. */
const heldBackMs = 900;

/** Pause after a call that failed. */
const retryMs = 400;

/** What the watch works with. */
export interface ConfigWatchParts {
    reader: Pick<TopicReader, "read">;
    view: ClusterView;
    clock: Clock;
    /** Told when a configuration has come into force. */
    onChanged: () => void;
}

/**
 * Watches the configuration until stopped.
 * @param parts what it works with
 * @param signal ends it
 */
export async function watchConfig({ reader, view, clock, onChanged }: ConfigWatchParts, signal: AbortSignal): Promise<void> {
    let waitMs = 0;
    while (!signal.aborted) {
        const before = view.config?.offset;
        const reading = await reader.read("configuration", waitMs);
        waitMs = reading.isOk() ? heldBackMs : 0;
        if (reading.isErr()) {
            await clock.sleep(retryMs, signal);
        }
        else if (view.config?.offset !== before) {
            onChanged();
        }
    }
}
