/** Reads the targets topic at the coordinator. */
import type { Clock, Instant } from "../model/time.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { TopicReader } from "../store/topicReader.js";

/** Period of reading the targets topic. Targets write to it all the time, so a long poll would return at once. */
const targetsReadPeriodMs = 450;

/** Dependencies of the watch. */
export interface TargetsWatchDependencies {
    reader: Pick<TopicReader, "read">;
    clock: Clock;
    /** The watch ends once this returns true. */
    isSuperseded: () => boolean;
    /** Called after each successful reading with the time at which the call was sent, and what it brought. */
    onRead: (askedAt: Instant, changes: readonly TargetChange[]) => void;
}

/** Watches the targets until `signal` aborts or another term is in force. */
export async function watchTargets({ reader, clock, isSuperseded, onRead }: TargetsWatchDependencies, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !isSuperseded()) {
        const askedAt = clock.now();
        const reading = await reader.read("targets", 0);
        if (reading.isOk()) {
            onRead(askedAt, reading.value.targets);
        }
        await clock.sleep(targetsReadPeriodMs, signal);
    }
}
